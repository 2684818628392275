"""Fake of the platform: values that can be read and watched.

It serves a directory into which a release was written. It counts every call
and every waiting watch, and can be slow, stale or down.
"""

import asyncio
from pathlib import Path
from typing import Literal, NamedTuple, cast, get_args

from aiohttp import web

from wagtailline_daemon.http_source import REVISION_HEADER

MAX_VALUE_BYTES = 1_000_000
ANSWER_SECONDS = 0.002
_POLL_SECONDS = 0.02
_MAX_WAIT_SECONDS = 60.0

Mode = Literal['normal', 'slow', 'stale', 'down']
_SLOW_SECONDS = 1.0


class Stored(NamedTuple):
    """A value with the revision at which it was last written."""

    revision: int
    content: bytes


class Platform:
    """Serves the values of a directory over HTTP."""

    def __init__(self, directory: Path) -> None:
        """Serve the files below the directory; keys are their paths."""
        self.mode: Mode = 'normal'
        self.calls = 0
        self.waiting = 0
        self._directory = directory
        self._frozen: dict[str, Stored] = {}
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on the address."""
        application = web.Application()
        application.router.add_get('/v1/values/{key:.+}', self._answer)
        application.router.add_get('/control/counts', self._report)
        application.router.add_post('/control/mode/{mode}', self._switch)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def switch_mode(self, mode: Mode) -> None:
        """Change how the platform behaves; stale keeps today's values."""
        self._frozen = self._read_all() if mode == 'stale' else {}
        self.mode = mode

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        if self.mode == 'down':
            raise web.HTTPServiceUnavailable
        await asyncio.sleep(
            _SLOW_SECONDS if self.mode == 'slow' else ANSWER_SECONDS
        )
        after = int(request.query.get('after', '-1'))
        wait = float(request.query.get('wait', '0'))
        stored = await self._wait_above(
            request.match_info['key'], after, min(wait, _MAX_WAIT_SECONDS)
        )
        if stored is None:
            raise web.HTTPNotFound
        if stored.revision <= after:
            raise web.HTTPNotModified
        return web.Response(
            body=stored.content,
            headers={REVISION_HEADER: str(stored.revision)},
        )

    async def _wait_above(
        self, key: str, after: int, wait: float
    ) -> Stored | None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        self.waiting += 1
        try:
            while True:
                stored = self._look_up(key)
                newer = stored is not None and stored.revision > after
                if newer or loop.time() >= deadline:
                    return stored
                await asyncio.sleep(_POLL_SECONDS)
        finally:
            self.waiting -= 1

    def _look_up(self, key: str) -> Stored | None:
        if self.mode == 'stale':
            return self._frozen.get(key)
        path = (self._directory / key).resolve()
        if not path.is_relative_to(self._directory.resolve()):
            return None
        return _read_file(path)

    def _read_all(self) -> dict[str, Stored]:
        found: dict[str, Stored] = {}
        for path in self._directory.rglob('*'):
            stored = _read_file(path)
            if stored is not None:
                found[str(path.relative_to(self._directory))] = stored
        return found

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {'calls': self.calls, 'waiting': self.waiting, 'mode': self.mode}
        )

    async def _switch(self, request: web.Request) -> web.Response:
        mode = request.match_info['mode']
        if mode not in get_args(Mode):
            raise web.HTTPNotFound
        self.switch_mode(cast(Mode, mode))
        return web.Response()


def _read_file(path: Path) -> Stored | None:
    try:
        content = path.read_bytes()
        revision = path.stat().st_mtime_ns
    except OSError:
        return None
    return None if len(content) > MAX_VALUE_BYTES else Stored(revision, content)
