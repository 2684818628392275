"""Stand-in of an endpoint that seals its answers and reports its health.

It counts what it ran, by the id of the request, so that a test can tell a
second run. The names of its headers are settings.
"""

import asyncio
from typing import NamedTuple

from wagtailline.ports import Address


class UpstreamHeaders(NamedTuple):
    """Lower-case names of the headers that the endpoint reads and sets."""

    request_id: str
    expected_instance: str
    instance: str
    seal: str
    not_run: str


class Received(NamedTuple):
    """A request as it reached the endpoint."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class SealedUpstream:
    """Endpoint of one instance; tests change its fields while it runs."""

    def __init__(self, instance: str, names: UpstreamHeaders) -> None:
        """Answer every request at once with 200."""
        self.instance = instance
        self.service_seconds = float(0)
        self.is_shedding = False
        self.body = b'sealed'
        self.received: list[Received] = []
        self.cancelled = 0
        self._names = names
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen; raise OSError when the address is taken."""
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )

    async def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    def runs(self, request_id: str) -> int:
        """Return how often a request ran."""
        name = self._names.request_id
        return sum(one.headers.get(name) == request_id for one in self.received)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                received = await _read_request(reader)
                writer.write(await self._run(received, reader))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _run(
        self, received: Received, reader: asyncio.StreamReader
    ) -> bytes:
        names = self._names
        if received.target == '/health':
            return _encode(200, {names.instance: self.instance}, b'')
        expected = received.headers.get(names.expected_instance)
        if expected not in {None, self.instance}:
            return _encode(421, {names.instance: self.instance}, b'')
        if self.is_shedding:
            return _encode(503, {names.not_run: '1'}, b'')
        self.received.append(received)
        await self._work(reader)
        request_id = received.headers.get(names.request_id, '')
        headers = {names.request_id: request_id, names.seal: 'seal'}
        return _encode(200, headers, self.body)

    async def _work(self, reader: asyncio.StreamReader) -> None:
        end = asyncio.get_running_loop().time() + self.service_seconds
        while asyncio.get_running_loop().time() < end:
            if reader.at_eof():
                self.cancelled += 1
                raise ConnectionError
            await asyncio.sleep(0.005)


async def _read_request(reader: asyncio.StreamReader) -> Received:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rows = head.strip().split('\r\n')
    method, target, _ = line.split(' ')
    headers = dict(row.split(': ', 1) for row in rows)
    lower = {name.lower(): field for name, field in headers.items()}
    length = int(lower.get('content-length', 0))
    return Received(method, target, lower, await reader.readexactly(length))


def _encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    rows = ''.join(f'{name}: {field}\r\n' for name, field in headers.items())
    head = f'HTTP/1.1 {status} X\r\n{rows}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
