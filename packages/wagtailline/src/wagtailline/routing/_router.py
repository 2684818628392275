"""Sends each call to a gate and retries it at another one.

A gate is the admission control in front of the upstreams of one endpoint.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import (
    Answer,
    Body,
    CallHandler,
    CallRequest,
    Executed,
    Refusal,
)
from wagtailline.objects import Endpoint, Route
from wagtailline.ports import Clock
from wagtailline.routing._budget import MAX_ATTEMPTS, RetryBudget
from wagtailline.routing._candidates import (
    Candidates,
    CandidateTable,
    LocalEndpoint,
    find_key_owner,
)
from wagtailline.routing._gates import GateBalancer
from wagtailline.routing._replay import ReplayableBody
from wagtailline.snapshot import SnapshotStore

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'))
# Calls that are nested deeper than this are retried only if they did not run:
# retries at each level would multiply along a chain of calls.
MAX_RETRY_DEPTH = 1
# Refusals that any other gate would give too: they are neither retried nor
# counted against the gate that gave them.
NON_RETRYABLE_REASONS = frozenset(
    (
        'account_not_admitted',
        'allowance_exhausted',
        'body_truncated',
        'crash_suspect',
        'deadline',
        'idempotency_key_reused',
        'key_missing',
        'key_unknown',
        'route_missing',
    )
)
_MILLISECONDS_PER_SECOND = 1000
_NO_GATE = Refusal('no_gate', 'no')


class Handlers(NamedTuple):
    """Handlers for calls to the local gate and to gates of other daemons."""

    local: CallHandler
    remote: CallHandler


class Router:
    """Call handler that sends calls to gates, with retries."""

    def __init__(
        self,
        store: SnapshotStore,
        position: LocalEndpoint,
        handlers: Handlers,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create a router for the local endpoint and its data centre.

        It routes by the current snapshot of the store.
        """
        self._store = store
        self._position = position
        self._handlers = handlers
        self._clock = clock
        self._balancer = GateBalancer(clock, random, position.data_centre)
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._table: CandidateTable | None = None

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run the call at a gate of the service that its route names.

        The refusal that is returned is "not run" only if no attempt may have
        run the call.
        """
        table = self._current_table()
        if table is None:
            return Err(Refusal('no_snapshot', 'no'))
        route = table.snapshot.objects.get(('routes', request.route))
        if not isinstance(route, Route):
            return Err(Refusal('route_missing', 'no'))
        replayable = ReplayableBody(body)
        budget = self._retry_budget(route.service)
        budget.record_call()
        candidates = self._find_candidates(table, route, request)
        outcome: Result[Answer, Refusal] | None = None
        try:
            outcome = await self._send_with_retries(
                _Call(request, replayable, candidates), budget
            )
        finally:
            # An answer may start before the request body is read completely;
            # then the gate still reads it.
            if not isinstance(outcome, Ok):
                replayable.close()
        return outcome

    def _find_candidates(
        self, table: CandidateTable, route: Route, request: CallRequest
    ) -> Candidates:
        if not request.idempotency_key or request.method in IDEMPOTENT_METHODS:
            return table.find(route.service)
        # Only the gate that owns the key knows whether the call has run.
        name = find_key_owner(
            table.snapshot,
            route.service,
            request.client_account,
            request.idempotency_key,
        )
        endpoint = table.snapshot.find_endpoint(name) if name else None
        return Candidates(None, (), (), (endpoint,) if endpoint else ())

    async def _send_with_retries(
        self, call: '_Call', budget: RetryBudget
    ) -> Result[Answer, Refusal]:
        deadline = self._clock.monotonic()
        deadline += call.request.timeout_ms / _MILLISECONDS_PER_SECOND
        executed: Executed = 'no'
        refusal = _NO_GATE
        tried: frozenset[str] = frozenset()
        for attempt in range(MAX_ATTEMPTS):
            endpoint = self._balancer.choose(call.candidates, tried)
            if endpoint is None or (attempt and not budget.try_acquire()):
                break
            remaining_ms = (
                deadline - self._clock.monotonic()
            ) * _MILLISECONDS_PER_SECOND
            outcome = await self._send(call, endpoint, int(remaining_ms))
            if isinstance(outcome, Ok):
                return outcome
            refusal = outcome.err_value
            executed = _combine_executed(executed, refusal.executed)
            if not _is_retryable(call, refusal):
                break
            tried |= {endpoint.name}
        return Err(refusal._replace(executed=executed))

    async def _send(
        self, call: '_Call', endpoint: Endpoint, remaining_ms: int
    ) -> Result[Answer, Refusal]:
        if remaining_ms <= 0:
            return Err(Refusal('deadline', 'no'))
        request = call.request._replace(
            endpoint=endpoint.name,
            timeout_ms=remaining_ms,
            sender=self._position.endpoint,
        )
        is_local = endpoint.name == self._position.endpoint
        handler = self._handlers.local if is_local else self._handlers.remote
        gate_outcome: Answer | Refusal | None = None
        self._balancer.record_start(endpoint)
        try:
            outcome = await handler(request, call.body.new_reader())
            gate_outcome = _gate_outcome(outcome)
        finally:
            self._balancer.record_end(endpoint, gate_outcome)
        return outcome

    def _current_table(self) -> CandidateTable | None:
        snapshot = self._store.current
        if snapshot is None:
            return None
        if self._table is None or self._table.snapshot is not snapshot:
            self._table = CandidateTable(snapshot, self._position)
            self._balancer.retain(_endpoint_names(snapshot.objects))
        return self._table

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._clock)
            self._retry_budgets[service] = budget
        return budget


class _Call(NamedTuple):
    """A call with its replayable body and the gates that may run it."""

    request: CallRequest
    body: ReplayableBody
    candidates: Candidates


def _is_retryable(call: _Call, refusal: Refusal) -> bool:
    if refusal.reason in NON_RETRYABLE_REASONS or not call.body.is_replayable:
        return False
    if refusal.executed == 'no':
        return True
    return (
        call.request.method in IDEMPOTENT_METHODS
        and call.request.depth <= MAX_RETRY_DEPTH
    )


def _combine_executed(first: Executed, second: Executed) -> Executed:
    return 'unknown' if 'unknown' in {first, second} else 'no'


def _gate_outcome(outcome: Result[Answer, Refusal]) -> Answer | Refusal | None:
    """Return what an outcome says about the gate, None if nothing."""
    if isinstance(outcome, Ok):
        return outcome.ok_value
    refusal = outcome.err_value
    return None if refusal.reason in NON_RETRYABLE_REASONS else refusal


def _endpoint_names(objects: Iterable[tuple[str, str]]) -> frozenset[str]:
    return frozenset(name for kind, name in objects if kind == 'endpoints')
