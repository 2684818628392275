"""Client of the operator port of a daemon."""

import asyncio
import json
from typing import Any, NamedTuple

import aiohttp
from result import Err, Ok, Result

TIMEOUT_SECONDS = 3.0


class DaemonUnreachable(NamedTuple):
    """The operator port was not reached or sent no valid response."""

    daemon: str
    problem: str


class DaemonRefused(NamedTuple):
    """The operator port responded with an error status."""

    daemon: str
    status: int
    title: str


DaemonFailure = DaemonUnreachable | DaemonRefused


def read_daemon(
    daemon: str, path: str, query: dict[str, str]
) -> Result[Any, DaemonFailure]:
    """Return the JSON response of a daemon, given as ``HOST:PORT``."""
    return asyncio.run(_read(daemon, path, query))


async def _read(
    daemon: str, path: str, query: dict[str, str]
) -> Result[Any, DaemonFailure]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f'http://{daemon}{path}', params=query) as response,
        ):
            content = await response.read()
            if response.ok:
                return Ok(json.loads(content))
            return Err(DaemonRefused(daemon, response.status, _title(content)))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Err(DaemonUnreachable(daemon, type(error).__name__))


def _title(content: bytes) -> str:
    """Return the title of an error response, empty if it has none."""
    try:
        raw = json.loads(content)
    except ValueError:
        return ''
    return str(raw.get('title', '')) if isinstance(raw, dict) else ''
