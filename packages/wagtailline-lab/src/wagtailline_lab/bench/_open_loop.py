"""Open-loop load generator on a pool of persistent connections."""

import asyncio
from collections.abc import Callable
from time import perf_counter
from typing import NamedTuple

_HEAD_END = b'\r\n\r\n'
_CONTENT_LENGTH = b'content-length: '
_LINE_END = b'\r\n'


class Target(NamedTuple):
    """Destination of requests: port, path prefix and header lines to add."""

    name: str
    port: int
    prefix: str
    header: bytes


class Sample(NamedTuple):
    """Time from the planned send time to the last byte of the answer."""

    name: str
    seconds: float
    correct: bool


class ConnectionPool:
    """Pool of connections to one target, each with one request at a time."""

    def __init__(self, target: Target, record: Callable[[Sample], None]):
        """Create an empty pool that passes each sample to ``record``."""
        self.target = target
        self.in_flight = 0
        self._record = record
        self._idle: list[_ClientConnection] = []

    async def open(self, count: int) -> None:
        """Open this many connections, which stay open."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            await loop.create_connection(
                self._make_connection, '127.0.0.1', self.target.port
            )

    def add_idle(self, connection: '_ClientConnection') -> None:
        """Add an idle connection."""
        self._idle.append(connection)

    def send(self, number: int, planned_at: float) -> bool:
        """Send a request; return False if no connection is idle."""
        if not self._idle:
            return False
        self.in_flight += 1
        self._idle.pop().send(f'{self.target.prefix}/{number}', planned_at)
        return True

    def _make_connection(self) -> '_ClientConnection':
        return _ClientConnection(self)

    def finish(self, sample: Sample, connection: '_ClientConnection') -> None:
        """Record a sample and make its connection idle again."""
        self.in_flight -= 1
        self._record(sample)
        self.add_idle(connection)


class _ClientConnection(asyncio.Protocol):
    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._received = b''
        self._path = b''
        self._planned_at = float(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._pool.add_idle(self)

    def send(self, path: str, planned_at: float) -> None:
        self._path = path.encode()
        self._planned_at = planned_at
        self._transport.write(  # type: ignore[attr-defined]
            b'GET %b HTTP/1.1\r\nHost: mesh\r\nUser-Agent: bench\r\n'
            b'Accept: */*\r\n%b\r\n' % (self._path, self._pool.target.header)
        )

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(_HEAD_END)
        if not end:
            return
        length = _parse_content_length(head)
        if len(body) < length:
            return
        elapsed_seconds = perf_counter() - self._planned_at
        correct = (
            head.startswith(b'HTTP/1.1 200')
            and len(body) == length
            and body.rstrip(b'.') == self._path
        )
        self._received = b''
        name = self._pool.target.name
        self._pool.finish(Sample(name, elapsed_seconds, correct), self)


def _parse_content_length(head: bytes) -> int:
    lowered = head.lower()
    start = lowered.index(_CONTENT_LENGTH) + len(_CONTENT_LENGTH)
    end = lowered.find(_LINE_END, start)
    return int(lowered[start : end if end > 0 else len(lowered)])


async def run_slice(
    pool: ConnectionPool, rate: float, count: int, first_number: int
) -> int:
    """Send requests at a fixed rate; return how many were not sent.

    It busy-waits, because the timers of the event loop have a resolution of
    1 ms, which is more than the measured differences.
    """
    started = perf_counter()
    unsent = 0
    for index in range(count):
        planned_at = started + index / rate
        while perf_counter() < planned_at:  # noqa: ASYNC110
            await asyncio.sleep(0)
        unsent += not pool.send(first_number + index, planned_at)
    give_up_at = perf_counter() + 2
    while pool.in_flight and perf_counter() < give_up_at:  # noqa: ASYNC110
        await asyncio.sleep(0)
    return unsent
