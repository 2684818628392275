"""A small deployment on loopback: the project's daemons and the stand-ins.

The daemons are started with the command of the deploy file. What was sent,
answered and run goes to the record of the case.
"""

import asyncio
import json
import os
import shutil
import socket
import sys
import tempfile
import time
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple, TextIO

from endpoint import Endpoint, read_body
from store import Store

ROOT = Path(__file__).resolve().parents[2]
ROUTE_HOST = 'desk.example'
DAEMON = (shutil.which('python3') or 'python3', 'target/app/sidecar.py')


class Answer(NamedTuple):
    """What a client got: a status, or 0 if the connection ended."""

    status: int
    fields: dict[str, str]
    body: bytes
    sent_at: float


class Machine:
    """A daemon process and the endpoint beside it, at an address of theirs."""

    def __init__(
        self, name: str, host: str, zone: str, endpoint: Endpoint
    ) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.endpoint = endpoint
        self.settings = Path()
        self.log: TextIO | None = None
        self.process: asyncio.subprocess.Process | None = None


class Fleet:
    """The machines, the store and the record of one case."""

    def __init__(self, record: Path) -> None:
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._record = record.open('w')
        self._began = time.monotonic()
        self._ports: dict[str, int] = {}

    def note(self, *words: object) -> None:
        """Write a line to the record, with the seconds since the start."""
        at = time.monotonic() - self._began
        text = ' '.join(str(word) for word in words)
        self._record.write(f'{at:8.3f} {text}\n')
        self._record.flush()

    async def start(self) -> None:
        names = ('ingress', 'peers', 'readiness', 'upstream', 'metrics')
        self._ports = dict(zip(names, _find_ports(len(names)), strict=True))
        await self.store.start()

    async def add(
        self,
        number: int,
        zone: str,
        service: str,
        *,
        warm_ms: int = 0,
        work_s: float = 0.02,
    ) -> Machine:
        """Start an endpoint and its daemon; write the endpoint's entry."""
        endpoint = Endpoint(f'i-{number:08x}', service, zone, work_s)
        endpoint.note = self.note
        host = f'127.0.1.{number}'
        machine = Machine(f'sidecar-{number}', host, zone, endpoint)
        self.machines[machine.name] = machine
        await endpoint.start(host, self._ports['upstream'])
        self.register(machine, warm_ms=warm_ms)
        await self.start_daemon(machine)
        return machine

    def register(
        self, machine: Machine, state: str = 'ready', warm_ms: int = 0
    ) -> None:
        """Let the endpoint write its entry, with what it says of itself."""
        endpoint = machine.endpoint
        revision = self.store.put(
            f'servers/{endpoint.identity}', endpoint.entry(state, warm_ms)
        )
        self.note('store', revision, endpoint.identity, state, warm_ms)

    def unregister(self, machine: Machine) -> None:
        """Let the entry of an endpoint be removed."""
        identity = machine.endpoint.identity
        revision = self.store.remove(f'servers/{identity}')
        self.note('store', revision, identity, 'removed')

    async def start_daemon(self, machine: Machine) -> None:
        machine.settings = self.folder / f'{machine.name}.json'
        machine.settings.write_text(json.dumps(self._fields(machine)))
        machine.log = (self.folder / f'{machine.name}.log').open('a')
        machine.process = await asyncio.create_subprocess_exec(
            *DAEMON,
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'WAGTAILLINE_SETTINGS': str(machine.settings),
            },
            stdout=machine.log,
            stderr=machine.log,
        )

    async def wait_ready(self, *machines: Machine) -> None:
        """Wait until the daemons answer the readiness probe with 200."""
        async with asyncio.timeout(20):
            for machine in machines or tuple(self.machines.values()):
                # Readiness of another process can only be polled.
                while not await self._is_ready(machine):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    async def stop_machine(self, machine: Machine) -> None:
        """Take a machine away: its endpoint ends, then its daemon does."""
        await machine.endpoint.stop()
        if machine.process and machine.process.returncode is None:
            machine.process.terminate()
            try:
                async with asyncio.timeout(7):
                    await machine.process.wait()
            except TimeoutError:
                machine.process.kill()
                await machine.process.wait()

    async def stop(self) -> None:
        """End every process and remove the files of this run."""
        for machine in self.machines.values():
            await machine.endpoint.stop()
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
            if machine.log is not None:
                machine.log.close()
        if os.environ.get('KEEP'):
            self.note('files', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    async def send(
        self,
        machine: Machine,
        target: str,
        *,
        method: str = 'GET',
        key: str = '',
        deadline_ms: int = 2000,
        body: bytes = b'',
    ) -> Answer:
        """Send a request of a client of a machine on a new connection."""
        attempt = uuid.uuid4().hex[:16]
        rows = [
            f'{method} {target} HTTP/1.1',
            f'Host: {ROUTE_HOST}',
            f'X-Attempt-Id: {attempt}',
            f'X-Deadline-Ms: {deadline_ms}',
        ]
        if key:
            rows.append(f'Authorization: Bearer {key}')
        if method != 'GET':
            rows.append(f'Content-Length: {len(body)}')
        sent_at = time.monotonic() - self._began
        self.note('sent', machine.name, attempt, method, target, key or '-')
        request = '\r\n'.join(rows).encode() + b'\r\n\r\n' + body
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                status, fields, content = await self._exchange(machine, request)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status, fields, content = 0, {}, b''
        self.note('answered', machine.name, attempt, status, content[:60])
        return Answer(status, {**fields, 'id': attempt}, content, sent_at)

    async def connect(
        self, machine: Machine
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a client of a machine."""
        return await asyncio.open_connection(
            machine.host, self._ports['ingress']
        )

    async def _exchange(
        self, machine: Machine, request: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        reader, writer = await self.connect(machine)
        try:
            writer.write(request)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            line, *rows = head[:-4].split('\r\n')
            pairs = (row.partition(':') for row in rows)
            fields = {name.lower(): field.strip() for name, _, field in pairs}
            return int(line.split()[1]), fields, await read_body(reader, fields)
        finally:
            writer.close()

    async def _is_ready(self, machine: Machine) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                machine.host, self._ports['readiness']
            )
        except OSError:
            return False
        try:
            writer.write(
                b'GET /wagtailline/readiness HTTP/1.1\r\nHost: ready\r\n\r\n'
            )
            line = await reader.readline()
            return b' 200 ' in line
        except OSError:
            return False
        finally:
            writer.close()

    def _fields(self, machine: Machine) -> dict[str, object]:
        host, ports = machine.host, self._ports
        return {
            'vm': machine.name,
            'data_centre': machine.zone,
            'service': machine.endpoint.service,
            'ingress': f'{host}:{ports["ingress"]}',
            'peers': f'{host}:{ports["peers"]}',
            'readiness': f'{host}:{ports["readiness"]}',
            'upstream': f'{host}:{ports["upstream"]}',
            'source': f'{self.store.host}:{self.store.port}',
            'grace_seconds': 6,
            'revoke_ms': 5000,
            'apply_ms': 2000,
            'drain_ms': 2000,
            'retry_ratio': 0.2,
            'retry_slack': 60,
            'retry_window_seconds': 10,
            'quota_window_seconds': 5,
            'quota_overage': 0.25,
            'quota_slack': 20,
            'warm_up_overage': 1.5,
            'warm_up_slack': 5,
            'link_megabits_per_second': 1000.0,
            'metrics_port': ports['metrics'],
        }


def make_route(service: str, prefix: str, **changes: object) -> dict:
    """A route as the operator writes it."""
    return {
        'host': ROUTE_HOST,
        'prefix': prefix,
        'routeKind': 'safe',
        'timeoutMs': 1000,
        'sloMs': 500,
        'priority': 2,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **changes,
    }


def make_configuration(
    version: int, routes: dict, services: tuple[str, ...], tenants: dict
) -> dict:
    """A configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': {
            name: {
                'healthPath': '/health',
                'maxConns': 120,
                'protocol': 'h1',
                'tls': False,
                'warmupS': 3.0,
                'warmupPerS': 6.1,
            }
            for name in services
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants,
    }


def run_case(
    folder: Path, play: Callable[[Fleet, bool], Awaitable[bool]]
) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held."""
    is_troubled = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> bool:
        fleet = Fleet(folder / 'record.txt')
        try:
            async with asyncio.timeout(110):
                await fleet.start()
                is_broken = await play(fleet, is_troubled)
                fleet.note('the rule is broken' if is_broken else 'held')
                return is_broken
        finally:
            await fleet.stop()

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        sys.stderr.write(f'the case could not run: {error!r}\n')
        sys.exit(2)
    sys.exit(1 if is_broken else 0)


def _find_ports(count: int) -> list[int]:
    """Ports that are free now; no other program uses these addresses."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for free in sockets:
            free.bind(('127.0.1.1', 0))
        return [free.getsockname()[1] for free in sockets]
    finally:
        for free in sockets:
            free.close()
