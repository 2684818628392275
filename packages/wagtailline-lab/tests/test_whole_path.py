"""End-to-end tests with daemon processes and real sockets."""

import asyncio
import json
import signal
import sys
import time
import uuid

import aiohttp
import pytest

from wagtailline_lab.deployments import Deployment, make_api_key
from wagtailline_lab.mesh import HOST, Mesh

_DEPLOYMENT = Deployment(
    name='small',
    region='north',
    data_centres=('north1', 'north2'),
    services={'desk': 2, 'archive': 2},
    slots=6,
    connections=20,
    client_accounts={'studio': (100, 50), 'courier': (100, 50)},
)
# Bounds a test that hangs; no test asserts a duration.
_TEST_TIMEOUT_SECONDS = 60


@pytest.fixture
async def mesh(tmp_path):
    running = Mesh(_DEPLOYMENT, tmp_path)
    try:
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            await running.start()
            await running.wait_ready()
            yield running
    finally:
        await running.stop()


class _Client:
    def __init__(self, session, port):
        self._session = session
        self._base_url = f'http://{HOST}:{port}'

    async def send(self, path, account=None, method='GET', **options):
        headers = options.pop('headers', {})
        if account is not None:
            headers['Authorization'] = f'Bearer {make_api_key(account)}'
        async with self._session.request(
            method, self._base_url + path, headers=headers, **options
        ) as response:
            return response.status, await response.read()

    def open_response(self, path, account):
        headers = {'Authorization': f'Bearer {make_api_key(account)}'}
        return self._session.get(self._base_url + path, headers=headers)

    async def wait_for_status(self, status, path, account):
        while (  # noqa: ASYNC110
            await self.send(path, account)
        )[0] != status:
            await asyncio.sleep(0.1)


async def test_change_reaches_calls_without_a_restart(mesh):
    """Published changes must reach calls while the daemons run.

    The change withdraws the key of one client account and adds a route. Calls
    pass two daemons, and no upstream may see the key of the client.
    """
    async with aiohttp.ClientSession() as session:
        client = _Client(session, mesh.members[0].ports.http)
        await client.wait_for_status(200, '/desk/1', 'studio')
        await client.wait_for_status(200, '/archive/1', 'studio')
        status, body = await client.send('/archive/2?bytes=300000', 'studio')
        assert (status, len(body)) == (200, 300000)
        status, body = await client.send('/archive/2')
        assert status == 401
        assert json.loads(body)['executed'] == 'no'
        _withdraw_key(mesh, 'studio')
        mesh.set['routes'].append(
            {'name': 'samples', 'prefix': '/samples', 'service': 'desk'}
        )
        mesh.publish()
        await client.wait_for_status(401, '/desk/1', 'studio')
        await client.wait_for_status(200, '/samples/1', 'courier')
        seen = set().union(
            *(member.upstream.seen_headers for member in mesh.members)
        )
        assert 'authorization' not in seen


async def test_refusal_names_the_limit(mesh):
    """A refused client must learn which limit applied and that nothing ran."""
    mesh.set['limits'][0].update(rate=0.1, burst=1)
    mesh.publish()
    async with aiohttp.ClientSession() as session:
        client = _Client(session, mesh.members[0].ports.http)
        headers = {'Wagtailline-Timeout-Ms': '100'}
        while True:
            status, body = await client.send(
                '/desk/1', 'studio', headers=headers
            )
            if status == 429:
                break
        problem = json.loads(body)
        assert problem['limit'] == 'studio'
        assert problem['executed'] == 'no'


async def test_planned_stop_cuts_no_call(mesh):
    """A daemon that stops must finish the requests of its own clients."""
    async with aiohttp.ClientSession() as session:
        client = _Client(session, mesh.members[0].ports.http)
        await client.wait_for_status(200, '/desk/1', 'studio')
        large_call = asyncio.create_task(
            client.send('/desk/1?bytes=30000000', 'studio')
        )
        while not any(  # noqa: ASYNC110
            member.upstream.running for member in mesh.members
        ):
            await asyncio.sleep(0.01)
        mesh.members[0].process.send_signal(signal.SIGTERM)
        status, body = await large_call
        assert (status, len(body)) == (200, 30_000_000)
        assert await mesh.members[0].process.wait() == 0


async def test_bad_settings_end_with_status_two(tmp_path):
    """A daemon must not start with invalid settings, which would fail later."""
    path = tmp_path / 'bad.json'
    path.write_text('{"vm": "vm-1", "http_port": 0}')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'wagtailline_daemon.main',
        str(path),
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert b"'http_port'" in errors
    assert b"'endpoint'" in errors


def _withdraw_key(mesh, account):
    mesh.set['keys'] = [
        key for key in mesh.set['keys'] if key['client_account'] != account
    ]


async def test_keyed_call_runs_once_over_both_daemons(mesh):
    """A retry through another daemon must find the record of the first call."""
    async with aiohttp.ClientSession() as session:
        clients = [
            _Client(session, member.ports.http) for member in mesh.members
        ]
        await clients[0].wait_for_status(200, '/desk/1', 'studio')
        while True:
            headers = {'Idempotency-Key': _make_idempotency_key()}
            status, body = await clients[0].send(
                '/desk/pay', 'studio', 'POST', headers=headers, data=b'1'
            )
            # A gate that has just started may refuse keys, because it does not
            # know whether they were used before.
            if status == 200:
                break
            await asyncio.sleep(0.2)
        for client in clients:
            response = await client.send(
                '/desk/pay', 'studio', 'POST', headers=headers, data=b'1'
            )
            assert response == (200, body)
        key = headers['Idempotency-Key']
        runs = [member.upstream.executions[key] for member in mesh.members]
        assert sum(runs) == 1
        status, _ = await clients[1].send(
            '/desk/pay', 'studio', 'POST', headers=headers, data=b'2'
        )
        assert status == 422


def _make_idempotency_key():
    milliseconds = int(time.time() * 1000)
    tail = uuid.uuid4().hex
    return str(uuid.UUID(f'{milliseconds:012x}7{tail[13:16]}8{tail[17:32]}'))


async def test_planned_stop_of_a_gate_cuts_no_call(mesh):
    """A daemon that stops must finish the calls that others forwarded to it."""
    async with aiohttp.ClientSession() as session:
        client = _Client(session, mesh.members[0].ports.http)
        await client.wait_for_status(200, '/archive/1', 'studio')
        async with client.open_response(
            '/archive/1?bytes=30000000', 'studio'
        ) as response:
            # Flow control keeps the call in progress until the body is read.
            received = len(await response.content.read(1))
            (running,) = [
                member for member in mesh.members if member.upstream.running
            ]
            running.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1)
            received += len(await response.content.read())
        assert received == 30_000_000
        assert await running.process.wait() == 0


async def test_drained_data_centre_gets_no_new_work(mesh):
    """Once a drain is in force, all calls go to the other data centre."""
    async with aiohttp.ClientSession() as session:
        client = _Client(session, mesh.members[0].ports.http)
        await client.wait_for_status(200, '/desk/1', 'studio')
        mesh.set['data_centres'][0]['in_service'] = False
        version = mesh.publish()
        for member in mesh.members:
            await _wait_for_version(session, member, version)
        drained = [gate for gate in mesh.members if 'north1' in gate.endpoint]
        before = [gate.upstream.executions.total() for gate in drained]
        for _ in range(10):
            await client.wait_for_status(200, '/desk/1', 'studio')
        assert [gate.upstream.executions.total() for gate in drained] == before


async def _wait_for_version(session, member, version):
    url = f'http://{HOST}:{member.ports.operator}/v1/status'
    while True:
        async with session.get(url) as response:
            status = await response.json()
        if status['snapshot']['version'] >= version:
            return
        await asyncio.sleep(0.05)
