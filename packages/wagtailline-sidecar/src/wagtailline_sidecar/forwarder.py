"""Forwarding of admitted requests to endpoints, with retries."""

import asyncio
from collections.abc import Callable
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
    close_body,
)
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.body_memory import make_unlimited_memory
from wagtailline_sidecar.forwarding_state import (
    BUSY_REASONS,
    UPSTREAM_REASONS,
    Attempt,
    ForwardingState,
    OutgoingRequest,
)
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import drop_headers, find_header
from wagtailline_sidecar.model import Endpoint
from wagtailline_sidecar.retry_policy import RetryPolicy
from wagtailline_sidecar.selection import Selector
from wagtailline_sidecar.streamed_bodies import buffer_body
from wagtailline_sidecar.upstream_notices import read_notice

# Response bodies up to this size are buffered before they are forwarded, so
# that a request can be retried if its response is truncated.
MAX_BUFFERED_BYTES = 1024 * 1024
# The same for the bodies of failures.
MAX_BUFFERED_FAILURE_BYTES = 64 * 1024
_SERVER_ERRORS = range(500, 600)
_SUCCESS = range(200, 300)
_MILLISECONDS_PER_SECOND = 1000


class EndpointLeaving(NamedTuple):
    """Event: an endpoint has said in the response to ``request`` it leaves."""

    endpoint: str
    request: str


class Forwarder:
    """Client of the gates that chooses endpoints and retries requests."""

    def __init__(
        self,
        selector: Selector,
        call_gate: CallHandler,
        clock: MonotonicClock,
        policy: RetryPolicy,
        names: HeaderNames,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up a forwarder that sends requests with ``call_gate``.

        ``policy`` decides about retries. Events are passed to ``observe``.
        Bodies of responses are held in ``memory``.
        """
        self.memory = make_unlimited_memory()
        self._names = names
        self._observe = observe
        self._selector = selector
        self._call_gate = call_gate
        self._clock = clock
        self._policy = policy

    async def forward(
        self, state: ForwardingState, outgoing: OutgoingRequest
    ) -> Result[Answer, Refusal]:
        """Return the response, or the last refusal."""
        self._policy.record_request(state)
        while True:
            endpoint = self._selector.choose(
                state.admitted.snapshot,
                state.admitted.route,
                state.service,
                state.tried,
                state.admitted.target_time - self._clock.monotonic(),
            )
            if endpoint is None:
                return Err(state.conclude(state.last_refusal))
            outcome = await self._attempt(state, endpoint, outgoing)
            if isinstance(outcome, Err):
                outcome = Err(state.add_refusal(outcome.err_value))
            if await self._may_retry(state, outgoing, outcome):
                if isinstance(outcome, Ok):
                    await close_body(outcome.ok_value.body)
                continue
            if isinstance(outcome, Err):
                return Err(state.conclude(outcome.err_value))
            return outcome

    async def _may_retry(
        self,
        state: ForwardingState,
        outgoing: OutgoingRequest,
        outcome: Result[Answer, Refusal],
    ) -> bool:
        match outcome:
            case Ok(answer) if answer.status not in _SERVER_ERRORS:
                self._policy.record_answer(state, outgoing)
                return False
            case Ok(_):
                return await self._policy.permits_after_answer(state, outgoing)
            case Err(refusal):
                return await self._policy.permits_after_refusal(
                    state, outgoing, refusal
                )

    async def _attempt(
        self,
        state: ForwardingState,
        endpoint: Endpoint,
        outgoing: OutgoingRequest,
    ) -> Result[Answer, Refusal]:
        state.tried.add(endpoint.identity)
        started = self._clock.monotonic()
        request = self._make_call(state, endpoint, outgoing, started)
        if request.timeout_ms <= 0:
            return Err(Refusal('deadline', 'no'))
        body: Body = outgoing.body
        if isinstance(body, WholeBody):
            body = WholeBody(body.content)
        self._selector.record_sent(endpoint)
        state.is_sent = True
        try:
            outcome = await self._buffer_body(
                self._take_calls_per_run(
                    state.service, await self._call_gate(request, body)
                )
            )
        except asyncio.CancelledError:
            elapsed_seconds = self._clock.monotonic() - started
            self._append_attempt(state, endpoint, 'cancelled', elapsed_seconds)
            raise
        finally:
            self._selector.record_ended(endpoint)
        elapsed_seconds = self._clock.monotonic() - started
        self._record_outcome(state, endpoint, outcome, elapsed_seconds)
        return outcome

    def _take_calls_per_run(
        self, service: str, outcome: Result[Answer, Refusal]
    ) -> Result[Answer, Refusal]:
        """Record and drop the header that a gate adds to its answers."""
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        name = self._names.calls_per_run
        report = find_header(answer.headers, name)
        if report is None:
            return outcome
        self._policy.record_calls_per_run(service, report)
        headers = drop_headers(answer.headers, (name,))
        return Ok(answer._replace(headers=headers))

    async def _buffer_body(
        self, outcome: Result[Answer, Refusal]
    ) -> Result[Answer, Refusal]:
        """Buffer the response body unless it is large."""
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if isinstance(answer.body, WholeBody):
            return outcome
        is_failure = answer.status in _SERVER_ERRORS
        max_bytes = (
            MAX_BUFFERED_FAILURE_BYTES if is_failure else MAX_BUFFERED_BYTES
        )
        try:
            body = await buffer_body(answer.body, max_bytes, self.memory)
        except BodyTruncated:
            return Err(Refusal('answer_truncated', 'unknown'))
        except BaseException:
            # The caller has left, or its time is up.
            await close_body(answer.body)
            raise
        return Ok(answer._replace(body=body))

    def _make_call(
        self,
        state: ForwardingState,
        endpoint: Endpoint,
        outgoing: OutgoingRequest,
        now: float,
    ) -> CallRequest:
        admitted = state.admitted
        account = admitted.account
        remaining_ms = int((admitted.deadline - now) * _MILLISECONDS_PER_SECOND)
        target_ms = int((admitted.target_time - now) * _MILLISECONDS_PER_SECOND)
        return CallRequest(
            version=admitted.snapshot.configuration.version,
            endpoint=endpoint.address.host,
            route=admitted.route.name,
            client_account=account.name if account else '',
            key_digest='',
            method=outgoing.method,
            target=outgoing.target,
            headers=self._add_known_limit(outgoing.headers, endpoint),
            timeout_ms=remaining_ms,
            depth=int(admitted.is_nested),
            instance=endpoint.identity,
            priority=admitted.priority,
            request_id=admitted.request_id,
            is_repeatable=admitted.route.kind.is_retryable,
            target_ms=max(target_ms, 1),
        )

    def _add_known_limit(self, headers: Headers, endpoint: Endpoint) -> Headers:
        """Add the limit of an endpoint, which its gate may have forgotten."""
        rate = self._selector.find_rate_limit(endpoint)
        if rate is None:
            return headers
        return (*headers, (self._names.known_rate_limit, b'%r' % rate))

    def _record_notice(
        self, state: ForwardingState, endpoint: Endpoint, answer: Answer
    ) -> None:
        """Record what a response of an upstream says of it."""
        if find_header(answer.headers, self._names.seal) is None:
            return
        notice = read_notice(answer.headers, self._names, endpoint.identity)
        if self._selector.record_notice(endpoint, notice):
            request_id = state.admitted.request_id
            self._observe(EndpointLeaving(endpoint.identity, request_id))

    def _record_outcome(
        self,
        state: ForwardingState,
        endpoint: Endpoint,
        outcome: Result[Answer, Refusal],
        elapsed_seconds: float,
    ) -> None:
        match outcome:
            case Ok(answer):
                state.upstream_attempts += 1
                state.may_have_run = True
                self._record_notice(state, endpoint, answer)
                self._selector.record_response(
                    endpoint,
                    state.admitted.route,
                    elapsed_seconds,
                    answer.load,
                    answer.status not in _SERVER_ERRORS,
                )
                if isinstance(answer.body, WholeBody):
                    size = len(answer.body.content)
                    self._selector.record_size(state.admitted.route, size)
                self._append_attempt(
                    state, endpoint, str(answer.status), elapsed_seconds
                )
            case Err(refusal):
                self._record_refusal(state, endpoint, refusal, elapsed_seconds)

    def _record_refusal(
        self,
        state: ForwardingState,
        endpoint: Endpoint,
        refusal: Refusal,
        elapsed_seconds: float,
    ) -> None:
        if refusal.executed == 'unknown':
            state.may_have_run = True
        if refusal.executed == 'unknown' or refusal.reason in UPSTREAM_REASONS:
            state.upstream_attempts += 1
        else:
            state.gate_refusals += 1
        if refusal.reason in BUSY_REASONS:
            wait_seconds = refusal.retry_after_ms / _MILLISECONDS_PER_SECOND
            self._selector.record_wait(endpoint, wait_seconds)
        elif refusal.reason == 'upstream_shed':
            route = state.admitted.route
            self._selector.record_response(
                endpoint, route, elapsed_seconds, 0, False
            )
        else:
            self._selector.record_failure(endpoint)
        self._append_attempt(state, endpoint, refusal.reason, elapsed_seconds)

    def _append_attempt(
        self,
        state: ForwardingState,
        endpoint: Endpoint,
        outcome: str,
        elapsed_seconds: float,
    ) -> None:
        took_ms = int(elapsed_seconds * _MILLISECONDS_PER_SECOND)
        state.attempts.append(Attempt(endpoint.identity, outcome, took_ms))
