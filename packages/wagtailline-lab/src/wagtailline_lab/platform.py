"""Fake platform that serves values for reads and long-polling watches.

The values are the files of a directory into which a release was written. The
fake counts calls and waiting watches. It can be made slow or stale, or answer
503 to every read.
"""

import asyncio
from pathlib import Path
from typing import Literal, NamedTuple, cast, get_args

from aiohttp import web

from wagtailline_daemon.http_source import REVISION_HEADER

MAX_VALUE_BYTES = 1_000_000
ANSWER_DELAY_SECONDS = 0.002
_FILE_POLL_SECONDS = 0.02
_MAX_WATCH_SECONDS = 60.0

Mode = Literal['normal', 'slow', 'stale', 'down']
_SLOW_ANSWER_DELAY_SECONDS = 1.0


class StoredValue(NamedTuple):
    """A value and the revision of its last write."""

    revision: int
    content: bytes


class FakePlatform:
    """HTTP server of the values in a directory."""

    def __init__(self, directory: Path) -> None:
        """Take the directory; the relative paths of its files are the keys."""
        self.mode: Mode = 'normal'
        self.calls = 0
        self.waiting = 0
        self._directory = directory
        self._stale_values: dict[str, StoredValue] = {}
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to serve on the address."""
        application = web.Application()
        application.router.add_get('/v1/values/{key:.+}', self._handle_read)
        application.router.add_get('/control/counts', self._handle_counts)
        application.router.add_post(
            '/control/mode/{mode}', self._handle_mode_change
        )
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop serving and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def switch_mode(self, mode: Mode) -> None:
        """Change the behaviour; ``stale`` serves the values of this moment."""
        self._stale_values = self._read_all() if mode == 'stale' else {}
        self.mode = mode

    async def _handle_read(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        if self.mode == 'down':
            raise web.HTTPServiceUnavailable
        await asyncio.sleep(
            _SLOW_ANSWER_DELAY_SECONDS
            if self.mode == 'slow'
            else ANSWER_DELAY_SECONDS
        )
        after = int(request.query.get('after', '-1'))
        wait_seconds = float(request.query.get('wait', '0'))
        stored = await self._wait_for_revision(
            request.match_info['key'],
            after,
            min(wait_seconds, _MAX_WATCH_SECONDS),
        )
        if stored is None:
            raise web.HTTPNotFound
        if stored.revision <= after:
            raise web.HTTPNotModified
        return web.Response(
            body=stored.content,
            headers={REVISION_HEADER: str(stored.revision)},
        )

    async def _wait_for_revision(
        self, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        self.waiting += 1
        try:
            while True:
                stored = self._look_up(key)
                is_newer = stored is not None and stored.revision > after
                if is_newer or loop.time() >= deadline:
                    return stored
                await asyncio.sleep(_FILE_POLL_SECONDS)
        finally:
            self.waiting -= 1

    def _look_up(self, key: str) -> StoredValue | None:
        if self.mode == 'stale':
            return self._stale_values.get(key)
        path = (self._directory / key).resolve()
        if not path.is_relative_to(self._directory.resolve()):
            return None
        return _read_file(path)

    def _read_all(self) -> dict[str, StoredValue]:
        stored_values: dict[str, StoredValue] = {}
        for path in self._directory.rglob('*'):
            stored = _read_file(path)
            if stored is not None:
                stored_values[str(path.relative_to(self._directory))] = stored
        return stored_values

    async def _handle_counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {'calls': self.calls, 'waiting': self.waiting, 'mode': self.mode}
        )

    async def _handle_mode_change(self, request: web.Request) -> web.Response:
        mode = request.match_info['mode']
        if mode not in get_args(Mode):
            raise web.HTTPNotFound
        self.switch_mode(cast(Mode, mode))
        return web.Response()


def _read_file(path: Path) -> StoredValue | None:
    try:
        content = path.read_bytes()
        revision = path.stat().st_mtime_ns
    except OSError:
        return None
    return (
        None
        if len(content) > MAX_VALUE_BYTES
        else StoredValue(revision, content)
    )
