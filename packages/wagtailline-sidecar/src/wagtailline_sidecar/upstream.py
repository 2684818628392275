"""Runs requests at the local upstream over kept connections."""

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
from wagtailline_sidecar.client_connection import (
    AnswerMalformed,
    AnswerMissing,
    ClientAnswer,
    ClientConnection,
    ClientRequest,
    ConnectionFailed,
    open_connection,
)
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import find_header

CONNECT_TIMEOUT_SECONDS = 0.5
# Without a stated limit, connections idle for longer are not used again.
IDLE_LIMIT_SECONDS = 4.0
# Connections are given up this long before the upstream closes them.
_IDLE_MARGIN_SECONDS = 1.0
_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_MILLISECONDS = 1000


class ConnectionEnded(NamedTuple):
    """A connection to the upstream failed or was reset.

    ``is_refused`` tells that no new connection could be made.
    """

    is_refused: bool


class HealthReport(NamedTuple):
    """Health answer of the upstream."""

    instance: str
    is_healthy: bool
    warm_up_seconds: float


class _Idle(NamedTuple):
    connection: ClientConnection
    since: float


def _ignore_failure(ended: ConnectionEnded) -> None:
    """Drop the report when nobody observes failures."""


class Upstream:
    """Connections to the upstream beside this daemon."""

    def __init__(
        self,
        address: Address,
        names: HeaderNames,
        clock: BootClock,
    ) -> None:
        """Open no connection before the first request.

        ``observe`` gets every failure of a connection.
        """
        self._address = address
        self._names = names
        self._clock = clock
        self.observe: Callable[[ConnectionEnded], None] = _ignore_failure
        self._idle: list[_Idle] = []

    async def run(
        self, request: CallRequest, body: Body, seconds: float
    ) -> Result[Answer, Refusal]:
        """Run a request; refusals say whether it may have run."""
        sent = ClientRequest(
            request.method,
            request.target,
            self._headers(request, seconds),
            _identity(request, self._names),
        )
        try:
            answer = await self._exchange(sent, body)
        except ConnectionFailed:
            self.observe(ConnectionEnded(is_refused=True))
            return Err(Refusal('upstream_unreachable', 'no'))
        except AnswerMissing:
            self.observe(ConnectionEnded(is_refused=False))
            return Err(Refusal('upstream_reset', 'unknown'))
        except AnswerMalformed:
            return Err(Refusal('upstream_malformed', 'unknown'))
        return self._judge(answer)

    async def check_health(self, path: str) -> HealthReport | None:
        """Ask the upstream for its health; None without an answer."""
        host = f'{self._address.host}:{self._address.port}'.encode()
        request = ClientRequest('GET', path, ((b'host', host),))
        try:
            answer = await self._exchange(request, WholeBody())
        except (ConnectionFailed, AnswerMissing, AnswerMalformed):
            return None
        cold = find_header(answer.headers, self._names.warm_up_ms) or b'0'
        instance = find_header(answer.headers, self._names.instance) or b''
        return HealthReport(
            instance.decode('latin-1'),
            answer.status in _SUCCESS,
            _read_number(cold) / _MILLISECONDS,
        )

    def close_idle(self) -> None:
        """Drop kept connections, as the upstream may be another one."""
        idle, self._idle = self._idle, []
        for one in idle:
            one.connection.close()

    async def _exchange(
        self, request: ClientRequest, body: Body
    ) -> ClientAnswer:
        connection = await self._connect()
        try:
            answer = await connection.exchange(request, body)
        except BaseException:
            connection.close()
            raise
        if connection.is_reusable:
            now = self._clock.monotonic()
            self._idle.append(_Idle(connection, now))
        return answer

    async def _connect(self) -> ClientConnection:
        now = self._clock.monotonic()
        while self._idle:
            kept = self._idle.pop()
            limit = kept.connection.idle_limit_seconds
            if limit is None:
                limit = IDLE_LIMIT_SECONDS + _IDLE_MARGIN_SECONDS
            is_fresh = now - kept.since < limit - _IDLE_MARGIN_SECONDS
            if is_fresh and kept.connection.is_reusable:
                return kept.connection
            kept.connection.close()
        return await open_connection(self._address, CONNECT_TIMEOUT_SECONDS)

    def _headers(self, request: CallRequest, seconds: float) -> Headers:
        names = self._names
        left_ms = max(int(seconds * _MILLISECONDS), 1)
        added = [(names.deadline_ms, b'%d' % left_ms)]
        if request.instance:
            instance = request.instance.encode('latin-1')
            added.append((names.expected_instance, instance))
        return (*request.headers, *added)

    def _judge(self, answer: ClientAnswer) -> Result[Answer, Refusal]:
        names = self._names
        if answer.status == _MISDIRECTED:
            return Err(Refusal('wrong_instance', 'no'))
        if find_header(answer.headers, names.not_run) is not None:
            wait = find_header(answer.headers, names.retry_after) or b'0'
            wait_ms = int(_read_number(wait) * _MILLISECONDS)
            return Err(Refusal('upstream_shed', 'no', wait_ms))
        is_sealed = find_header(answer.headers, names.seal) is not None
        if answer.status in _SUCCESS and not is_sealed:
            return Err(Refusal('answer_without_seal', 'unknown'))
        return Ok(Answer(answer.status, answer.headers, answer.body))


def _identity(
    request: CallRequest, names: HeaderNames
) -> tuple[bytes, bytes] | None:
    sent = find_header(request.headers, names.request_id)
    return None if sent is None else (names.request_id, sent)


def _read_number(field: bytes) -> float:
    try:
        return max(float(field), 0)
    except ValueError:
        return 0
