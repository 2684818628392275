"""Call handler of the local endpoint."""

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
    convert_gate_refusal,
    observe_answer,
    outcome_of_refusal,
)
from wagtailline_daemon.gate._request_content import (
    RequestContent,
    identify_content,
    make_fingerprint,
)

_MILLISECONDS_PER_SECOND = 1000
_LOAD_SHED_STATUS = 503


class GateParts(NamedTuple):
    """Components that a call passes on its way to the upstream."""

    verifier: CallVerifier
    gate: Gate
    records: ExecutionRecords
    upstream: CallHandler


class GateService:
    """Verifies, admits, runs and records every call to the local upstream.

    ``last_keyed_call_at`` is the monotonic time of the last call that needed
    an execution record.
    """

    def __init__(self, parts: GateParts, clock: Clock) -> None:
        """Take the components of the local gate."""
        self._parts = parts
        self._clock = clock
        self._keyed_calls = KeyedCalls(parts.records, self._run)
        self.last_keyed_call_at = float('-inf')

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run a call, or return a refusal that says whether it may have run."""
        deadline = self._now() + request.timeout_ms / _MILLISECONDS_PER_SECOND
        verified = await self._parts.verifier.verify(request)
        if isinstance(verified, Err):
            return verified
        try:
            content = await identify_content(body)
        except BodyTruncated:
            return Err(Refusal('body_truncated', 'no'))
        ticket = _make_ticket(
            verified.ok_value, request, deadline, content.digest
        )
        if request.idempotency_key and not _is_idempotent(request):
            self.last_keyed_call_at = self._now()
            return await self._keyed_calls.run(
                request, content, ticket, self._read_clocks
            )
        return await self._run(request, content, ticket)

    async def _run(
        self, request: CallRequest, content: RequestContent, ticket: Ticket
    ) -> Result[Answer, Refusal]:
        admitted = await self._parts.gate.admit(ticket)
        if isinstance(admitted, Err):
            return Err(convert_gate_refusal(admitted.err_value))
        slot = admitted.ok_value
        remaining_ms = int(
            (ticket.deadline - self._now()) * _MILLISECONDS_PER_SECOND
        )
        forwarded = request._replace(timeout_ms=max(remaining_ms, 1))
        outcome = await self._send(slot, forwarded, content.body)
        match outcome:
            case Ok(answer):
                return self._process_answer(request, slot, answer)
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

    def _process_answer(
        self, request: CallRequest, slot: Slot, answer: Answer
    ) -> Result[Answer, Refusal]:
        latency = self._now() - slot.started
        observed = observe_answer(slot, answer, latency)
        if answer.status == _LOAD_SHED_STATUS and _is_idempotent(request):
            return Err(Refusal('upstream_shed', 'unknown'))
        return Ok(observed._replace(load=self._parts.gate.load))

    def _now(self) -> float:
        return self._clock.monotonic()

    def _read_clocks(self) -> Instant:
        return Instant(self._clock.monotonic(), self._clock.wall())


def _make_ticket(
    snapshot: Snapshot,
    request: CallRequest,
    deadline: float,
    content_digest: bytes,
) -> Ticket:
    account = snapshot.find_account(request.client_account)
    return Ticket(
        client_account=request.client_account,
        weight=account.weight if account else 1,
        deadline=deadline,
        fingerprint=make_fingerprint(request, content_digest),
        kind=request.route,
    )


def _is_idempotent(request: CallRequest) -> bool:
    return request.method in IDEMPOTENT_METHODS
