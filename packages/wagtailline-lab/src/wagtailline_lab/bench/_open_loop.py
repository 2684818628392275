"""Open-loop load on a kept pool of connections."""

import asyncio
from collections.abc import Callable
from time import perf_counter
from typing import NamedTuple

_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length: '
_LINE_END = b'\r\n'


class Target(NamedTuple):
    """A variant: where its requests go and how they look."""

    name: str
    port: int
    prefix: str
    header: bytes


class Sample(NamedTuple):
    """Seconds from the planned send time to the last byte."""

    name: str
    seconds: float
    correct: bool


class Pool:
    """Connections to one target; one request at a time on each."""

    def __init__(self, target: Target, record: Callable[[Sample], None]):
        """Report each answer to ``record``."""
        self.target = target
        self.in_flight = 0
        self._record = record
        self._idle: list[_Caller] = []

    async def open(self, count: int) -> None:
        """Open connections before the measurement."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            await loop.create_connection(
                self._make_caller, '127.0.0.1', self.target.port
            )

    def add(self, caller: '_Caller') -> None:
        """Take a connection that is free."""
        self._idle.append(caller)

    def send(self, number: int, planned: float) -> bool:
        """Send a request; return False when no connection is free."""
        if not self._idle:
            return False
        self.in_flight += 1
        self._idle.pop().send(f'{self.target.prefix}/{number}', planned)
        return True

    def _make_caller(self) -> '_Caller':
        return _Caller(self)

    def finish(self, sample: Sample, caller: '_Caller') -> None:
        """Note an answer."""
        self.in_flight -= 1
        self._record(sample)
        self.add(caller)


class _Caller(asyncio.Protocol):
    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._received = b''
        self._path = b''
        self._planned = float(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._pool.add(self)

    def send(self, path: str, planned: float) -> None:
        self._path = path.encode()
        self._planned = planned
        self._transport.write(  # type: ignore[attr-defined]
            b'GET %b HTTP/1.1\r\nHost: mesh\r\nUser-Agent: bench\r\n'
            b'Accept: */*\r\n%b\r\n' % (self._path, self._pool.target.header)
        )

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(_HEAD_END)
        if not end:
            return
        length = _content_length(head)
        if len(body) < length:
            return
        taken = perf_counter() - self._planned
        correct = (
            head.startswith(b'HTTP/1.1 200')
            and len(body) == length
            and body.rstrip(b'.') == self._path
        )
        self._received = b''
        name = self._pool.target.name
        self._pool.finish(Sample(name, taken, correct), self)


def _content_length(head: bytes) -> int:
    lowered = head.lower()
    start = lowered.index(_LENGTH) + len(_LENGTH)
    end = lowered.find(_LINE_END, start)
    return int(lowered[start : end if end > 0 else len(lowered)])


async def run_slice(
    pool: Pool, rate: float, count: int, first_number: int
) -> int:
    """Send requests at fixed times; return how many were not sent.

    The loop is polled without waiting, because its timers have a resolution
    of 1 ms, more than what is measured.
    """
    begin = perf_counter()
    missed = 0
    for index in range(count):
        planned = begin + index / rate
        while perf_counter() < planned:  # noqa: ASYNC110
            await asyncio.sleep(0)
        missed += not pool.send(first_number + index, planned)
    limit = perf_counter() + 2
    while pool.in_flight and perf_counter() < limit:  # noqa: ASYNC110
        await asyncio.sleep(0)
    return missed
