"""Sends an admitted request to endpoints until one has answered."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import (
    Answer,
    Body,
    BodyTruncated,
    CallHandler,
    CallRequest,
    Headers,
    Refusal,
    WholeBody,
)
from wagtailline.ports import MonotonicClock
from wagtailline.routing import RetryBudget
from wagtailline_sidecar.admission import Admitted
from wagtailline_sidecar.model import Endpoint
from wagtailline_sidecar.selection import Selector

# Gates that are asked in vain before the request is refused.
MAX_REFUSALS = 3
# Bodies of answers up to this size are complete before any byte of them is
# passed on, so that a request may be repeated after a cut.
MAX_WHOLE_BYTES = 1024 * 1024
_SERVER_ERRORS = range(500, 600)
_SUCCESS = range(200, 300)
_MILLISECONDS = 1000
# Reasons that say nothing of the endpoint's reachability.
_BUSY_REASONS = frozenset(('wait_too_long', 'queue_full', 'deadline'))
_ARRIVED_REASONS = frozenset(('upstream_shed', 'wrong_instance'))


class Attempt(NamedTuple):
    """One try at one endpoint, for the log."""

    endpoint: str
    outcome: str
    took_ms: int


class Content(NamedTuple):
    """What is sent of a request; a streamed body can't be sent twice."""

    method: str
    target: str
    headers: Headers
    body: Body

    @property
    def is_repeatable(self) -> bool:
        """Tell whether the body can be sent again."""
        return isinstance(self.body, WholeBody)


class Forwarding:
    """State of one request on its way."""

    def __init__(self, admitted: Admitted, service: str) -> None:
        """Begin without attempts."""
        self.admitted = admitted
        self.service = service
        self.attempts: list[Attempt] = []
        self.tried: set[str] = set()
        self.arrivals = 0
        self.refusals = 0
        self.is_sent = False
        self.last = Refusal('no_endpoint', 'no')


class Forwarder:
    """Chooses endpoints, and repeats what may be repeated."""

    def __init__(
        self,
        selector: Selector,
        gates: CallHandler,
        clock: MonotonicClock,
        retry_ratio: float,
        retries_per_second: Callable[[], float],
    ) -> None:
        """Send calls through ``gates``, which finds them by their host."""
        self._selector = selector
        self._gates = gates
        self._clock = clock
        self._retry_ratio = retry_ratio
        self._retries_per_second = retries_per_second
        self._budgets: dict[str, RetryBudget] = {}

    async def forward(
        self, state: Forwarding, content: Content
    ) -> Result[Answer, Refusal]:
        """Return an answer, or the reason of the last refusal."""
        self._budget(state.service).note_call()
        while True:
            endpoint = self._selector.choose(
                state.admitted.snapshot,
                state.admitted.route,
                state.service,
                state.tried,
                state.admitted.target - self._clock.monotonic(),
            )
            if endpoint is None:
                return Err(state.last)
            outcome = await self._try(state, endpoint, content)
            match outcome:
                case Ok(answer) if answer.status not in _SERVER_ERRORS:
                    return outcome
                case Ok(_):
                    if not self._may_repeat(state, content):
                        return outcome
                case Err(refusal):
                    state.last = refusal
                    if not self._may_continue(state, content, refusal):
                        return outcome

    async def _try(
        self, state: Forwarding, endpoint: Endpoint, content: Content
    ) -> Result[Answer, Refusal]:
        state.tried.add(endpoint.identity)
        started = self._clock.monotonic()
        request = self._make_call(state, endpoint, content, started)
        if request.timeout_ms <= 0:
            return Err(Refusal('deadline', 'no'))
        body: Body = content.body
        if isinstance(body, WholeBody):
            body = WholeBody(body.content)
        self._selector.note_sent(endpoint)
        state.is_sent = True
        try:
            outcome = await self._receive(await self._gates(request, body))
        except asyncio.CancelledError:
            took = self._clock.monotonic() - started
            self._note(state, endpoint, 'cancelled', took)
            raise
        finally:
            self._selector.note_ended(endpoint)
        took = self._clock.monotonic() - started
        self._learn(state, endpoint, outcome, took)
        return outcome

    async def _receive(
        self, outcome: Result[Answer, Refusal]
    ) -> Result[Answer, Refusal]:
        """Take in a body, unless it is large."""
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if isinstance(answer.body, WholeBody):
            return outcome
        pieces: list[bytes] = []
        size = 0
        try:
            async for piece in answer.body:
                pieces.append(piece)
                size += len(piece)
                if size > MAX_WHOLE_BYTES:
                    return Ok(
                        answer._replace(body=continue_body(pieces, answer.body))
                    )
        except BodyTruncated:
            return Err(Refusal('answer_truncated', 'unknown'))
        return Ok(answer._replace(body=WholeBody(b''.join(pieces))))

    def _make_call(
        self,
        state: Forwarding,
        endpoint: Endpoint,
        content: Content,
        now: float,
    ) -> CallRequest:
        admitted = state.admitted
        account = admitted.account
        left_ms = int((admitted.deadline - now) * _MILLISECONDS)
        target_ms = int((admitted.target - now) * _MILLISECONDS)
        return CallRequest(
            version=admitted.snapshot.configuration.version,
            endpoint=endpoint.address.host,
            route=admitted.route.name,
            client_account=account.name if account else '',
            key_digest='',
            method=content.method,
            target=content.target,
            headers=content.headers,
            timeout_ms=left_ms,
            depth=int(admitted.is_nested),
            instance=endpoint.identity,
            priority=admitted.priority,
            identity=admitted.identity,
            is_repeatable=admitted.route.kind.is_repeatable,
            target_ms=max(target_ms, 1),
        )

    def _learn(
        self,
        state: Forwarding,
        endpoint: Endpoint,
        outcome: Result[Answer, Refusal],
        took: float,
    ) -> None:
        match outcome:
            case Ok(answer):
                state.arrivals += 1
                self._selector.note_answer(
                    endpoint,
                    state.admitted.route,
                    took,
                    answer.load,
                    answer.status not in _SERVER_ERRORS,
                )
                if isinstance(answer.body, WholeBody):
                    size = len(answer.body.content)
                    self._selector.note_size(state.admitted.route, size)
                self._note(state, endpoint, str(answer.status), took)
            case Err(refusal):
                self._learn_refusal(state, endpoint, refusal, took)

    def _learn_refusal(
        self,
        state: Forwarding,
        endpoint: Endpoint,
        refusal: Refusal,
        took: float,
    ) -> None:
        if refusal.executed == 'unknown' or refusal.reason in _ARRIVED_REASONS:
            state.arrivals += 1
        else:
            state.refusals += 1
        if refusal.reason in _BUSY_REASONS:
            wait = refusal.retry_after_ms / _MILLISECONDS
            self._selector.note_wait(endpoint, wait)
        elif refusal.reason == 'upstream_shed':
            route = state.admitted.route
            self._selector.note_answer(endpoint, route, took, 0, False)
        else:
            self._selector.note_failure(endpoint)
        self._note(state, endpoint, refusal.reason, took)

    def _may_continue(
        self, state: Forwarding, content: Content, refusal: Refusal
    ) -> bool:
        if refusal.executed != 'no':
            return self._may_repeat(state, content)
        if state.refusals > MAX_REFUSALS or not content.is_repeatable:
            return False
        if refusal.reason not in _ARRIVED_REASONS:
            return True
        if state.arrivals >= state.admitted.route.max_attempts:
            return False
        return self._budget(state.service).take()

    def _may_repeat(self, state: Forwarding, content: Content) -> bool:
        """Tell whether a request that may have run may run again."""
        route = state.admitted.route
        if not (route.kind.is_repeatable and content.is_repeatable):
            return False
        if state.arrivals >= route.max_attempts:
            return False
        if self._clock.monotonic() >= state.admitted.deadline:
            return False
        return self._budget(state.service).take()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._clock, self._retry_ratio, self._retries_per_second()
            )
            self._budgets[service] = budget
        return budget

    def _note(
        self, state: Forwarding, endpoint: Endpoint, outcome: str, took: float
    ) -> None:
        took_ms = int(took * _MILLISECONDS)
        state.attempts.append(Attempt(endpoint.identity, outcome, took_ms))


async def continue_body(
    pieces: list[bytes], rest: Body
) -> AsyncIterator[bytes]:
    """Yield what was taken of a body, then the rest of it."""
    yield b''.join(pieces)
    async for piece in rest:
        yield piece
