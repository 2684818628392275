"""Sends calls to the local upstream over kept connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from wagtailline.calls import (
    Answer,
    Body,
    BodyTruncated,
    CallRequest,
    Refusal,
    WholeBody,
)
from wagtailline.ports import Address

# Below the 5 s after which common servers close an idle connection, so that
# a call is not sent on a connection that the upstream is about to close.
KEEP_ALIVE_SECONDS = 4.0
MAX_HEADER_BYTES = 32 * 1024
# Bodies up to this length are read before the answer is passed on: it then
# goes into one message, and a cut one becomes a refusal.
WHOLE_ANSWER_BYTES = 16 * 1024
# The wait for a connection ends before the deadline, so that the refusal
# can say that nothing was sent.
_CONNECT_SHARE = 0.95
_MILLISECONDS = 1000
_BODILESS_STATUSES = frozenset((204, 304))
_UNREACHABLE = Refusal('upstream_unreachable', 'no')
_RESET = Refusal('upstream_reset', 'unknown')
_MALFORMED = Refusal('upstream_malformed', 'unknown')
_TRUNCATED = Refusal('body_truncated', 'unknown')


class UpstreamSettings(NamedTuple):
    """Where the upstream listens and how many connections it accepts."""

    address: Address
    connections: int
    keep_alive_seconds: float = KEEP_ALIVE_SECONDS


class UpstreamClient:
    """Call handler for the local upstream.

    A refusal says ``no`` only when no byte of the request was written.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        """Open no connection before the first call."""
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        host, port = settings.address
        self._base = f'http://[{host}]' if ':' in host else f'http://{host}'
        self._base = f'{self._base}:{port}'

    async def start(self) -> None:
        """Set up the pool of connections."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=self._settings.connections,
                keepalive_timeout=self._settings.keep_alive_seconds,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=(
                'Accept',
                'Accept-Encoding',
                'Content-Type',
                'User-Agent',
            ),
            auto_decompress=False,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            middlewares=(_send_once,),
        )

    async def stop(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run the call at the upstream."""
        if self._session is None:
            return Err(_UNREACHABLE)
        try:
            async with asyncio.timeout(request.timeout_ms / _MILLISECONDS):
                return await self._send(self._session, request, body)
        except _FAILURES as failure:
            return Err(_refusal_of(failure))

    async def _send(
        self, session: aiohttp.ClientSession, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        seconds = request.timeout_ms / _MILLISECONDS
        source = _Source(body)
        try:
            response = await session.request(
                request.method,
                URL(self._base + request.target, encoded=True),
                headers=_headers(request),
                data=source.payload(),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=None, connect=seconds * _CONNECT_SHARE
                ),
            )
        except Exception:
            source.check()
            raise
        return await _receive(request, response, source)


class _NotSent(Exception):
    """No byte of the request was written."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal)
        self.refusal = refusal


class _Broken(Exception):
    """The connection ended after a byte may have been written."""


_FAILURES = (
    TimeoutError,
    BodyTruncated,
    _NotSent,
    _Broken,
    aiohttp.ClientError,
    OSError,
)


def _refusal_of(failure: Exception) -> Refusal:
    match failure:
        case _NotSent():
            return failure.refusal
        case TimeoutError():
            return Refusal('deadline', 'unknown')
        case BodyTruncated():
            return _TRUNCATED
        case aiohttp.ClientResponseError():
            return _MALFORMED
    return _RESET


class _Source:
    """Body of a request; remembers that its caller cut it."""

    def __init__(self, body: Body) -> None:
        self._body = body
        self._truncated = False

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body as aiohttp takes it."""
        if isinstance(self._body, WholeBody):
            return self._body.content or None
        return self._pieces()

    def check(self) -> None:
        """Raise BodyTruncated when that is what ended the request."""
        if self._truncated:
            raise BodyTruncated

    async def _pieces(self) -> AsyncIterator[bytes]:
        try:
            async for content in self._body:
                yield content
        except BodyTruncated:
            self._truncated = True
            raise


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request again.

    It repeats idempotent requests after a connection error; the retry rules
    of the sender decide on that.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise _NotSent(_UNREACHABLE) from None
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError):
        raise _Broken from None


def _headers(request: CallRequest) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(
        (name.decode('latin-1'), field.decode())
        for name, field in request.headers
    )
    headers['Wagtailline-Timeout-Ms'] = str(request.timeout_ms)
    headers['Wagtailline-Depth'] = str(request.depth + 1)
    if request.client_account:
        headers['Wagtailline-Client-Account'] = request.client_account
    return headers


async def _receive(
    request: CallRequest, response: aiohttp.ClientResponse, source: _Source
) -> Result[Answer, Refusal]:
    length = response.content_length
    has_body = (
        request.method != 'HEAD' and response.status not in _BODILESS_STATUSES
    )
    if has_body and length is None and not _is_chunked(response):
        # Its end is the end of the connection, so a cut would look whole.
        response.close()
        return Err(_MALFORMED)
    body: Body
    if not has_body or (length is not None and length <= WHOLE_ANSWER_BYTES):
        body = WholeBody(await _read_whole(response))
    else:
        body = _AnswerBody(response)
    return Ok(Answer(response.status, response.raw_headers, body))


def _is_chunked(response: aiohttp.ClientResponse) -> bool:
    coding: str = response.headers.get('Transfer-Encoding', '')
    return coding.lower().endswith('chunked')


async def _read_whole(response: aiohttp.ClientResponse) -> bytes:
    try:
        return await response.read()
    except BaseException:
        response.close()
        raise


class _AnswerBody:
    """Body of a running answer; closing it early ends the connection."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response

    def __aiter__(self) -> '_AnswerBody':
        return self

    async def __anext__(self) -> bytes:
        try:
            content = await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as problem:
            self._response.close()
            raise BodyTruncated from problem
        if not content:
            raise StopAsyncIteration
        return content

    async def aclose(self) -> None:
        """Let the upstream see that the rest is not wanted."""
        with suppress(Exception):
            self._response.close()
