"""Drives the whole path over real processes and sockets."""

import asyncio
import json
import signal
import sys
import time
import uuid

import aiohttp
import pytest

from wagtailline_lab.deployments import Shape, key_of
from wagtailline_lab.mesh import HOST, Mesh

_SHAPE = Shape(
    name='small',
    region='north',
    data_centres=('north1', 'north2'),
    services={'desk': 2, 'archive': 2},
    slots=6,
    connections=20,
    client_accounts={'studio': (100, 50), 'courier': (100, 50)},
)
# Ends a test that hangs; no figure is asserted.
_GIVE_UP_SECONDS = 60


@pytest.fixture
async def mesh(tmp_path):
    running = Mesh(_SHAPE, tmp_path)
    try:
        async with asyncio.timeout(_GIVE_UP_SECONDS):
            await running.start()
            await running.wait_ready()
            yield running
    finally:
        await running.stop()


class _Caller:
    def __init__(self, session, port):
        self._session = session
        self._base = f'http://{HOST}:{port}'

    async def send(self, path, account=None, method='GET', **options):
        headers = options.pop('headers', {})
        if account is not None:
            headers['Authorization'] = f'Bearer {key_of(account)}'
        async with self._session.request(
            method, self._base + path, headers=headers, **options
        ) as answer:
            return answer.status, await answer.read()

    def open(self, path, account):
        headers = {'Authorization': f'Bearer {key_of(account)}'}
        return self._session.get(self._base + path, headers=headers)

    async def until(self, status, path, account):
        while (  # noqa: ASYNC110
            await self.send(path, account)
        )[0] != status:
            await asyncio.sleep(0.1)


async def test_change_reaches_calls_without_a_restart(mesh):
    """Covers publishing, routing, both daemons of a call, withdrawal."""
    async with aiohttp.ClientSession() as session:
        caller = _Caller(session, mesh.members[0].ports.http)
        await caller.until(200, '/desk/1', 'studio')
        await caller.until(200, '/archive/1', 'studio')
        status, body = await caller.send('/archive/2?bytes=300000', 'studio')
        assert (status, len(body)) == (200, 300000)
        status, body = await caller.send('/archive/2')
        assert status == 401
        assert json.loads(body)['executed'] == 'no'
        _withdraw_key(mesh, 'studio')
        mesh.set['routes'].append(
            {'name': 'samples', 'prefix': '/samples', 'service': 'desk'}
        )
        mesh.publish()
        await caller.until(401, '/desk/1', 'studio')
        await caller.until(200, '/samples/1', 'courier')
        seen = set().union(
            *(member.upstream.seen_headers for member in mesh.members)
        )
        assert 'authorization' not in seen


async def test_refusal_names_the_limit(mesh):
    """A caller has to know which limit refused and that nothing ran."""
    mesh.set['limits'][0].update(rate=0.1, burst=1)
    mesh.publish()
    async with aiohttp.ClientSession() as session:
        caller = _Caller(session, mesh.members[0].ports.http)
        headers = {'Wagtailline-Timeout-Ms': '100'}
        while True:
            status, body = await caller.send(
                '/desk/1', 'studio', headers=headers
            )
            if status == 429:
                break
        problem = json.loads(body)
        assert problem['limit'] == 'studio'
        assert problem['executed'] == 'no'


async def test_planned_stop_cuts_no_call(mesh):
    """A stopping daemon must finish what it has begun."""
    async with aiohttp.ClientSession() as session:
        caller = _Caller(session, mesh.members[0].ports.http)
        await caller.until(200, '/desk/1', 'studio')
        large = asyncio.create_task(
            caller.send('/desk/1?bytes=30000000', 'studio')
        )
        while not any(  # noqa: ASYNC110
            member.upstream.running for member in mesh.members
        ):
            await asyncio.sleep(0.01)
        mesh.members[0].process.send_signal(signal.SIGTERM)
        status, body = await large
        assert (status, len(body)) == (200, 30_000_000)
        assert await mesh.members[0].process.wait() == 0


async def test_bad_settings_end_with_status_two(tmp_path):
    """A daemon that starts on bad settings misbehaves later."""
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
    """A resend through another daemon must meet the same record."""
    async with aiohttp.ClientSession() as session:
        callers = [
            _Caller(session, member.ports.http) for member in mesh.members
        ]
        await callers[0].until(200, '/desk/1', 'studio')
        while True:
            headers = {'Idempotency-Key': _make_key()}
            status, body = await callers[0].send(
                '/desk/pay', 'studio', 'POST', headers=headers, data=b'1'
            )
            # A gate that has just started may not know earlier keys.
            if status == 200:
                break
            await asyncio.sleep(0.2)
        for caller in callers:
            answer = await caller.send(
                '/desk/pay', 'studio', 'POST', headers=headers, data=b'1'
            )
            assert answer == (200, body)
        key = headers['Idempotency-Key']
        runs = [member.upstream.executions[key] for member in mesh.members]
        assert sum(runs) == 1
        status, _ = await callers[1].send(
            '/desk/pay', 'studio', 'POST', headers=headers, data=b'2'
        )
        assert status == 422


def _make_key():
    milliseconds = int(time.time() * 1000)
    tail = uuid.uuid4().hex
    return str(uuid.UUID(f'{milliseconds:012x}7{tail[13:16]}8{tail[17:32]}'))


async def test_planned_stop_of_a_gate_cuts_no_call(mesh):
    """A gate that stops must finish the calls of other daemons."""
    async with aiohttp.ClientSession() as session:
        caller = _Caller(session, mesh.members[0].ports.http)
        await caller.until(200, '/archive/1', 'studio')
        async with caller.open('/archive/1?bytes=30000000', 'studio') as answer:
            # Flow control holds the call in progress until it is read.
            received = len(await answer.content.read(1))
            (running,) = [one for one in mesh.members if one.upstream.running]
            running.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1)
            received += len(await answer.content.read())
        assert received == 30_000_000
        assert await running.process.wait() == 0


async def test_drained_data_centre_gets_no_new_work(mesh):
    """After the drain is in force, every call goes to the other centre."""
    async with aiohttp.ClientSession() as session:
        caller = _Caller(session, mesh.members[0].ports.http)
        await caller.until(200, '/desk/1', 'studio')
        mesh.set['data_centres'][0]['in_service'] = False
        version = mesh.publish()
        for member in mesh.members:
            await _until_version(session, member, version)
        drained = [one for one in mesh.members if 'north1' in one.endpoint]
        before = [one.upstream.executions.total() for one in drained]
        for _ in range(10):
            await caller.until(200, '/desk/1', 'studio')
        assert [one.upstream.executions.total() for one in drained] == before


async def _until_version(session, member, version):
    url = f'http://{HOST}:{member.ports.operator}/v1/status'
    while True:
        async with session.get(url) as answer:
            status = await answer.json()
        if status['snapshot']['version'] >= version:
            return
        await asyncio.sleep(0.05)
