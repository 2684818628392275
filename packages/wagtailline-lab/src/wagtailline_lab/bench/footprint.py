"""Measures one real daemon that holds the set of a large fleet.

``python -m wagtailline_lab.bench.footprint`` prints, for several sizes, the
resident memory of the daemon, the time until its first snapshot, and the
processor time that one change costs it. The vms of the other endpoints are
listed, but none of them runs.
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
_GIVE_UP_SECONDS = 90.0
_SETTLE_SECONDS = 15.0
_PERIOD_SECONDS = 10.0
_PORTS = 16


class Footprint(NamedTuple):
    """What one daemon used at one size."""

    endpoints: int
    first_snapshot_seconds: float
    resident_mib: float
    rest_cpu_percent: float
    change_cpu_ms: float


def make_deployment(endpoints: int) -> Deployment:
    """Return a deployment with about this many endpoints."""
    services = min(SERVICES, endpoints // 4)
    base, extra = divmod(endpoints, services)
    return Deployment(
        name=f'fleet-{endpoints}',
        region='region1',
        data_centres=tuple(f'dc{index}' for index in range(DATA_CENTRES)),
        services={
            f'service-{index}': base + (index < extra)
            for index in range(services)
        },
        slots=6,
        connections=120,
        client_accounts={
            f'account-{index}': (100, 100) for index in range(ACCOUNTS)
        },
    )


class SingleDaemonMesh(Mesh):
    """Runs only the first daemon of a deployment."""

    async def start(self) -> None:
        """Publish everything and start one daemon."""
        self.publish()
        self._list_vms()
        await self.platform.start(HOST, self._ports[0])
        endpoint = self.set['endpoints'][0]
        self.members.append(await self._start_member(0, endpoint))

    def _list_vms(self) -> None:
        listed: dict[str, list[dict[str, Any]]] = {}
        for endpoint in self.set['endpoints'][1:]:
            listed.setdefault(endpoint['data_centre'], []).append(
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
        for data_centre, vms in listed.items():
            path = self.values / 'vms' / data_centre
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(json.dumps(vms))


async def measure(endpoints: int) -> Footprint:
    """Run one daemon with a set of this size."""
    block = reserve_ports(_PORTS)
    with tempfile.TemporaryDirectory(prefix='wagtailline-') as name:
        mesh = SingleDaemonMesh(
            make_deployment(endpoints), Path(name), block.ports
        )
        try:
            return await _measure_daemon(mesh, endpoints)
        finally:
            await mesh.stop()
            block.release()


async def _measure_daemon(mesh: Mesh, endpoints: int) -> Footprint:
    await mesh.start()
    process = mesh.members[0].process.pid
    first = await _await_version(mesh, 1)
    await asyncio.sleep(_SETTLE_SECONDS)
    resting = await _spend(process)
    changing = await _spend(process, mesh)
    return Footprint(
        endpoints,
        first,
        resident_kib(process) / _KIB,
        resting * 100,
        (changing - resting) * _PERIOD_SECONDS / CHANGES * 1000,
    )


async def _spend(process: int, changed: Mesh | None = None) -> float:
    """Return the processor share of a period, with changes if given."""
    before = cpu_seconds(process)
    for number in range(CHANGES):
        if changed is not None:
            changed.set['routes'][number]['timeout_ms'] += 1
            changed.publish()
        await asyncio.sleep(_PERIOD_SECONDS / CHANGES)
    return (cpu_seconds(process) - before) / _PERIOD_SECONDS


async def _await_version(mesh: Mesh, version: int) -> float:
    started = time.monotonic()
    url = f'http://{HOST}:{mesh.members[0].ports.operator}/v1/status'
    async with asyncio.timeout(_GIVE_UP_SECONDS):
        async with aiohttp.ClientSession() as session:
            # Another process can set no event of this one.
            while (  # noqa: ASYNC110
                await _read_version(session, url) < version
            ):
                await asyncio.sleep(_POLL_SECONDS)
    return time.monotonic() - started


async def _read_version(session: aiohttp.ClientSession, url: str) -> int:
    try:
        async with session.get(url) as answer:
            status = await answer.json()
    except aiohttp.ClientError:
        return 0
    return int(status['snapshot']['version'])


def main() -> None:
    """Measure every size and print the table."""
    print(' '.join(Footprint._fields))
    for size in SIZES:
        found = asyncio.run(measure(size))
        print(' '.join(f'{field:.2f}' for field in found), flush=True)


if __name__ == '__main__':
    main()
