"""Reads the operator port of daemons."""

import asyncio
import json
from typing import Any, NamedTuple

import aiohttp
from result import Err, Ok, Result

TIMEOUT_SECONDS = 3.0


class DaemonUnreachable(NamedTuple):
    """The operator port gave no answer."""

    daemon: str
    problem: str


class DaemonRefused(NamedTuple):
    """The operator port answered with an error."""

    daemon: str
    status: int
    title: str


DaemonFailure = DaemonUnreachable | DaemonRefused


def read_daemon(
    daemon: str, path: str, query: dict[str, str]
) -> Result[Any, DaemonFailure]:
    """Return the JSON that a daemon (``HOST:PORT``) answers."""
    return asyncio.run(_read(daemon, path, query))


async def _read(
    daemon: str, path: str, query: dict[str, str]
) -> Result[Any, DaemonFailure]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f'http://{daemon}{path}', params=query) as answer,
        ):
            content = await answer.read()
            if answer.ok:
                return Ok(json.loads(content))
            return Err(DaemonRefused(daemon, answer.status, _title(content)))
    except (aiohttp.ClientError, OSError, ValueError) as problem:
        return Err(DaemonUnreachable(daemon, type(problem).__name__))


def _title(content: bytes) -> str:
    try:
        raw = json.loads(content)
    except ValueError:
        return ''
    return str(raw.get('title', '')) if isinstance(raw, dict) else ''
