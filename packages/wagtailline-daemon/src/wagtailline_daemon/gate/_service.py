"""Call handler of the local endpoint: check, admit, run, record."""

from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.admission import Gate, Slot, Ticket
from wagtailline.calls import (
    Answer,
    Body,
    BodyTruncated,
    CallHandler,
    CallRequest,
    Refusal,
)
from wagtailline.executions import ExecutionRecords, Instant
from wagtailline.ports import Clock
from wagtailline.routing import IDEMPOTENT_METHODS
from wagtailline.snapshot import Snapshot
from wagtailline.verification import CallVerifier
from wagtailline_daemon.gate._keyed_calls import KeyedCalls
from wagtailline_daemon.gate._outcomes import (
    observe_answer,
    outcome_of_refusal,
    refuse_admission,
)
from wagtailline_daemon.gate._request_content import (
    RequestContent,
    identify_content,
    make_fingerprint,
)

_MILLISECONDS = 1000
_UPSTREAM_SHED = 503


class GateParts(NamedTuple):
    """What a call passes on its way to the upstream."""

    verifier: CallVerifier
    gate: Gate
    records: ExecutionRecords
    upstream: CallHandler


class GateService:
    """Runs calls at the local upstream; every call passes here.

    ``last_keyed_call`` is the monotonic time of the last call that carried
    an idempotency key.
    """

    def __init__(self, parts: GateParts, clock: Clock) -> None:
        """Take the parts of the local gate."""
        self._parts = parts
        self._clock = clock
        self._keyed = KeyedCalls(parts.records, self._run)
        self.last_keyed_call = float('-inf')

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run a call, or refuse it and say whether it may have run."""
        deadline = self._now() + request.timeout_ms / _MILLISECONDS
        verdict = await self._parts.verifier.verify(request)
        if isinstance(verdict, Err):
            return verdict
        try:
            content = await identify_content(body)
        except BodyTruncated:
            return Err(Refusal('body_truncated', 'no'))
        ticket = _make_ticket(
            verdict.ok_value, request, deadline, content.digest
        )
        if request.idempotency_key and not _is_idempotent(request):
            self.last_keyed_call = self._now()
            return await self._keyed.run(
                request, content, ticket, self._instant
            )
        return await self._run(request, content, ticket)

    async def _run(
        self, request: CallRequest, content: RequestContent, ticket: Ticket
    ) -> Result[Answer, Refusal]:
        admitted = await self._parts.gate.admit(ticket)
        if isinstance(admitted, Err):
            return Err(refuse_admission(admitted.err_value))
        slot = admitted.ok_value
        left_ms = int((ticket.deadline - self._now()) * _MILLISECONDS)
        sent = request._replace(timeout_ms=max(left_ms, 1))
        outcome = await self._send(slot, sent, content.body)
        match outcome:
            case Ok(answer):
                return self._observe(request, slot, answer)
            case Err(refusal):
                slot.release(outcome_of_refusal(refusal))
        return outcome

    async def _send(
        self, slot: Slot, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        try:
            return await self._parts.upstream(request, body)
        except BaseException:
            slot.release(outcome_of_refusal(None))
            raise

    def _observe(
        self, request: CallRequest, slot: Slot, answer: Answer
    ) -> Result[Answer, Refusal]:
        latency = self._now() - slot.started
        observed = observe_answer(slot, answer, latency)
        if answer.status == _UPSTREAM_SHED and _is_idempotent(request):
            return Err(Refusal('upstream_shed', 'unknown'))
        return Ok(observed._replace(load=self._parts.gate.load))

    def _now(self) -> float:
        return self._clock.monotonic()

    def _instant(self) -> Instant:
        return Instant(self._clock.monotonic(), self._clock.wall())


def _make_ticket(
    snapshot: Snapshot, request: CallRequest, deadline: float, content: bytes
) -> Ticket:
    account = snapshot.find_account(request.client_account)
    return Ticket(
        client_account=request.client_account,
        weight=account.weight if account else 1,
        deadline=deadline,
        fingerprint=make_fingerprint(request, content),
        kind=request.route,
    )


def _is_idempotent(request: CallRequest) -> bool:
    return request.method in IDEMPOTENT_METHODS
