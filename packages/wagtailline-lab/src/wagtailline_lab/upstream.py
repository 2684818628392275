"""Fake HTTP upstream that counts executions."""

import asyncio
from collections import Counter
from http import HTTPStatus

from aiohttp import web

EXECUTION_SECONDS = 0.004
_BODY_CHUNK = b'scan' * 4096


class FakeUpstream:
    """HTTP server that echoes requests and counts executions by request id.

    The request id is the idempotency key or, without one, ``X-Request-Id``.
    """

    def __init__(self, name: str, slots: int) -> None:
        """Set up an upstream that sheds requests while ``slots`` others run."""
        self.name = name
        self.executions: Counter[str] = Counter()
        self.seen_headers: set[str] = set()
        self.running = 0
        self._slots = slots
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to serve on the address."""
        application = web.Application(client_max_size=1 << 30)
        application.router.add_route('*', '/{path:.*}', self._handle)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop serving and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if self.running >= self._slots:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        self.running += 1
        try:
            return await self._execute(request)
        finally:
            self.running -= 1

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(
            'Idempotency-Key', request.headers.get('X-Request-Id', '')
        )
        self.executions[request_id] += 1
        self.seen_headers.update(name.lower() for name in request.headers)
        body = await request.read()
        await asyncio.sleep(EXECUTION_SECONDS)
        body_size = request.query.get('bytes')
        if body_size is not None:
            return await _stream_body(request, int(body_size))
        return web.json_response(
            {
                'upstream': self.name,
                'method': request.method,
                'target': request.path_qs,
                'received_bytes': len(body),
            }
        )


async def _stream_body(
    request: web.Request, remaining_bytes: int
) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={'Content-Length': str(remaining_bytes)}
    )
    await response.prepare(request)
    while remaining_bytes > 0:
        chunk = _BODY_CHUNK[:remaining_bytes]
        await response.write(chunk)
        remaining_bytes -= len(chunk)
    await response.write_eof()
    return response
