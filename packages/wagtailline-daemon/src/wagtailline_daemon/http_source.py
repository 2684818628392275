"""Source over HTTP: the read and watch interface of the platform.

``GET /v1/values/KEY`` answers the value with its revision in the header
``X-Revision``. With ``?after=REVISION&wait=SECONDS`` it answers once the
revision is higher, or 304 at the end of the wait.
"""

import asyncio
from http import HTTPStatus

import aiohttp
from result import Err, Ok, Result

from wagtailline.ports import (
    SourceFailure,
    SourceKeyMissing,
    SourceReading,
    SourceUnavailable,
)

READ_TIMEOUT_SECONDS = 2.0
# A watch may answer late by a network delay after its wait has ended.
WATCH_MARGIN_SECONDS = 2.0
REVISION_HEADER = 'X-Revision'


class HttpSource:
    """Client of the platform's key-value interface."""

    def __init__(self, base_url: str) -> None:
        """Use the interface below this URL."""
        self._base_url = base_url.rstrip('/')
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Close the client session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return the value of the key as the source sees it now."""
        reading = await self._get(key, {}, READ_TIMEOUT_SECONDS)
        match reading:
            case Ok(SourceReading() as found):
                return Ok(found)
            case Ok(None):
                return Err(SourceUnavailable('not modified without a watch'))
            case Err(failure):
                return Err(failure)
        raise AssertionError(reading)

    async def watch(
        self, key: str, after: int, wait_seconds: float
    ) -> Result[SourceReading | None, SourceFailure]:
        """Wait for a revision above ``after``; None when the wait ends."""
        query = {'after': str(after), 'wait': str(wait_seconds)}
        return await self._get(key, query, wait_seconds + WATCH_MARGIN_SECONDS)

    async def _get(
        self, key: str, query: dict[str, str], timeout_seconds: float
    ) -> Result[SourceReading | None, SourceFailure]:
        if self._session is None:
            return Err(SourceUnavailable('not started'))
        try:
            async with (
                asyncio.timeout(timeout_seconds),
                self._session.get(
                    f'{self._base_url}/v1/values/{key}', params=query
                ) as answer,
            ):
                return await _read_answer(key, answer)
        except (aiohttp.ClientError, TimeoutError, OSError) as problem:
            return Err(SourceUnavailable(type(problem).__name__))


async def _read_answer(
    key: str, answer: aiohttp.ClientResponse
) -> Result[SourceReading | None, SourceFailure]:
    match answer.status:
        case HTTPStatus.OK:
            revision = answer.headers.get(REVISION_HEADER, '')
            if not revision.isdecimal():
                return Err(SourceUnavailable('no revision'))
            return Ok(SourceReading(int(revision), await answer.read()))
        case HTTPStatus.NOT_MODIFIED:
            return Ok(None)
        case HTTPStatus.NOT_FOUND:
            return Err(SourceKeyMissing(key))
        case status:
            return Err(SourceUnavailable(f'status {status}'))
