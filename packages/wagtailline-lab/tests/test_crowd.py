"""End-to-end tests of clients of ``wagtaild`` that do not behave.

They check that the daemons live, that memory and descriptors stay within the
bounds of the smallest VM, and that an ordinary request is answered. They run
one at a time, apart from other load.
"""

import asyncio
import contextlib
import os
from pathlib import Path
from typing import NamedTuple

import aiohttp
import pytest

from wagtailline_lab.deployments import Deployment, make_api_key
from wagtailline_lab.mesh import HOST, Mesh

pytestmark = pytest.mark.alone

_DEPLOYMENT = Deployment(
    name='small',
    region='north',
    data_centres=('north1', 'north2'),
    services={'desk': 2},
    slots=6,
    connections=20,
    client_accounts={'studio': (1000, 500)},
)
# Memory of the smallest VM of the users.
MACHINE_BYTES = 150_000_000
# Descriptors of a daemon in these tests, of which some are for files.
MAX_DESCRIPTORS = 600
FILE_DESCRIPTORS = 200
ATTACK_SECONDS = 5.0
ORDINARY_SECONDS = 15.0
_PAUSE_SECONDS = 0.05
_READ_BYTES = 64 * 1024
_KIBIBYTE = 1024
# Bounds a test that hangs; no test asserts a duration.
_START_SECONDS = 60

START = (
    'GET /desk/1 HTTP/1.1\r\n'
    'Host: a\r\n'
    f'Authorization: Bearer {make_api_key("studio")}\r\n'
).encode()
CHUNKED_POST = (
    START.replace(b'GET', b'POST') + b'Transfer-Encoding: chunked\r\n\r\n'
)
# 15,600 bytes of headers.
SHORT_LINES = b'a:\r\n' * 3_900
ORDINARY = START + b'\r\n'


class Crowd(NamedTuple):
    """What each of ``size`` clients sends: ``first``, then ``part`` again."""

    size: int
    first: bytes
    part: bytes = b''
    is_reading: bool = True


CROWDS = {
    'heads of short lines': Crowd(40, b'', START + SHORT_LINES + b'\r\n'),
    'incomplete heads of short lines': Crowd(400, START + SHORT_LINES),
    'header lines without end': Crowd(40, START, b'a:\r\n' * 1_000),
    'one header line without end': Crowd(40, START + b'a: ', b'x' * 4_096),
    'empty lines without end': Crowd(300, b'', b'\r\n' * 8_192),
    'one trailer line without end': Crowd(
        40, CHUNKED_POST + b'5\r\nhello\r\n0\r\na: ', b'x' * 65_536
    ),
    'trailer lines without end': Crowd(
        40, CHUNKED_POST + b'5\r\nhello\r\n0\r\n', b'a:\r\n' * 8_192
    ),
    'chunks of one byte': Crowd(40, CHUNKED_POST, b'1\r\nx\r\n' * 8_192),
    'requests without waiting': Crowd(40, b'', ORDINARY * 40),
    'requests without waiting, answers not read': Crowd(
        60, b'', ORDINARY * 40, is_reading=False
    ),
    'silent connections': Crowd(700, b''),
    'idle connections': Crowd(700, ORDINARY),
}


async def _act(crowd: Crowd, port: int) -> None:
    while True:
        with contextlib.suppress(OSError):
            await _use_connection(crowd, port)
        await asyncio.sleep(_PAUSE_SECONDS)


async def _use_connection(crowd: Crowd, port: int) -> None:
    reader, writer = await asyncio.open_connection(HOST, port)
    reading = asyncio.ensure_future(_read(reader, crowd.is_reading))
    try:
        writer.write(crowd.first)
        await writer.drain()
        while crowd.part:
            writer.write(crowd.part)
            await writer.drain()
            # The platform and the upstreams run in this loop, too.
            await asyncio.sleep(0)
        await reading
    finally:
        reading.cancel()
        writer.transport.abort()


async def _read(reader: asyncio.StreamReader, is_reading: bool) -> None:
    if not is_reading:
        await asyncio.Event().wait()
    while await reader.read(_READ_BYTES):
        continue


def _read_peak_bytes(process_id: int) -> int:
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) * _KIBIBYTE
    return 0


async def _ask_until_answered(port: int) -> bool:
    """Return whether an ordinary client, which tries again, is answered."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + ORDINARY_SECONDS
    headers = {'Authorization': f'Bearer {make_api_key("studio")}'}
    timeout = aiohttp.ClientTimeout(total=5)
    while loop.time() < ends_at:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(
                    f'http://{HOST}:{port}/desk/1', headers=headers
                ) as response,
            ):
                await response.read()
                if response.status == 200:
                    return True
        await asyncio.sleep(_PAUSE_SECONDS)
    return False


@pytest.fixture
async def mesh(tmp_path):
    running = Mesh(_DEPLOYMENT, tmp_path)
    running.max_descriptors = MAX_DESCRIPTORS
    try:
        async with asyncio.timeout(_START_SECONDS):
            await running.start()
            await running.wait_ready()
        yield running
    finally:
        await running.stop()


@pytest.mark.parametrize('kind', CROWDS)
async def test_daemon_bears_a_crowd(mesh, kind):
    """Guards against clients that take a daemon's memory or its time."""
    attacked = mesh.members[0]
    port, process = attacked.ports.http, attacked.process
    assert await _ask_until_answered(port)
    crowd = CROWDS[kind]
    tasks = [
        asyncio.ensure_future(_act(crowd, port)) for _ in range(crowd.size)
    ]
    descriptors = 0
    for _ in range(int(ATTACK_SECONDS / _PAUSE_SECONDS)):
        await asyncio.sleep(_PAUSE_SECONDS)
        if process.returncode is None:
            count = len(os.listdir(f'/proc/{process.pid}/fd'))
            descriptors = max(descriptors, count)
    is_answered = await _ask_until_answered(port)
    peak_bytes = _read_peak_bytes(process.pid)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert all(member.process.returncode is None for member in mesh.members)
    assert peak_bytes <= MACHINE_BYTES
    assert descriptors <= MAX_DESCRIPTORS - FILE_DESCRIPTORS
    assert is_answered
    assert await _ask_until_answered(port)
