"""Runs a local mesh: platform and upstream fakes, one daemon an endpoint.

``python -m wagtailline_lab.mesh [DEPLOYMENT ...]`` runs until Ctrl-C.
"""

import argparse
import asyncio
import contextlib
import json
import resource
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from wagtailline.objects import parse_objects
from wagtailline.release import build_release
from wagtailline_ctl.releases import read_release, write_release
from wagtailline_lab.deployments import (
    DEPLOYMENTS,
    Deployment,
    make_api_key,
    make_set,
)
from wagtailline_lab.platform import FakePlatform
from wagtailline_lab.port_blocks import reserve_ports
from wagtailline_lab.upstream import FakeUpstream

HOST = '127.0.0.1'
_PORTS_PER_DAEMON = 4
_FIRST_PORT = 21_000
_PORTS_PER_DEPLOYMENT = 200
_READY_TIMEOUT_SECONDS = 30.0
_READY_POLL_SECONDS = 0.1
_STOP_TIMEOUT_SECONDS = 10.0


class Ports(NamedTuple):
    """Ports of one daemon and of its upstream."""

    http: int
    peer: int
    operator: int
    upstream: int


class MeshMember(NamedTuple):
    """One endpoint: its daemon process and its fake upstream."""

    endpoint: str
    ports: Ports
    upstream: FakeUpstream
    process: asyncio.subprocess.Process


class Mesh:
    """Deployment on loopback: a fake platform, fake upstreams and daemons."""

    def __init__(
        self, deployment: Deployment, directory: Path, ports: Sequence[int] = ()
    ) -> None:
        """Set up a mesh with its published values, settings and logs on disk.

        All files are written below ``directory``. If no ports are given, a
        free block is reserved. Daemons that start while ``max_descriptors`` is
        set may have so many descriptors open.
        """
        self.deployment = deployment
        self.values = directory / 'values'
        self.platform = FakePlatform(self.values)
        self.members: list[MeshMember] = []
        self.set = make_set(deployment)
        self.max_descriptors: int | None = None
        self._directory = directory
        port_count = 1 + len(self.set['endpoints']) * _PORTS_PER_DAEMON
        self._port_block = None if ports else reserve_ports(port_count)
        self._ports = (
            self._port_block.ports if self._port_block else tuple(ports)
        )

    @property
    def platform_url(self) -> str:
        """Base URL of the fake platform."""
        return f'http://{HOST}:{self._ports[0]}'

    async def start(self) -> None:
        """Publish the object set and start the fakes and all daemons."""
        self.publish()
        self._publish_vm_lists()
        await self.platform.start(HOST, self._ports[0])
        for index, endpoint in enumerate(self.set['endpoints']):
            self.members.append(await self._start_member(index, endpoint))

    async def stop(self) -> None:
        """Stop the daemons by SIGTERM, then the fakes."""
        for member in self.members:
            if member.process.returncode is None:
                member.process.send_signal(signal.SIGTERM)
        await asyncio.gather(
            *(_wait_for_exit(ending.process) for ending in self.members)
        )
        for member in self.members:
            await member.upstream.stop()
        await self.platform.stop()
        if self._port_block is not None:
            self._port_block.release()

    def publish(self) -> int:
        """Publish the object set as the next version and return the version."""
        objects = parse_objects(self.set).unwrap()
        parent = read_release(self.values).unwrap()
        release = build_release(objects, parent.head, parent.objects).unwrap()
        write_release(self.values, release)
        return release.head.version

    async def wait_ready(self) -> None:
        """Wait until all daemons are ready; raise TimeoutError otherwise."""
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
                for member in self.members:
                    # Readiness of another process can only be polled.
                    while not await _is_ready(  # noqa: ASYNC110
                        session, member.ports
                    ):
                        await asyncio.sleep(_READY_POLL_SECONDS)

    def ports(self, index: int) -> Ports:
        """Return the ports of the daemon with the given index."""
        first = 1 + index * _PORTS_PER_DAEMON
        return Ports(*self._ports[first : first + _PORTS_PER_DAEMON])

    async def start_daemon(self, index: int) -> asyncio.subprocess.Process:
        """Write the settings of the daemon with this index and start it."""
        endpoint = self.set['endpoints'][index]
        path = self._directory / f'{endpoint["name"]}.json'
        path.write_text(json.dumps(self._make_settings(index), indent=2))
        log = (self._directory / f'{endpoint["name"]}.log').open('ab')
        with log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'wagtailline_daemon.main',
                str(path),
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        if self.max_descriptors is not None:
            limits = self.max_descriptors, self.max_descriptors
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    async def _start_member(
        self, index: int, endpoint: dict[str, Any]
    ) -> MeshMember:
        ports = self.ports(index)
        upstream = FakeUpstream(endpoint['name'], endpoint['slots'])
        await upstream.start(HOST, ports.upstream)
        return MeshMember(
            endpoint['name'], ports, upstream, await self.start_daemon(index)
        )

    def _make_settings(self, index: int) -> dict[str, Any]:
        endpoint = self.set['endpoints'][index]
        ports = self.ports(index)
        return {
            'vm': f'vm-{endpoint["name"]}',
            'endpoint': endpoint['name'],
            'data_centre': endpoint['data_centre'],
            'host': HOST,
            'http_port': ports.http,
            'peer_port': ports.peer,
            'operator_port': ports.operator,
            'upstream_port': ports.upstream,
            'source_url': self.platform_url,
            'trace_exporter': 'file',
            'trace_target': str(self._directory / 'spans.jsonl'),
        }

    def _publish_vm_lists(self) -> None:
        vms_by_data_centre: dict[str, list[dict[str, Any]]] = {}
        for index, endpoint in enumerate(self.set['endpoints']):
            vms_by_data_centre.setdefault(endpoint['data_centre'], []).append(
                {
                    'vm': f'vm-{endpoint["name"]}',
                    'endpoint': endpoint['name'],
                    'data_centre': endpoint['data_centre'],
                    'host': HOST,
                    'port': self.ports(index).peer,
                    'incarnation': 0,
                    'leaving': False,
                }
            )
        for data_centre, vms in vms_by_data_centre.items():
            path = self.values / 'vms' / data_centre
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(json.dumps(vms))


async def run_meshes(deployments: list[Deployment]) -> None:
    """Run a mesh for each deployment until SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(stop_signal, stopped.set)
    with tempfile.TemporaryDirectory(prefix='wagtailline-') as name:
        meshes = [
            Mesh(
                deployment,
                _create_directory(Path(name) / deployment.name),
                _fixed_ports(index),
            )
            for index, deployment in enumerate(deployments)
        ]
        try:
            for mesh in meshes:
                print(f'starting {mesh.deployment.name}', flush=True)
                await mesh.start()
            for mesh in meshes:
                await _print_instructions(mesh)
            await stopped.wait()
        finally:
            print('stopping', flush=True)
            for mesh in meshes:
                await mesh.stop()


async def _print_instructions(mesh: Mesh) -> None:
    await mesh.wait_ready()
    deployment, ports = mesh.deployment, mesh.members[0].ports
    service = next(iter(deployment.services))
    account = next(iter(deployment.client_accounts))
    key = make_api_key(account)
    values = mesh.values
    set_path = values.parent / 'set.json'
    set_path.write_text(json.dumps(mesh.set, indent=2))
    print(
        f"""
{deployment.name}: {len(mesh.members)} daemons in \
{len(deployment.data_centres)} data centres are ready.
  a routed request:
    curl -i -H 'Authorization: Bearer {key}' \
http://{HOST}:{ports.http}/{service}/1
  a refused one (no key):
    curl -i http://{HOST}:{ports.http}/{service}/1
  what is in force:
    .venv/bin/wagtailctl status {HOST}:{ports.operator}
  withdraw the key: remove its entry from
    {set_path}
  then publish:
    .venv/bin/wagtailctl build {set_path} {values}
  logs and spans: {values.parent}
Ctrl-C ends everything.""",
        flush=True,
    )


def _fixed_ports(deployment: int) -> range:
    first = _FIRST_PORT + deployment * _PORTS_PER_DEPLOYMENT
    return range(first, first + _PORTS_PER_DEPLOYMENT)


def _create_directory(path: Path) -> Path:
    path.mkdir(parents=True)
    return path


async def _is_ready(session: aiohttp.ClientSession, ports: Ports) -> bool:
    url = f'http://{HOST}:{ports.operator}/v1/status'
    with contextlib.suppress(aiohttp.ClientError):
        async with session.get(url) as answer:
            status = await answer.json()
            return bool(status.get('ready'))
    return False


async def _wait_for_exit(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(_STOP_TIMEOUT_SECONDS):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


def main() -> None:
    """Run the deployments that the arguments name, or else all of them."""
    parser = argparse.ArgumentParser(prog='mesh', description=__doc__)
    parser.add_argument(
        'deployments', nargs='*', choices=[*DEPLOYMENTS, []], default=[]
    )
    names = parser.parse_args().deployments or list(DEPLOYMENTS)
    asyncio.run(run_meshes([DEPLOYMENTS[name] for name in names]))


if __name__ == '__main__':
    main()
