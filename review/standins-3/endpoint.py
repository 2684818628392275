"""Stand-in of an application endpoint, as PROTOCOL.md describes it."""

import asyncio
import time
from collections.abc import Callable

Fields = dict[str, str]


class Endpoint:
    """HTTP/1.1 server that runs requests and seals its answers."""

    def __init__(
        self, identity: str, service: str, zone: str, work_s: float = 0.02
    ) -> None:
        self.identity = identity
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = 6
        self.queue = 24
        self.is_leaving = False
        self.host, self.port = '', 0
        self.born = int(time.time() * 1000)
        self.note: Callable[..., None] = lambda *words: None
        self.runs: list[tuple[float, Fields, str, bytes]] = []
        self._running = 0
        self._room = asyncio.Condition()
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """End: stop to listen and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def entry(self, state: str = 'ready', warm_ms: int = 0) -> dict:
        """What the endpoint writes of itself to the store."""
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'maxConcurrency': self.slots,
            'state': state,
            'warmupLeftMs': warm_ms,
            'sequence': 1,
            'born': self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, fields = await _read_head(reader)
                body = await read_body(reader, fields)
                writer.write(await self._answer(line, fields, body, reader))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self,
        line: str,
        fields: Fields,
        body: bytes,
        reader: asyncio.StreamReader,
    ) -> bytes:
        target = line.split(' ')[1]
        named = {'X-Instance-Id': self.identity}
        if self.is_leaving:
            named['Server-Leaving'] = '1'
        if target == '/health':
            return encode(503 if self.is_leaving else 200, named, b'')
        echo = {'X-Attempt-Id': fields.get('x-attempt-id', ''), **named}
        if fields.get('x-expect-instance', self.identity) != self.identity:
            return encode(421, echo, b'')
        if not fields.get('x-attempt-id'):
            return encode(400, {**echo, 'X-Not-Executed': '1'}, b'')
        if self._running >= self.slots and self._waiting >= self.queue:
            return encode(503, {**echo, 'X-Not-Executed': '1'}, b'')
        async with self._room:
            self._waiting += 1
            await self._room.wait_for(lambda: self._running < self.slots)
            self._waiting -= 1
            self._running += 1
        try:
            now = asyncio.get_running_loop().time()
            self.runs.append((now, fields, target, body))
            self.note('run', self.identity, self.service, line, fields)
            await self._work(reader)
        finally:
            self._running -= 1
            async with self._room:
                self._room.notify()
        echo['X-Server-Seal'] = f'seal.{self.identity}'
        return encode(200, echo, f'{self.identity} {target}'.encode())

    async def _work(self, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.work_s
        while loop.time() < ends_at:
            if reader.at_eof():
                raise ConnectionError
            await asyncio.sleep(min(0.01, max(ends_at - loop.time(), 0)))


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, Fields]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rows = head[:-4].split('\r\n')
    pairs = (row.partition(':') for row in rows)
    return line, {name.lower(): field.strip() for name, _, field in pairs}


async def read_body(reader: asyncio.StreamReader, fields: Fields) -> bytes:
    """Read a body with a length or in chunks."""
    if fields.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(fields.get('content-length', 0)))
    parts = []
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(part[:-2])


def encode(status: int, fields: Fields, body: bytes) -> bytes:
    """Encode an answer with a length."""
    rows = ''.join(f'{name}: {field}\r\n' for name, field in fields.items())
    head = f'HTTP/1.1 {status} X\r\n{rows}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
