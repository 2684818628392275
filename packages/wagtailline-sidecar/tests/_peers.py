"""Raw TCP clients and scripted servers on the loopback interface."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailline.ports import Address
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.model import IngressLimits

HOST = '127.0.0.1'
READ_TIMEOUT_SECONDS = 5

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawClient:
    """Client that sends given bytes and reads raw responses."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, content: bytes) -> None:
        self.writer.write(content)

    async def read_until(self, separator: bytes) -> bytes:
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            return await self.reader.readuntil(separator)

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        head = (await self.read_until(b'\r\n\r\n')).decode()
        status_line, *header_lines = head.strip().split('\r\n')
        headers = dict(
            header_line.lower().split(': ', 1) for header_line in header_lines
        )
        length = int(headers.get('content-length', 0))
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            body = await self.reader.readexactly(length)
        return int(status_line.split()[1]), headers, body

    async def read_rest(self) -> bytes:
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            return await self.reader.read()

    def close(self) -> None:
        self.writer.close()


async def connect(port: int, host: str = HOST) -> RawClient:
    return RawClient(*await asyncio.open_connection(host, port))


async def serve_script(script: Script) -> tuple[asyncio.Server, Address]:
    """Start a server on a free port that runs ``script`` per connection."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await script(reader, writer)
        finally:
            # A stream that is closed after its loop has ended raises an error.
            writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    return server, Address(HOST, server.sockets[0].getsockname()[1])


async def listen(handler, limits=None, errors=None) -> tuple[HttpListener, int]:
    """Start an HTTP listener on a free port; return it and the port.

    Exceptions of the handler are appended to ``errors``.
    """
    listener = HttpListener(
        Address(HOST, 0),
        handler,
        (errors if errors is not None else []).append,
        lambda: limits or IngressLimits(),
    )
    await listener.start()
    port = listener.address.port
    return listener, port


async def read_head(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(READ_TIMEOUT_SECONDS):
        return await reader.readuntil(b'\r\n\r\n')


def send_endlessly(
    part: bytes, head: bytes = b''
) -> tuple[Script, asyncio.Event]:
    """Return a script that sends bytes until its peer closes.

    The event is set when the peer has closed the connection.
    """
    closed = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await read_head(reader)
        writer.write(head)
        try:
            while True:
                writer.write(part)
                await writer.drain()
        except ConnectionError:
            closed.set()

    return script, closed


async def echo(request, exchange):
    body = b''.join([chunk async for chunk in request.body])
    content = f'{request.method} {request.target} '.encode() + body
    await exchange.respond(200, ((b'x-echo', b'1'),), content)


def get(target: str, *headers: str) -> bytes:
    header_lines = ''.join(f'{header}\r\n' for header in ('Host: a', *headers))
    return f'GET {target} HTTP/1.1\r\n{header_lines}\r\n'.encode()
