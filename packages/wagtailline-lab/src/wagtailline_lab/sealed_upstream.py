"""Fake endpoint that adds a seal header to the answers of executed requests.

It answers health checks and records the requests that it executed, so that a
test can detect by the request id that one was executed twice. The names of
its headers are configurable.
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
    """A request as the endpoint received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class SealedUpstream:
    """Fake endpoint whose behaviour tests change through its attributes.

    ``cancelled`` counts requests whose connection closed during execution.
    ``notices`` are headers that all responses bear.
    """

    def __init__(self, instance: str, names: UpstreamHeaders) -> None:
        """Set up an endpoint that immediately answers each request with 200."""
        self.instance = instance
        self.service_seconds = float(0)
        self.is_shedding = False
        self.body = b'sealed'
        self.notices: dict[str, str] = {}
        self.received: list[Received] = []
        self.cancelled = 0
        self._names = names
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Start to serve; raise OSError if the address is in use."""
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def count_executions(self, request_id: str) -> int:
        """Return how often the request with this id was executed."""
        name = self._names.request_id
        return sum(
            request.headers.get(name) == request_id for request in self.received
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                received = await _read_request(reader)
                writer.write(await self._respond(received, reader))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _respond(
        self, received: Received, reader: asyncio.StreamReader
    ) -> bytes:
        names = self._names
        if received.target == '/health':
            return self._encode(200, {names.instance: self.instance})
        expected = received.headers.get(names.expected_instance)
        if expected not in {None, self.instance}:
            return self._encode(421, {names.instance: self.instance})
        if self.is_shedding:
            return self._encode(503, {names.not_run: '1'})
        self.received.append(received)
        await self._execute(reader)
        request_id = received.headers.get(names.request_id, '')
        headers = {names.request_id: request_id, names.seal: 'seal'}
        return self._encode(200, headers, self.body)

    def _encode(
        self, status: int, headers: dict[str, str], body: bytes = b''
    ) -> bytes:
        return _encode(status, {**headers, **self.notices}, body)

    async def _execute(self, reader: asyncio.StreamReader) -> None:
        end = asyncio.get_running_loop().time() + self.service_seconds
        while asyncio.get_running_loop().time() < end:
            if reader.at_eof():
                self.cancelled += 1
                raise ConnectionError
            await asyncio.sleep(0.005)


async def _read_request(reader: asyncio.StreamReader) -> Received:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    request_line, *header_lines = head.strip().split('\r\n')
    method, target, _ = request_line.split(' ')
    headers = dict(header_line.split(': ', 1) for header_line in header_lines)
    fields = {name.lower(): field for name, field in headers.items()}
    length = int(fields.get('content-length', 0))
    return Received(method, target, fields, await reader.readexactly(length))


def _encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = ''.join(f'{name}: {field}\r\n' for name, field in headers.items())
    head = f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
