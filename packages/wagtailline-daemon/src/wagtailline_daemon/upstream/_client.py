"""HTTP client that sends calls over a pool of persistent connections."""

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
_MILLISECONDS_PER_SECOND = 1000
_UNREACHABLE = 'upstream_unreachable'


class UpstreamSettings(NamedTuple):
    """Address of the upstream, and limits of the connections to it."""

    address: Address
    connections: int
    keep_alive_seconds: float = KEEP_ALIVE_SECONDS


class UpstreamClient:
    """Call handler for the local upstream.

    In a refusal, ``executed`` is ``no`` only if no byte of the request was
    written. The reasons are ``upstream_unreachable`` (no connection),
    ``upstream_reset`` (connection ended before the answer),
    ``upstream_malformed`` (no HTTP answer, or one without a length),
    ``deadline``, ``body_truncated`` (the caller sent only a part of the
    request) and ``malformed_call``.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        """Create a client that opens its first connection with a call."""
        self._settings = settings
        self._connector: aiohttp.TCPConnector | None = None

    async def start(self) -> None:
        """Create the connection pool."""
        self._connector = aiohttp.TCPConnector(
            limit=self._settings.connections,
            keepalive_timeout=self._settings.keep_alive_seconds,
        )
        host, port = self._settings.address
        # aiohttp looks up connections by a request; only the address of this
        # one is used.
        self._connection_request = aiohttp.ClientRequest(
            'GET',
            URL.build(scheme='http', host=host, port=port),
            loop=asyncio.get_running_loop(),
        )
        # No timeout here: the deadline of the call bounds the whole exchange.
        self._timeout = aiohttp.ClientTimeout(total=None)

    async def stop(self) -> None:
        """Close every connection."""
        if self._connector is not None:
            await self._connector.close()

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Send the call to the upstream and return its answer or a refusal."""
        length = len(body.content) if isinstance(body, WholeBody) else None
        match encode_head(request, length):
            case Ok(head):
                return await self._send(request, head, body)
            case Err(_):
                return Err(Refusal('malformed_call', 'no'))

    async def _send(
        self, request: CallRequest, head: RequestHead, body: Body
    ) -> Result[Answer, Refusal]:
        exchange: Exchange | None = None
        try:
            with Deadline(request.timeout_ms / _MILLISECONDS_PER_SECOND):
                exchange = Exchange(await self._acquire_connection(), request)
                return Ok(await exchange.run(head, body))
        except _CALL_ERRORS as error:
            may_have_begun = exchange is not None and exchange.may_have_begun
            return Err(
                _refusal_of_error(error, 'unknown' if may_have_begun else 'no')
            )

    async def _acquire_connection(self) -> aiohttp.connector.Connection:
        if self._connector is None:
            raise ConnectionError(_UNREACHABLE)
        return await self._connector.connect(
            self._connection_request, [], self._timeout
        )


_CALL_ERRORS = (
    TimeoutError,
    BodyTruncated,
    MalformedAnswer,
    UpstreamReset,
    aiohttp.ClientError,
    OSError,
)


def _refusal_of_error(error: Exception, executed: Executed) -> Refusal:
    match error:
        case TimeoutError():
            return Refusal('deadline', executed)
        case BodyTruncated():
            return Refusal('body_truncated', executed)
        case MalformedAnswer():
            return Refusal('upstream_malformed', executed)
    if executed == 'no':
        return Refusal(_UNREACHABLE, executed)
    return Refusal('upstream_reset', executed)
