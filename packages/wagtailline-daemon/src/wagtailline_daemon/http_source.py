"""Configuration source over HTTP, with reads and long-polling watches.

``GET /v1/values/KEY`` returns the value, with its revision in the header
``X-Revision``. With ``?after=REVISION&wait=SECONDS`` the response is delayed
until the revision is higher than REVISION, and is 304 if that does not happen
within SECONDS.
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
# Allows for the network delay of the response at the end of a watch.
WATCH_MARGIN_SECONDS = 2.0
REVISION_HEADER = 'X-Revision'


class HttpSource:
    """Client of the key-value interface of the platform."""

    def __init__(self, base_url: str) -> None:
        """Take the base URL of the interface."""
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
        """Return the current value of the key."""
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
        """Return a revision higher than ``after``, or None after the wait."""
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
                ) as response,
            ):
                return await _read_response(key, response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(SourceUnavailable(type(error).__name__))


async def _read_response(
    key: str, response: aiohttp.ClientResponse
) -> Result[SourceReading | None, SourceFailure]:
    match response.status:
        case HTTPStatus.OK:
            revision = response.headers.get(REVISION_HEADER, '')
            if not revision.isdecimal():
                return Err(SourceUnavailable('no revision'))
            return Ok(SourceReading(int(revision), await response.read()))
        case HTTPStatus.NOT_MODIFIED:
            return Ok(None)
        case HTTPStatus.NOT_FOUND:
            return Err(SourceKeyMissing(key))
        case status:
            return Err(SourceUnavailable(f'status {status}'))
