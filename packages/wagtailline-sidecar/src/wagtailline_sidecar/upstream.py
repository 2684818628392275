"""HTTP client of the local upstream, with a pool of connections."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import (
    Answer,
    Body,
    CallRequest,
    Headers,
    Refusal,
    WholeBody,
)
from wagtailline.ports import Address
from wagtailline_sidecar._connection_pool import ConnectionPool
from wagtailline_sidecar.answer_events import AnswerObserver
from wagtailline_sidecar.client_connection import (
    AnswerMalformed,
    AnswerMissing,
    ClientConnection,
    ClientRequest,
    ClientResponse,
    ConnectionFailed,
    ResponseStream,
    open_connection,
)
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import drop_headers, find_header
from wagtailline_sidecar.stutter_memory import StutterMemory
from wagtailline_sidecar.upstream_notices import UpstreamNotice, read_notice

CONNECT_TIMEOUT_SECONDS = 0.5
_MISDIRECTED_REQUEST = 421
_SUCCESS_STATUSES = range(200, 300)
_MILLISECONDS_PER_SECOND = 1000
# Largest number that a response may name: the milliseconds of a day.
MAX_NUMBER = 86_400_000


class ConnectionFailure(NamedTuple):
    """Failure of a connection to the upstream.

    ``is_refused`` is set if no connection could be opened, and not if an open
    one ended before the response.
    """

    is_refused: bool


class HealthReport(NamedTuple):
    """Response of the upstream to a health check."""

    instance: str
    is_healthy: bool
    warm_up_seconds: float


def _ignore_answer(opened_at: float) -> None:
    """Ignore a response; the default if no observer is set."""


def _ignore_notice(notice: UpstreamNotice) -> None:
    """Ignore a notice; the default if no observer is set."""


def _ignore_failure(failure: ConnectionFailure) -> None:
    """Ignore a failure; the default if no observer is set."""


class Upstream:
    """HTTP client of the upstream on the VM of this daemon."""

    def __init__(
        self,
        address: Address,
        header_names: HeaderNames,
        clock: BootClock,
    ) -> None:
        """Set up an empty pool; connections are opened on demand.

        The attribute ``observe_failure`` is called with each failure,
        ``observe_answer`` with the time at which the connection of each
        response was opened, and ``observe_notice`` with what each response
        of a known instance says of it."""
        self._address = address
        self._names = header_names
        self._clock = clock
        self.observe_failure: Callable[[ConnectionFailure], None] = (
            _ignore_failure
        )
        self.observe_answer: Callable[[float], None] = _ignore_answer
        self.observe_notice: Callable[[UpstreamNotice], None] = _ignore_notice
        self._stutter = StutterMemory(clock)
        self._pool = ConnectionPool(
            clock, self._open_connection, self._note_loss, self._stutter
        )

    def observe_events(self, observe: AnswerObserver) -> None:
        """Call ``observe`` with events about rejected bytes."""
        self._stutter.observe = observe

    async def run(
        self, request: CallRequest, body: Body, seconds: float
    ) -> Result[Answer, Refusal]:
        """Send a request and return the response.

        ``seconds`` is the time that the upstream is given. A refusal tells
        whether the upstream may have executed the request.
        """
        client_request = ClientRequest(
            request.method,
            request.target,
            self._request_headers(request, seconds),
            _request_id_header(request, self._names),
        )
        try:
            answer = await self._exchange(client_request, body)
        except ConnectionFailed:
            self.observe_failure(ConnectionFailure(is_refused=True))
            return Err(Refusal('upstream_unreachable', 'no'))
        except AnswerMissing:
            self.observe_failure(ConnectionFailure(is_refused=False))
            return Err(Refusal('upstream_reset', 'unknown'))
        except AnswerMalformed:
            return Err(Refusal('upstream_malformed', 'unknown'))
        if isinstance(answer.body, ResponseStream):
            # The upstream stops its work after this time, so what it sends
            # later is not the answer.
            answer.body.set_end(asyncio.get_running_loop().time() + seconds)
        outcome = self._classify_response(answer)
        if _is_from_upstream(answer, self._names):
            self.observe_notice(
                read_notice(answer.headers, self._names, request.instance)
            )
        if isinstance(outcome, Err):
            await _discard_body(answer)
        return outcome

    async def check_health(self, path: str) -> HealthReport | None:
        """Return the result of a health check, or None without a response."""
        host = f'{self._address.host}:{self._address.port}'.encode()
        request = ClientRequest('GET', path, ((b'host', host),))
        try:
            answer = await self._exchange(request, WholeBody(), is_alone=True)
        except (ConnectionFailed, AnswerMissing, AnswerMalformed):
            return None
        await _discard_body(answer)
        warm_up_ms = find_header(answer.headers, self._names.warm_up_ms) or b'0'
        instance_field = find_header(answer.headers, self._names.instance)
        instance = (instance_field or b'').decode('latin-1')
        if instance:
            self.observe_notice(
                read_notice(answer.headers, self._names, instance)
            )
        return HealthReport(
            instance,
            answer.status in _SUCCESS_STATUSES,
            _parse_number(warm_up_ms) / _MILLISECONDS_PER_SECOND,
        )

    def close_idle(self) -> None:
        """Close idle connections, as the upstream may have been replaced."""
        self._pool.close_idle()

    async def _exchange(
        self, request: ClientRequest, body: Body, *, is_alone: bool = False
    ) -> ClientResponse:
        """Return the response to a request.

        One that is alone gets a connection of its own, as its response names
        no request.
        """
        _, request_id = request.echo_header or (b'', b'')
        if is_alone:
            connection = await self._pool.open()
        else:
            connection = await self._pool.acquire(request_id)
        try:
            answer = await connection.exchange(request, body)
        except BaseException:
            connection.close()
            raise
        self.observe_answer(connection.opened_at)
        if is_alone:
            connection.close()
        else:
            self._pool.release(connection)
        return answer

    async def _open_connection(self) -> ClientConnection:
        connection = await open_connection(
            self._address, CONNECT_TIMEOUT_SECONDS
        )
        connection.observe_rejection = self._stutter.record
        return connection

    def _note_loss(self) -> None:
        """Report that the upstream may have restarted.

        It announces how long idle connections stay open, and those are closed
        here before it ends them.
        """
        self.observe_failure(ConnectionFailure(is_refused=False))

    def _request_headers(self, request: CallRequest, seconds: float) -> Headers:
        names = self._names
        timeout_ms = max(int(seconds * _MILLISECONDS_PER_SECOND), 1)
        added = [(names.timeout_ms, b'%d' % timeout_ms)]
        if request.instance:
            instance = request.instance.encode('latin-1')
            added.append((names.expected_instance, instance))
        forwarded = drop_headers(request.headers, (names.known_rate_limit,))
        return (*forwarded, *added)

    def _classify_response(
        self, answer: ClientResponse
    ) -> Result[Answer, Refusal]:
        """Return a response of the upstream, or why it does not count as one.

        A success without the seal header was not made by the upstream, so it is
        unknown whether the request was executed.
        """
        names = self._names
        if answer.status == _MISDIRECTED_REQUEST:
            return Err(Refusal('wrong_instance', 'no'))
        if find_header(answer.headers, names.not_executed) is not None:
            retry_after = find_header(answer.headers, names.retry_after) or b'0'
            retry_after_ms = int(
                _parse_number(retry_after) * _MILLISECONDS_PER_SECOND
            )
            return Err(Refusal('upstream_shed', 'no', retry_after_ms))
        is_sealed = find_header(answer.headers, names.seal) is not None
        if answer.status in _SUCCESS_STATUSES and not is_sealed:
            return Err(Refusal('answer_without_seal', 'unknown'))
        return Ok(Answer(answer.status, answer.headers, answer.body))


async def _discard_body(answer: ClientResponse) -> None:
    """Close the connection if the body is still arriving on it."""
    if isinstance(answer.body, ResponseStream):
        await answer.body.aclose()


def _is_from_upstream(answer: ClientResponse, names: HeaderNames) -> bool:
    """Return whether the instance that was asked made the response.

    Another instance at its address refuses the request as misdirected.
    """
    if answer.status == _MISDIRECTED_REQUEST:
        return False
    return any(
        find_header(answer.headers, name) is not None
        for name in (names.seal, names.not_executed)
    )


def _request_id_header(
    request: CallRequest, names: HeaderNames
) -> tuple[bytes, bytes] | None:
    sent = find_header(request.headers, names.request_id)
    return None if sent is None else (names.request_id, sent)


def _parse_number(field: bytes) -> float:
    """Return a number in a response; 0 if it is none, negative or too large."""
    try:
        number = float(field)
    except ValueError:
        return 0
    return number if 0 <= number <= MAX_NUMBER else 0
