"""Decides whether a request is sent to another endpoint after a failure."""

from wagtailline.calls import Refusal
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.forwarding_state import (
    CRASH_REASONS,
    UPSTREAM_REASONS,
    ForwardingState,
    OutgoingRequest,
)
from wagtailline_sidecar.nested_calls import NestedCalls
from wagtailline_sidecar.retry_budgets import RetryBudgets
from wagtailline_sidecar.retry_guard import FailedAttempt, RetryGuard

# A request is not retried after more failed attempts than this that did not
# reach an upstream, such as refusals by busy gates.
MAX_GATE_REFUSALS = 3
_MILLISECONDS_PER_SECOND = 1000


class RetryPolicy:
    """Policy for the retries of the requests to all services."""

    def __init__(
        self,
        clock: MonotonicClock,
        budgets: RetryBudgets,
        guard: RetryGuard,
        nested_calls: NestedCalls,
    ) -> None:
        """Set up a policy.

        ``budgets`` limit the retries of each service, and ``guard`` withholds
        those of requests that crash their upstreams. ``nested_calls`` counts
        the calls of the local upstream.
        """
        self._nested_calls = nested_calls
        self._clock = clock
        self._budgets = budgets
        self._guard = guard

    def record_request(self, state: ForwardingState) -> None:
        """Count a request of a client, from which a budget grows.

        Calls of upstreams are not counted: retries are limited to a part of
        what clients ask for, however many calls that causes.
        """
        if state.admitted.is_nested:
            self._nested_calls.record_call(state.service)
        else:
            self._budgets.record_request(state.service)

    def record_calls_per_run(self, service: str, report: bytes) -> None:
        """Record the calls that each run at a service makes, by an answer."""
        self._budgets.record_calls_per_run(service, report)

    def record_answer(
        self, state: ForwardingState, outgoing: OutgoingRequest
    ) -> None:
        """Record that an upstream has answered a request."""
        if self._guard.is_watching and outgoing.is_repeatable:
            self._guard.record_answer(outgoing.digest(state.service))

    async def permits_after_refusal(
        self,
        state: ForwardingState,
        outgoing: OutgoingRequest,
        refusal: Refusal,
    ) -> bool:
        """Return whether a request may be sent again after a refusal."""
        if refusal.executed != 'no':
            return await self._permits_unknown(state, outgoing, refusal)
        if (
            state.gate_refusals > MAX_GATE_REFUSALS
            or not outgoing.is_repeatable
        ):
            return False
        if refusal.reason not in UPSTREAM_REASONS:
            return True
        if state.upstream_attempts >= state.admitted.route.max_attempts:
            return False
        return await self._permits_known(state, outgoing)

    async def _permits_unknown(
        self,
        state: ForwardingState,
        outgoing: OutgoingRequest,
        refusal: Refusal,
    ) -> bool:
        """Return whether a request may be retried that may have run.

        It may have crashed its upstream, which the whole system has to know.
        """
        attempt = FailedAttempt(
            state.admitted.request_id,
            state.attempts[-1].took_ms / _MILLISECONDS_PER_SECOND,
            is_crash=refusal.reason in CRASH_REASONS,
        )
        if not self._is_retryable(state, outgoing):
            if attempt.is_crash and outgoing.is_repeatable:
                self._guard.record_crash(
                    outgoing.digest(state.service), attempt
                )
            return False
        digest = outgoing.digest(state.service)
        if not await self._guard.permits(digest, attempt):
            return False
        return self._try_acquire(state)

    async def permits_after_answer(
        self, state: ForwardingState, outgoing: OutgoingRequest
    ) -> bool:
        """Return whether a request may be retried after an error response."""
        is_retryable = self._is_retryable(state, outgoing)
        return is_retryable and await self._permits_known(state, outgoing)

    async def _permits_known(
        self, state: ForwardingState, outgoing: OutgoingRequest
    ) -> bool:
        """Return whether neither the budget nor the guard forbids a retry.

        The budget comes first, as the guard may ask other daemons: those
        questions are not more than the retries then, also in an overload.
        """
        if not self._try_acquire(state):
            return False
        return await self._guard.permits_again(
            outgoing.digest(state.service), state.admitted.request_id
        )

    def _is_retryable(
        self, state: ForwardingState, outgoing: OutgoingRequest
    ) -> bool:
        """Return whether a request may run again and has time for that."""
        route = state.admitted.route
        if not (route.kind.is_retryable and outgoing.is_repeatable):
            return False
        if state.upstream_attempts >= route.max_attempts:
            return False
        return self._clock.monotonic() < state.admitted.deadline

    def _try_acquire(self, state: ForwardingState) -> bool:
        """Consume a retry of the budget; return False if it is exhausted."""
        return self._budgets.try_acquire(
            state.service,
            state.admitted.request_id,
            state.attempts[-1].outcome,
            is_nested=state.admitted.is_nested,
        )
