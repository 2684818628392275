"""Sends calls to gates and repeats them within the rules."""

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
    Position,
    key_position,
)
from wagtailline.routing._gates import GateTable
from wagtailline.routing._replay import ReplayableBody
from wagtailline.snapshot import SnapshotStore

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'))
# From this depth on, only calls that did not run are repeated.
MAX_REPEATING_DEPTH = 1
# Refusals that every other gate would repeat; they say nothing about the
# gate that gave them.
FINAL_REASONS = frozenset(
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
_MILLISECONDS = 1000
_NO_GATE = Refusal('no_gate', 'no')


class Handlers(NamedTuple):
    """Where calls go: the own gate, and the gates of other daemons."""

    own: CallHandler
    remote: CallHandler


class Router:
    """Call handler that finds the gate for a call."""

    def __init__(
        self,
        store: SnapshotStore,
        position: Position,
        handlers: Handlers,
        clock: Clock,
        random: Random,
    ) -> None:
        """Send calls for the own endpoint to the own gate."""
        self._store = store
        self._position = position
        self._handlers = handlers
        self._clock = clock
        self._gates = GateTable(clock, random, position.data_centre)
        self._budgets: dict[str, RetryBudget] = {}
        self._table: CandidateTable | None = None

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run the call at a gate of the service of its route."""
        table = self._current_table()
        if table is None:
            return Err(Refusal('no_snapshot', 'no'))
        route = table.snapshot.objects.get(('routes', request.route))
        if not isinstance(route, Route):
            return Err(Refusal('route_missing', 'no'))
        source = ReplayableBody(body)
        budget = self._budget(route.service)
        budget.note_call()
        candidates = self._candidates(table, route, request)
        outcome: Result[Answer, Refusal] | None = None
        try:
            outcome = await self._attempt_all(
                _Call(request, source, candidates), budget
            )
        finally:
            # An answer may begin before the body has been read to its end.
            if not isinstance(outcome, Ok):
                source.close()
        return outcome

    def _candidates(
        self, table: CandidateTable, route: Route, request: CallRequest
    ) -> Candidates:
        if not request.idempotency_key or request.method in IDEMPOTENT_METHODS:
            return table.find(route.service)
        # Only the gate at the position of the key knows whether it has run.
        name = key_position(
            table.snapshot,
            route.service,
            request.client_account,
            request.idempotency_key,
        )
        endpoint = table.snapshot.find_endpoint(name) if name else None
        return Candidates(None, (), (), (endpoint,) if endpoint else ())

    async def _attempt_all(
        self, call: '_Call', budget: RetryBudget
    ) -> Result[Answer, Refusal]:
        deadline = self._clock.monotonic()
        deadline += call.request.timeout_ms / _MILLISECONDS
        executed: Executed = 'no'
        refusal = _NO_GATE
        tried: frozenset[str] = frozenset()
        for attempt in range(MAX_ATTEMPTS):
            endpoint = self._gates.choose(call.candidates, tried)
            if endpoint is None or (attempt and not budget.take()):
                break
            left_ms = (deadline - self._clock.monotonic()) * _MILLISECONDS
            outcome = await self._attempt(call, endpoint, int(left_ms))
            if isinstance(outcome, Ok):
                return outcome
            refusal = outcome.err_value
            executed = _worse(executed, refusal.executed)
            if not _may_repeat(call, refusal):
                break
            tried |= {endpoint.name}
        return Err(refusal._replace(executed=executed))

    async def _attempt(
        self, call: '_Call', endpoint: Endpoint, left_ms: int
    ) -> Result[Answer, Refusal]:
        if left_ms <= 0:
            return Err(Refusal('deadline', 'no'))
        request = call.request._replace(
            endpoint=endpoint.name,
            timeout_ms=left_ms,
            sender=self._position.endpoint,
        )
        is_own = endpoint.name == self._position.endpoint
        handler = self._handlers.own if is_own else self._handlers.remote
        noted: Answer | Refusal | None = None
        self._gates.begin(endpoint)
        try:
            outcome = await handler(request, call.body.attempt())
            noted = _noted(outcome)
        finally:
            self._gates.end(endpoint, noted)
        return outcome

    def _current_table(self) -> CandidateTable | None:
        snapshot = self._store.current
        if snapshot is None:
            return None
        if self._table is None or self._table.snapshot is not snapshot:
            self._table = CandidateTable(snapshot, self._position)
            self._gates.forget_others(_names(snapshot.objects))
        return self._table

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._clock)
            self._budgets[service] = budget
        return budget


class _Call(NamedTuple):
    request: CallRequest
    body: ReplayableBody
    candidates: Candidates


def _may_repeat(call: _Call, refusal: Refusal) -> bool:
    if refusal.reason in FINAL_REASONS or not call.body.is_replayable:
        return False
    if refusal.executed == 'no':
        return True
    return (
        call.request.method in IDEMPOTENT_METHODS
        and call.request.depth <= MAX_REPEATING_DEPTH
    )


def _worse(first: Executed, second: Executed) -> Executed:
    return 'unknown' if 'unknown' in {first, second} else 'no'


def _noted(outcome: Result[Answer, Refusal]) -> Answer | Refusal | None:
    if isinstance(outcome, Ok):
        return outcome.ok_value
    refusal = outcome.err_value
    return None if refusal.reason in FINAL_REASONS else refusal


def _names(objects: Iterable[tuple[str, str]]) -> frozenset[str]:
    return frozenset(name for kind, name in objects if kind == 'endpoints')
