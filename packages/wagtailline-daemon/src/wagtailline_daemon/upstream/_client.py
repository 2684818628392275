"""Sends calls to the local upstream over kept connections."""

import asyncio
from typing import NamedTuple

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from wagtailline.calls import (
    Answer,
    Body,
    BodyTruncated,
    CallRequest,
    Deadline,
    Executed,
    Refusal,
    WholeBody,
)
from wagtailline.ports import Address
from wagtailline_daemon.upstream._exchange import (
    Exchange,
    MalformedAnswer,
    UpstreamReset,
)
from wagtailline_daemon.upstream._request import RequestHead, encode_head

# Below the 5 s after which common servers close an idle connection, so that
# a call is not sent on a connection that the upstream is about to close.
KEEP_ALIVE_SECONDS = 4.0
_MILLISECONDS = 1000
_UNREACHABLE = 'upstream_unreachable'


class UpstreamSettings(NamedTuple):
    """Where the upstream listens and how many connections it accepts."""

    address: Address
    connections: int
    keep_alive_seconds: float = KEEP_ALIVE_SECONDS


class UpstreamClient:
    """Call handler for the local upstream.

    A refusal says ``no`` only when no byte of the request was written. Its
    reasons are ``upstream_unreachable`` (no connection), ``upstream_reset``
    (connection ended before the answer), ``upstream_malformed`` (no HTTP
    answer, or one without a length), ``deadline``, ``body_truncated`` (the
    caller cut the request) and ``malformed_call``.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        """Open no connection before the first call."""
        self._settings = settings
        self._connector: aiohttp.TCPConnector | None = None

    async def start(self) -> None:
        """Set up the pool of connections."""
        self._connector = aiohttp.TCPConnector(
            limit=self._settings.connections,
            keepalive_timeout=self._settings.keep_alive_seconds,
        )
        host, port = self._settings.address
        # Connections are looked up by a request; its other fields count not.
        self._peer = aiohttp.ClientRequest(
            'GET',
            URL.build(scheme='http', host=host, port=port),
            loop=asyncio.get_running_loop(),
        )
        # The deadline of the call bounds the whole exchange.
        self._timeout = aiohttp.ClientTimeout(total=None)

    async def stop(self) -> None:
        """Close every connection."""
        if self._connector is not None:
            await self._connector.close()

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run the call at the upstream."""
        length = len(body.content) if isinstance(body, WholeBody) else None
        match encode_head(request, length):
            case Ok(head):
                return await self._run(request, head, body)
            case Err(_):
                return Err(Refusal('malformed_call', 'no'))

    async def _run(
        self, request: CallRequest, head: RequestHead, body: Body
    ) -> Result[Answer, Refusal]:
        exchange: Exchange | None = None
        try:
            with Deadline(request.timeout_ms / _MILLISECONDS):
                exchange = Exchange(await self._connect(), request)
                return Ok(await exchange.run(head, body))
        except _FAILURES as failure:
            began = exchange is not None and exchange.began
            return Err(_refusal_of(failure, 'unknown' if began else 'no'))

    async def _connect(self) -> aiohttp.connector.Connection:
        if self._connector is None:
            raise ConnectionError(_UNREACHABLE)
        return await self._connector.connect(self._peer, [], self._timeout)


_FAILURES = (
    TimeoutError,
    BodyTruncated,
    MalformedAnswer,
    UpstreamReset,
    aiohttp.ClientError,
    OSError,
)


def _refusal_of(failure: Exception, executed: Executed) -> Refusal:
    match failure:
        case TimeoutError():
            return Refusal('deadline', executed)
        case BodyTruncated():
            return Refusal('body_truncated', executed)
        case MalformedAnswer():
            return Refusal('upstream_malformed', executed)
    if executed == 'no':
        return Refusal(_UNREACHABLE, executed)
    return Refusal('upstream_reset', executed)
