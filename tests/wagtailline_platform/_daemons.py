"""Sidecar processes on loopback, with simulated platform and upstreams."""

import asyncio
import json
import os
import resource
import signal
import sys
from pathlib import Path

from wagtailline.ports import Address
from wagtailline_lab.free_ports import find_free_ports
from wagtailline_lab.registry_platform import RegistryPlatform
from wagtailline_lab.sealed_upstream import SealedUpstream, UpstreamHeaders

PLATFORM_DIRECTORY = Path(__file__).parents[2] / 'platform'
HOST = 'desk.example'
HEADERS = UpstreamHeaders(
    'x-attempt-id',
    'x-expect-instance',
    'x-instance-id',
    'x-server-seal',
    'x-not-executed',
)
_LISTENERS = ('ingress', 'peers', 'readiness', 'upstream')
_MAX_READY_PROBES = 200
_READY_PROBE_PERIOD_SECONDS = 0.1
# Tests that run at the same time may find the same ports free, so each worker
# has addresses of its own.
WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw'))


def make_configuration(version: int = 1, **changes) -> dict:
    status_route = {
        'host': HOST,
        'prefix': '/status/',
        'routeKind': 'safe',
        'timeoutMs': 1000,
        'sloMs': 500,
        'priority': 1,
        'service': 'desk',
        'maxAttempts': 2,
        'public': False,
    }
    order_route = {**status_route, 'prefix': '/order/', 'routeKind': 'unsafe'}
    service = {
        'healthPath': '/health',
        'maxConns': 100,
        'warmupS': 0,
        'warmupPerS': 0,
    }
    return {
        'version': version,
        'routes': {'status': status_route, 'order': order_route},
        'services': {'desk': service},
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1000000,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': {
            'studio': {'apiKeys': ['studio-key'], 'ratePerS': 500, 'burst': 500}
        },
        **changes,
    }


def make_large_configuration(version: int, routes: int) -> dict:
    """Return a configuration with many routes that no request uses."""
    configuration = make_configuration(version)
    status_route = configuration['routes']['status']
    configuration['routes'] |= {
        f'r{number}': {**status_route, 'prefix': f'/r{number}/'}
        for number in range(routes)
    }
    return configuration


class Vm:
    """Sidecar and endpoint of one VM; each VM has its own loopback address."""

    def __init__(
        self,
        number: int,
        ports: list[int],
        store: Address,
        directory: Path,
        service: str = 'desk',
        data_centre: str = 'oslo-a',
    ):
        self.name = f'vm-{number}'
        self.service = service
        self.data_centre = data_centre
        self.host = f'127.0.{WORKER}.{number + 1}'
        self.ports = dict(zip((*_LISTENERS, 'metrics'), ports, strict=True))
        self.log = directory / f'{self.name}.log'
        self.upstream = SealedUpstream(f'i-{number}', HEADERS)
        self.settings = directory / f'{self.name}.json'
        self.process: asyncio.subprocess.Process | None = None
        self.max_descriptors: int | None = None
        addresses = {
            name: f'{self.host}:{self.ports[name]}' for name in _LISTENERS
        }
        self._fields = {
            'vm': self.name,
            'data_centre': data_centre,
            'service': service,
            'source': f'{store.host}:{store.port}',
            'metrics_port': self.ports['metrics'],
            **addresses,
        }
        self.write_settings()

    def write_settings(self, **changes) -> None:
        self.settings.write_text(json.dumps({**self._fields, **changes}))

    async def start(self) -> None:
        await self.upstream.start(Address(self.host, self.ports['upstream']))
        await self.start_daemon()

    async def start_daemon(self) -> None:
        with self.log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PLATFORM_DIRECTORY / 'sidecar.py'),
                env={'WAGTAILLINE_SETTINGS': str(self.settings)},
                stdout=output,
                stderr=output,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        if self.max_descriptors is not None:
            limits = self.max_descriptors, self.max_descriptors
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    async def stop(self) -> None:
        await self.upstream.stop()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def make_entry(self, state: str = 'ready') -> dict:
        return {
            'service': self.service,
            'address': f'{self.host}:{self.ports["upstream"]}',
            'zone': self.data_centre,
            'version': 'v1',
            'maxConcurrency': 4,
            'state': state,
            'warmupLeftMs': 0,
            'sequence': 1,
            'born': 1,
        }


class Fleet:
    """VMs, of one data centre or more, and the platform that they read."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.platform = RegistryPlatform()
        self.vms: list[Vm] = []
        self.max_descriptors: int | None = None

    async def start(
        self, size: int, services=('desk',), data_centres=('oslo-a',)
    ) -> None:
        """Start VMs, whose services take turns, and wait until ready.

        Their data centres take turns too.
        """
        store = await self.platform.start()
        ports = find_free_ports(len(_LISTENERS) + 1)
        self.platform.put('op/config', make_configuration())
        for number in range(1, size + 1):
            service = services[number % len(services)]
            data_centre = data_centres[number % len(data_centres)]
            vm = Vm(number, ports, store, self.directory, service, data_centre)
            vm.max_descriptors = self.max_descriptors
            self.vms.append(vm)
            self.register(vm)
            await vm.start()
        for _ in range(_MAX_READY_PROBES):
            if all([await is_ready(vm) for vm in self.vms]):
                return
            await asyncio.sleep(_READY_PROBE_PERIOD_SECONDS)
        raise TimeoutError('the daemons did not become ready in time')

    def register(self, vm: Vm, state: str = 'ready') -> None:
        key = f'servers/{vm.upstream.instance}'
        self.platform.put(key, vm.make_entry(state))

    async def stop(self) -> None:
        for vm in self.vms:
            await vm.stop()
        await self.platform.stop()

    def runs(self, request_id: str) -> int:
        return sum(vm.upstream.count_executions(request_id) for vm in self.vms)


async def send_request(
    vm: Vm,
    target: str,
    *,
    key='studio-key',
    request_id='',
    method='GET',
    listener: str = 'ingress',
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; return status, headers, body."""
    address = vm.host, vm.ports[listener]
    reader, writer = await asyncio.open_connection(*address)
    header_lines = [f'Host: {HOST}', f'X-Attempt-Id: {request_id}']
    if key:
        header_lines.append(f'Authorization: Bearer {key}')
    if method != 'GET':
        header_lines.append('Content-Length: 0')
    head = f'{method} {target} HTTP/1.1\r\n' + '\r\n'.join(header_lines)
    writer.write(head.encode() + b'\r\n\r\n')
    try:
        async with asyncio.timeout(5):
            answer_head = (await reader.readuntil(b'\r\n\r\n')).decode()
            line, *answer_lines = answer_head.strip().split('\r\n')
            headers = dict(row.lower().split(': ', 1) for row in answer_lines)
            length = int(headers.get('content-length', 0))
            body = await reader.readexactly(length)
    finally:
        writer.close()
    return int(line.split()[1]), headers, body


async def is_ready(vm: Vm) -> bool:
    """Return whether the sidecar is ready, probed as the platform does."""
    try:
        status, _, _ = await send_request(
            vm, '/wagtailline/readiness', listener='readiness'
        )
    except OSError:
        return False
    return status == 200
