"""Benchmark of one real daemon with the snapshot of a large fleet.

``python -m wagtailline_lab.bench.footprint`` prints for several fleet sizes
the resident memory of the daemon, the time until its first snapshot, and the
CPU time that it uses at rest and for each change. The vms of the other
endpoints are in the published lists, but none of them runs.
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from wagtailline_lab.bench.path import cpu_seconds, resident_kib
from wagtailline_lab.deployments import Deployment
from wagtailline_lab.mesh import HOST, Mesh
from wagtailline_lab.port_blocks import reserve_ports

SIZES = (512, 2048, 4096, 8200)
SERVICES = 500
DATA_CENTRES = 11
CHANGES = 20
ACCOUNTS = 200
# A port that nothing listens on.
_CLOSED_PORT = 9
_KIB = 1024
_POLL_SECONDS = 0.02
_SNAPSHOT_TIMEOUT_SECONDS = 90.0
_SETTLE_SECONDS = 15.0
_MEASURED_SECONDS = 10.0
_PORT_COUNT = 16


class Footprint(NamedTuple):
    """Resources that one daemon used at one fleet size."""

    endpoints: int
    first_snapshot_seconds: float
    resident_mib: float
    rest_cpu_percent: float
    change_cpu_ms: float


def make_deployment(endpoints: int) -> Deployment:
    """Return a deployment with this many endpoints."""
    services = min(SERVICES, endpoints // 4)
    endpoints_per_service, remainder = divmod(endpoints, services)
    return Deployment(
        name=f'fleet-{endpoints}',
        region='region1',
        data_centres=tuple(f'dc{index}' for index in range(DATA_CENTRES)),
        services={
            f'service-{index}': endpoints_per_service + (index < remainder)
            for index in range(services)
        },
        slots=6,
        connections=120,
        client_accounts={
            f'account-{index}': (100, 100) for index in range(ACCOUNTS)
        },
    )


class SingleDaemonMesh(Mesh):
    """Mesh that runs only the first daemon of a deployment."""

    async def start(self) -> None:
        """Publish the objects and the lists of vms, and start one daemon."""
        self.publish()
        self._list_vms()
        await self.platform.start(HOST, self._ports[0])
        endpoint = self.set['endpoints'][0]
        self.members.append(await self._start_member(0, endpoint))

    def _list_vms(self) -> None:
        vms_by_data_centre: dict[str, list[dict[str, Any]]] = {}
        for endpoint in self.set['endpoints'][1:]:
            vms_by_data_centre.setdefault(endpoint['data_centre'], []).append(
                {
                    'vm': f'vm-{endpoint["name"]}',
                    'endpoint': endpoint['name'],
                    'data_centre': endpoint['data_centre'],
                    'host': HOST,
                    'port': _CLOSED_PORT,
                    'incarnation': 0,
                    'leaving': False,
                }
            )
        for data_centre, vms in vms_by_data_centre.items():
            path = self.values / 'vms' / data_centre
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(json.dumps(vms))


async def measure(endpoints: int) -> Footprint:
    """Run one daemon in a fleet with this many endpoints."""
    port_block = reserve_ports(_PORT_COUNT)
    with tempfile.TemporaryDirectory(prefix='wagtailline-') as directory:
        mesh = SingleDaemonMesh(
            make_deployment(endpoints), Path(directory), port_block.ports
        )
        try:
            return await _measure_daemon(mesh, endpoints)
        finally:
            await mesh.stop()
            port_block.release()


async def _measure_daemon(mesh: Mesh, endpoints: int) -> Footprint:
    await mesh.start()
    pid = mesh.members[0].process.pid
    first_snapshot_seconds = await _time_until_version(mesh, 1)
    await asyncio.sleep(_SETTLE_SECONDS)
    idle_share = await _measure_cpu_share(pid)
    changing_share = await _measure_cpu_share(pid, mesh)
    return Footprint(
        endpoints,
        first_snapshot_seconds,
        resident_kib(pid) / _KIB,
        idle_share * 100,
        (changing_share - idle_share) * _MEASURED_SECONDS / CHANGES * 1000,
    )


async def _measure_cpu_share(
    pid: int, changed_mesh: Mesh | None = None
) -> float:
    """Return the CPU usage over a period, with changes if a mesh is given."""
    before = cpu_seconds(pid)
    for number in range(CHANGES):
        if changed_mesh is not None:
            changed_mesh.set['routes'][number]['timeout_ms'] += 1
            changed_mesh.publish()
        await asyncio.sleep(_MEASURED_SECONDS / CHANGES)
    return (cpu_seconds(pid) - before) / _MEASURED_SECONDS


async def _time_until_version(mesh: Mesh, version: int) -> float:
    started_at = time.monotonic()
    url = f'http://{HOST}:{mesh.members[0].ports.operator}/v1/status'
    async with asyncio.timeout(_SNAPSHOT_TIMEOUT_SECONDS):
        async with aiohttp.ClientSession() as session:
            # The version changes in another process, so no event can tell.
            while (  # noqa: ASYNC110
                await _read_version(session, url) < version
            ):
                await asyncio.sleep(_POLL_SECONDS)
    return time.monotonic() - started_at


async def _read_version(session: aiohttp.ClientSession, url: str) -> int:
    try:
        async with session.get(url) as response:
            status = await response.json()
    except aiohttp.ClientError:
        return 0
    return int(status['snapshot']['version'])


def main() -> None:
    """Run the benchmark for every size and print the table."""
    print(' '.join(Footprint._fields))
    for size in SIZES:
        footprint = asyncio.run(measure(size))
        print(' '.join(f'{field:.2f}' for field in footprint), flush=True)


if __name__ == '__main__':
    main()
