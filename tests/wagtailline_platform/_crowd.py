"""Clients that send or hold what ordinary ones never do, in a small crowd."""

import asyncio
import contextlib
import os
from pathlib import Path
from typing import NamedTuple

from _daemons import HOST, Vm, send_request

# Memory of the smallest VM of the users.
MACHINE_BYTES = 150_000_000
# Of its descriptors the users reserve so many for files.
FILE_DESCRIPTORS = 200
# Time for which the crowd acts before an ordinary request is sent beside it.
ATTACK_SECONDS = 5.0
ORDINARY_SECONDS = 15.0
_PAUSE_SECONDS = 0.05
_READ_BYTES = 64 * 1024
_KIBIBYTE = 1024
# Part that is written before the client waits for the daemon to read it.
_WRITE_BYTES = 64 * 1024

START = (
    'GET /status/1 HTTP/1.1\r\n'
    f'Host: {HOST}\r\n'
    'X-Attempt-Id: crowd\r\n'
    'Authorization: Bearer studio-key\r\n'
).encode()
POST = START.replace(b'GET /status', b'POST /order')
CHUNKED_POST = POST + b'Transfer-Encoding: chunked\r\n\r\n'
# 15,600 bytes of headers, within the limit of 16,384 bytes for a head.
SHORT_LINES = b'a:\r\n' * 3_900
SHORT_HEAD = START + SHORT_LINES + b'\r\n'
ORDINARY = START + b'\r\n'


class Crowd(NamedTuple):
    """What each of ``size`` clients sends: ``first``, then ``part`` again.

    A client without ``part`` keeps its connection open after ``first``. One
    that doesn't read leaves the answers where they are.
    """

    size: int
    first: bytes
    part: bytes = b''
    is_reading: bool = True
    path: str = 'ingress'


CROWDS = {
    'heads of short lines': Crowd(40, b'', SHORT_HEAD),
    'heads of short lines, not read': Crowd(
        40, b'', SHORT_HEAD, is_reading=False
    ),
    'incomplete heads of short lines': Crowd(400, START + SHORT_LINES),
    'bodies without waiting, answers not read': Crowd(
        40,
        b'',
        POST + b'Content-Length: 200000\r\n\r\n' + b'x' * 200_000,
        is_reading=False,
    ),
    'heads of short lines behind a slow request': Crowd(
        40, POST + b'Content-Length: 0\r\n\r\n' + SHORT_HEAD * 14
    ),
    'header lines without end': Crowd(40, START, b'a:\r\n' * 1_000),
    'one header line without end': Crowd(40, START + b'a: ', b'x' * 4_096),
    'odd header names': Crowd(40, START, b'!#$%&:\t\t\r\n' * 400),
    'target without end': Crowd(40, b'GET /status/', b'x' * 4_096),
    'empty lines without end': Crowd(300, b'', b'\r\n' * 8_192),
    'one trailer line without end': Crowd(
        40, CHUNKED_POST + b'5\r\nhello\r\n0\r\na: ', b'x' * 65_536
    ),
    'trailer lines without end': Crowd(
        40, CHUNKED_POST + b'5\r\nhello\r\n0\r\n', b'a:\r\n' * 8_192
    ),
    'chunk extension without end': Crowd(
        40, CHUNKED_POST + b'5', b';x' * 16_384
    ),
    'chunks of one byte': Crowd(40, CHUNKED_POST, b'1\r\nx\r\n' * 8_192),
    'one chunk without end': Crowd(
        40, CHUNKED_POST + b'10000000\r\n', b'x' * 65_536
    ),
    'bodies that stop before their end': Crowd(
        200, POST + b'Content-Length: 900000\r\n\r\n' + b'x' * 200_000
    ),
    'requests without waiting': Crowd(40, b'', ORDINARY * 40),
    'requests without waiting, answers not read': Crowd(
        60, b'', ORDINARY * 40, is_reading=False
    ),
    'readiness without waiting, answers not read': Crowd(
        60,
        b'',
        b'GET / HTTP/1.1\r\nHost: a\r\n\r\n' * 40,
        is_reading=False,
        path='readiness',
    ),
    'metrics without waiting, answers not read': Crowd(
        60,
        b'',
        b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n' * 40,
        is_reading=False,
        path='metrics',
    ),
    'frames between daemons that stay incomplete': Crowd(
        300, b'\x00\x0f\xff\xff' + b'x' * 1_000_000, path='peers'
    ),
}


class Client:
    """One client of a crowd; opens a new connection when one is closed."""

    def __init__(self, crowd: Crowd, vm: Vm) -> None:
        self._crowd = crowd
        self._address = vm.host, vm.ports[crowd.path]

    async def run(self) -> None:
        """Act until the task is cancelled."""
        while True:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(*self._address)
        reading = asyncio.ensure_future(self._read(reader))
        try:
            await self._write(writer)
            await reading
        finally:
            reading.cancel()
            writer.transport.abort()

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        first = self._crowd.first
        for start in range(0, len(first), _WRITE_BYTES):
            writer.write(first[start : start + _WRITE_BYTES])
            await writer.drain()
        while self._crowd.part:
            writer.write(self._crowd.part)
            await writer.drain()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        if not self._crowd.is_reading:
            await asyncio.Event().wait()
        while await reader.read(_READ_BYTES):
            continue


class Usage(NamedTuple):
    """Largest use of one daemon: resident bytes, and open descriptors."""

    peak_bytes: int
    descriptors: int


def read_peak_bytes(process_id: int) -> int:
    """Return the peak of a process's resident memory, as the kernel has it."""
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) * _KIBIBYTE
    return 0


def count_descriptors(process_id: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f'/proc/{process_id}/fd'))


async def ask_until_answered(
    vm: Vm, target: str, content: bytes | None = b'sealed'
) -> bool:
    """Return whether an ordinary client, which tries again, is answered.

    Without ``content``, the answer may have any body.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + ORDINARY_SECONDS
    while loop.time() < ends_at:
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            status, _, body = await send_request(vm, target, request_id='own')
            if status == 200 and content in {None, body}:
                return True
        await asyncio.sleep(_PAUSE_SECONDS)
    return False


class Siege:
    """A crowd at one daemon, which goes on until the block ends."""

    def __init__(self, crowd: Crowd, vm: Vm) -> None:
        self._crowd = crowd
        self._vm = vm
        self._tasks: list[asyncio.Task[None]] = []
        self.descriptors = 0

    async def __aenter__(self) -> 'Siege':
        self._tasks = [
            asyncio.ensure_future(Client(self._crowd, self._vm).run())
            for _ in range(self._crowd.size)
        ]
        self._tasks.append(asyncio.ensure_future(self._watch()))
        await asyncio.sleep(ATTACK_SECONDS)
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch(self) -> None:
        while self._vm.process.returncode is None:
            count = count_descriptors(self._vm.process.pid)
            self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(_PAUSE_SECONDS)
