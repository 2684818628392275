"""Fake upstream over HTTP that counts every execution."""

import asyncio
from collections import Counter
from http import HTTPStatus

from aiohttp import web

WORK_SECONDS = 0.004
_SCAN_CHUNK = b'scan' * 4096


class Upstream:
    """Answers any request with what it saw; counts by request identity."""

    def __init__(self, name: str, slots: int) -> None:
        """Run at most ``slots`` requests at once and shed the rest."""
        self.name = name
        self.executions: Counter[str] = Counter()
        self.seen_headers: set[str] = set()
        self.running = 0
        self._slots = slots
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on the address."""
        application = web.Application(client_max_size=1 << 30)
        application.router.add_route('*', '/{path:.*}', self._run)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _run(self, request: web.Request) -> web.StreamResponse:
        if self.running >= self._slots:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        self.running += 1
        try:
            return await self._execute(request)
        finally:
            self.running -= 1

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        identity = request.headers.get(
            'Idempotency-Key', request.headers.get('X-Request-Id', '')
        )
        self.executions[identity] += 1
        self.seen_headers.update(name.lower() for name in request.headers)
        body = await request.read()
        await asyncio.sleep(WORK_SECONDS)
        scan = request.query.get('bytes')
        if scan is not None:
            return await _stream_scan(request, int(scan))
        return web.json_response(
            {
                'upstream': self.name,
                'method': request.method,
                'target': request.path_qs,
                'received_bytes': len(body),
            }
        )


async def _stream_scan(request: web.Request, size: int) -> web.StreamResponse:
    answer = web.StreamResponse(headers={'Content-Length': str(size)})
    await answer.prepare(request)
    while size > 0:
        chunk = _SCAN_CHUNK[:size]
        await answer.write(chunk)
        size -= len(chunk)
    await answer.write_eof()
    return answer
