"""Stand-ins for the platform, the endpoints and the clients of a small mesh.

They behave as the users' pages say. The daemons are separate processes, which
are started with the command of the deploy file. Everything is on loopback
addresses: each machine has an address of its own, and ports are free ones.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DRAIN_MS = 2000
APPLY_MS = 2000
CONTACT_MS = 3000
GRACE_S = 6
SLOTS = 6
QUEUE = 24
MAX_CONNECTIONS = 120
WARM_UP_S = 3.0
BROKEN = 10
NO_VERDICT = 2
# An entry goes after three heartbeats of silence.
EXPIRY_S = 4.5
KEY = 'k3yoftenantone000001'
TENANT = 'tenant-one'


class Record:
    """Record of what was sent, answered and run, in ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)


def render(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    lines = ''.join(f'{name}: {field}\r\n' for name, field in headers.items())
    head = f'HTTP/1.1 {status} S\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    return head.encode('latin-1') + body


class Request:
    """Request as an endpoint received it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    @property
    def attempt(self) -> str:
        return self.headers.get('x-attempt-id', '')


async def read_request(
    reader: asyncio.StreamReader, pause_seconds: float = 0
) -> Request:
    """Read a request, with a pause after each part of its body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, field = line.partition(':')
        headers[name.lower()] = field.strip()
    if headers.get('transfer-encoding', '') == 'chunked':
        body = await read_chunks(reader, pause_seconds)
    else:
        size = int(headers.get('content-length', 0))
        body = await _read_body(reader, size, pause_seconds)
    return Request(method, target, headers, body)


async def read_chunks(
    reader: asyncio.StreamReader, pause_seconds: float = 0
) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        parts.append(await _read_body(reader, size, pause_seconds))
        await reader.readexactly(2)
        if not size:
            return b''.join(parts)


async def _read_body(
    reader: asyncio.StreamReader, size_bytes: int, pause_seconds: float
) -> bytes:
    parts = []
    while size_bytes:
        part = await reader.readexactly(min(size_bytes, 65_536))
        parts.append(part)
        size_bytes -= len(part)
        await asyncio.sleep(pause_seconds * len(part) / 65_536)
    return b''.join(parts)


class Store:
    """The platform's metadata store: ranges and watches, linearizable."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, tuple[bytes, int]] = {}
        self._history: list[tuple[str, bytes | None, int]] = []
        self._changed = asyncio.Event()
        self.revision = 100
        self.address = ''

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '{}:{}'.format(*server.sockets[0].getsockname()[:2])

    def put(self, key: str, content: bytes | dict) -> float:
        """Write an item; return the time of the acknowledgement."""
        if isinstance(content, dict):
            content = json.dumps(content).encode()
        self.revision += 1
        self._items[key] = (content, self.revision)
        self._note(key, content)
        shown = content if len(content) < 200 else content[:150] + b'..'
        self._record.write(f'store: {key} <- {shown!r} ({len(content)} bytes)')
        return time.monotonic()

    def remove(self, key: str) -> float:
        self._items.pop(key)
        self.revision += 1
        self._note(key, None)
        self._record.write(f'store: {key} removed')
        return time.monotonic()

    def _note(self, key: str, content: bytes | None) -> None:
        self._history.append((key, content, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> bytes:
        url = urlsplit(request.target)
        query = {
            name: fields[0]
            for name, fields in parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }
        if url.path == '/wagtailline/kv-range':
            content = self._range(query)
        elif url.path == '/wagtailline/kv-watch':
            content = await self._watch(query)
        else:
            return render(404, {})
        return render(
            200,
            {'Content-Type': 'application/json'},
            json.dumps(content).encode(),
        )

    def _range(self, query: dict[str, str]) -> dict:
        keys = [
            key
            for key in sorted(self._items)
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        ]
        items = [
            self._render_item(key, *self._items[key]) for key in keys[:500]
        ]
        return {
            'items': items,
            'hasMore': len(keys) > 500,
            'at': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict:
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                self._render_item(key, content, revision)
                for key, content, revision in self._history
                if key.startswith(query['prefix']) and revision > after
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'at': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    @staticmethod
    def _render_item(key: str, content: bytes | None, revision: int) -> dict:
        if content is None:
            return {'key': key, 'revision': revision, 'tombstone': True}
        return {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': revision,
            'created': revision,
            'lease': 0,
        }


class Connection:
    """Connection of an endpoint, as its handlers see it."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.is_lost = False

    def reset(self) -> None:
        self.writer.transport.abort()


Handler = Callable[['Endpoint', Request, Connection], Awaitable[bytes | None]]


class Endpoint:
    """Endpoint of a service; ``handler`` runs requests and returns answers.

    It runs ``slots`` requests at once, queues a few, sheds the rest and drops
    a request whose connection closes.
    """

    def __init__(
        self, machine: 'Machine', service: str, record: Record, handler: Handler
    ) -> None:
        self.machine, self.service = machine, service
        self.record, self.handler = record, handler
        self.identity = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.cold_until = float(0)
        self.at_work = 0
        # Pause after each 64 KiB of a body.
        self.pause_seconds = float(0)
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.runs: list[tuple[float, Request]] = []
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def warm_up_left_ms(self) -> int:
        return max(int((self.cold_until - time.monotonic()) * 1000), 0)

    @property
    def entry(self) -> dict:
        return {
            'service': self.service,
            'address': self.machine.app_address,
            'zone': self.machine.zone,
            'version': 'v1',
            'maxConcurrency': SLOTS,
            'state': self.state,
            'warmupLeftMs': self.warm_up_left_ms,
            'sequence': 1,
            'born': self.born,
        }

    async def start(self) -> None:
        host, port = self.machine.app_address.split(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def crash(self) -> None:
        """Close the listener and reset every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self.connections):
            connection.reset()

    async def crash_and_return(self, seconds: float) -> None:
        """Crash; be back after some seconds as a new incarnation, cold."""
        store, previous = self.machine.mesh.store, f'servers/{self.identity}'
        self.record.write(f'crash: {self.identity} of {self.service}')
        self.crash()
        await asyncio.sleep(seconds)
        self.identity = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + WARM_UP_S
        await self.start()
        store.put(f'servers/{self.identity}', self.entry)
        self.record.write(f'back: {self.identity} of {self.service}')
        await asyncio.sleep(max(EXPIRY_S - seconds, 0))
        store.remove(previous)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(writer)
        if len(self.connections) >= MAX_CONNECTIONS:
            connection.reset()
            return
        self.connections.add(connection)
        try:
            while True:
                request = await read_request(reader, self.pause_seconds)
                await self._serve_one(request, reader, connection)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            connection.is_lost = True
            self.connections.discard(connection)
            writer.close()

    async def _serve_one(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        connection: Connection,
    ) -> None:
        work = asyncio.ensure_future(self._work(request, connection))
        while not work.done():
            # A request ends with its connection.
            closed = asyncio.ensure_future(_wait_for_close(reader))
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            closed.cancel()
            if not work.done():
                connection.is_lost = True
                work.cancel()
                raise ConnectionResetError
        answer = work.result()
        if answer is not None:
            connection.writer.write(answer)
            await connection.writer.drain()

    async def _work(
        self, request: Request, connection: Connection
    ) -> bytes | None:
        echo = {'X-Attempt-Id': request.attempt} if request.attempt else {}
        if request.target == '/health':
            return render(
                200 if self.state == 'ready' else 503,
                {
                    'X-Instance-Id': self.identity,
                    'X-Warmup-Ms': str(self.warm_up_left_ms),
                },
            )
        if request.headers.get('x-expect-instance', '') != self.identity:
            return render(421, {'X-Instance-Id': self.identity, **echo})
        if self.slots.locked() and self.waiting >= QUEUE:
            return render(503, {'X-Not-Executed': '1', **echo})
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.at_work += 1
        try:
            self.runs.append((time.monotonic(), request))
            self.record.write(
                f'run: {request.method} {request.target} {request.attempt}'
                f' at {self.identity} of {self.service}'
            )
            return await self.handler(self, request, connection)
        finally:
            self.at_work -= 1
            self.slots.release()


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    # The end of a stream can only be polled.
    while (  # noqa: ASYNC110
        not reader.at_eof() and reader.exception() is None
    ):
        await asyncio.sleep(0.005)


def seal_answer(request: Request, body: bytes, status: int = 200) -> bytes:
    return render(
        status,
        {
            'X-Attempt-Id': request.attempt,
            'X-Server-Seal': f'seal.{request.attempt}',
            'Keep-Alive': 'timeout=10',
        },
        body,
    )


class Machine:
    """Machine with one daemon process and the address of its endpoint."""

    def __init__(
        self, mesh: 'Mesh', host: str, zone: str, service: str
    ) -> None:
        self.mesh, self.host, self.zone = mesh, host, zone
        self.service = service
        self.name = f'sidecar-{zone}-{host.rpartition(".")[2]}'
        self.process: asyncio.subprocess.Process | None = None

    def address(self, use: str) -> str:
        return f'{self.host}:{self.mesh.ports[use]}'

    @property
    def app_address(self) -> str:
        return self.address('app')

    def _settings(self) -> dict:
        return {
            'vm': self.name,
            'data_centre': self.zone,
            'service': self.service,
            'ingress': self.address('outbound'),
            'peers': self.address('inbound'),
            'readiness': self.address('ready'),
            'upstream': self.app_address,
            'source': self.mesh.store.address,
            'grace_seconds': GRACE_S,
            'revoke_ms': 5000,
            'apply_ms': APPLY_MS,
            'drain_ms': DRAIN_MS,
            'retry_ratio': 0.2,
            'retry_slack': 60,
            'retry_window_seconds': 10,
            'quota_window_seconds': 5,
            'quota_overage': 0.25,
            'quota_slack': 20,
            'warm_up_overage': 1.5,
            'warm_up_slack': 5,
            'link_megabits_per_second': 1000.0,
            'metrics_port': self.mesh.ports['metrics'],
        }

    async def start_daemon(self) -> None:
        if self.mesh.is_stopping:
            raise CannotRun('the case has ended')
        path = self.mesh.directory / f'{self.name}.json'
        path.write_text(json.dumps(self._settings(), indent=2))
        log = (self.mesh.directory / f'{self.name}.log').open('ab')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['WAGTAILLINE_SETTINGS'] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            'python3',
            'target/app/sidecar.py',
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.mesh.processes.append(self.process)

    def send_signal(self, number: signal.Signals) -> None:
        self.mesh.record.write(f'signal: {number.name} to {self.name}')
        self.process.send_signal(number)

    def read_log(self) -> str:
        return (self.mesh.directory / f'{self.name}.log').read_text()


class Mesh:
    """A store, machines in three zones, and their endpoints."""

    def __init__(self, record: Record, directory: Path) -> None:
        self.record, self.directory = record, directory
        self.store = Store(record)
        self.machines: list[Machine] = []
        self.endpoints: list[Endpoint] = []
        self.ports: dict[str, int] = {}
        self.config: dict = {}
        self.processes: list[asyncio.subprocess.Process] = []
        self.is_stopping = False

    async def start(
        self, services: dict[str, int], handler: Handler, config: dict
    ) -> None:
        """Start the endpoints of each service, one a machine, and daemons."""
        block = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        number = 0
        for service, count in services.items():
            for index in range(count):
                number += 1
                host = f'{block}.{number}'
                zone = f'oslo-{"abc"[index % 3]}'
                self.machines.append(Machine(self, host, zone, service))
        self.ports = _find_ports([machine.host for machine in self.machines])
        await self.store.start()
        self.put_config(config)
        for machine in self.machines:
            endpoint = Endpoint(machine, machine.service, self.record, handler)
            await endpoint.start()
            self.endpoints.append(endpoint)
            self.store.put(f'servers/{endpoint.identity}', endpoint.entry)
        for machine in self.machines:
            await machine.start_daemon()
        for machine in self.machines:
            await self.wait_until_ready(machine)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(4)
        self.record.write('all daemons are ready')

    def put_config(self, config: dict) -> float:
        self.config = config
        return self.store.put('op/config', config)

    async def wait_until_ready(self, machine: Machine) -> None:
        ends_at = time.monotonic() + 20
        while time.monotonic() < ends_at:
            answer = await fetch(
                machine.address('ready'), 'GET', '/wagtailline/readiness'
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{machine.name} is not ready')

    async def stop(self) -> None:
        """End every process that was started."""
        self.is_stopping = True
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()


class CannotRun(Exception):
    """The case could not be played."""


def _find_ports(hosts: list[str]) -> dict[str, int]:
    uses = ('outbound', 'inbound', 'ready', 'app', 'metrics')
    found: dict[str, int] = {}
    for _ in range(200):
        port = random.randint(20_000, 32_000)
        if port not in found.values() and _is_free(hosts, port):
            found[uses[len(found)]] = port
            if len(found) == len(uses):
                return found
    raise CannotRun('no free ports')


def _is_free(hosts: list[str], port: int) -> bool:
    for host in hosts:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
    return True


class Answer:
    """What a client got; status 0 means that the connection ended before."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, whole: bool
    ) -> None:
        self.status, self.headers = status, headers
        self.body, self.is_whole = body, whole

    def __str__(self) -> str:
        whole = 'whole' if self.is_whole else 'BROKEN OFF'
        return f'{self.status} {len(self.body)} bytes {whole}'


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    status, headers, body = 0, {}, b''
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head[:-4].split('\r\n')
        status = int(first.split(' ')[1])
        for line in lines:
            name, _, field = line.partition(':')
            headers[name.lower()] = field.strip()
        if headers.get('transfer-encoding', '') == 'chunked':
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(
                int(headers.get('content-length', 0))
            )
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, error.partial, False)
    except (ConnectionError, ValueError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


def make_head(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    lines = ''.join(f'{name}: {field}\r\n' for name, field in headers.items())
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    head = f'{method} {target} HTTP/1.1\r\n{lines}{length}\r\n'
    return head.encode('latin-1') + body


def client_headers(
    host: str, attempt: str, deadline_ms: int, key: str | None = KEY
) -> dict[str, str]:
    headers = {
        'Host': host,
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': str(deadline_ms),
    }
    if key is not None:
        headers['Authorization'] = f'Bearer {key}'
    return headers


def new_attempt() -> str:
    return f'{random.getrandbits(64):016x}'


async def fetch(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    seconds: float = 5,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    host, port = address.split(':')
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    make_head(
                        method, target, headers or {'Host': address}, body
                    )
                )
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return Answer(0, {}, b'', False)


def make_route(
    host: str, prefix: str, kind: str, service: str, **fields: object
) -> dict:
    return {
        'host': host,
        'prefix': prefix,
        'routeKind': kind,
        'timeoutMs': 2000,
        'sloMs': 500,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **fields,
    }


def make_config(
    version: int, routes: dict[str, dict], services: list[str]
) -> dict:
    return {
        'version': version,
        'routes': routes,
        'services': {
            name: {
                'healthPath': '/health',
                'maxConns': MAX_CONNECTIONS,
                'protocol': 'h1',
                'tls': False,
                'warmupS': WARM_UP_S,
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
        'tenants': {
            TENANT: {
                'apiKeys': [KEY],
                'priority': 1,
                'ratePerS': 400,
                'burst': 400,
            }
        },
        'baseVersion': version - 1,
    }


def is_trouble() -> bool:
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder: Path, case: Callable[[Mesh], Awaitable[bool]]) -> None:
    """Play a case; exit with 10 if the rule was broken, 0 if not, else 2.

    Any other status, as of an exception, is not a verdict for ``run.sh``.
    """

    async def play() -> int:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        record = Record(folder)
        with tempfile.TemporaryDirectory(prefix='wagtailline-') as name:
            mesh = Mesh(record, Path(name))
            try:
                async with asyncio.timeout(110):
                    is_broken = await case(mesh)
            except (Exception, asyncio.CancelledError) as problem:
                record.say(f'the case could not run: {problem!r}')
                return NO_VERDICT
            finally:
                await mesh.stop()
        record.say('the rule was BROKEN' if is_broken else 'the rule held')
        return BROKEN if is_broken else 0

    sys.exit(asyncio.run(play()))
