"""Runs requests of all daemons at the local upstream."""

from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import (
    Answer,
    Body,
    CallRequest,
    Refusal,
    WholeBody,
)
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.gate import Gate, Slot, Ticket
from wagtailline_sidecar.local_upstream import LocalUpstream
from wagtailline_sidecar.upstream import Upstream

# Time that an answer needs back to the daemon that asked for it.
RETURN_SECONDS = 0.01
_MILLISECONDS = 1000
_SUCCESS = range(200, 300)
# A daemon that learns of the refusal looks elsewhere for this long.
_DOWN_RETRY_MS = 250


class GateCallEnded(NamedTuple):
    """Event: a call at this gate has ended."""

    request: str
    sender: str
    instance: str
    outcome: str
    executed: str
    waited_ms: int
    took_ms: int
    in_progress: int
    queued: int
    warm_up: str


class GateService:
    """Handler of calls: admits, runs and reports."""

    def __init__(
        self,
        gate: Gate,
        upstream: Upstream,
        local: LocalUpstream,
        clock: BootClock,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Take the parts of the gate."""
        self._gate = gate
        self._upstream = upstream
        self._local = local
        self._clock = clock
        self._observe = observe

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run a call, or refuse it and say whether it may have run."""
        arrived = self._clock.monotonic()
        reason = self._local.refusal_reason
        if reason:
            refusal = Refusal(reason, 'no', _DOWN_RETRY_MS)
            self._note(request, refusal, arrived, arrived)
            return Err(refusal)
        allowed = request.timeout_ms / _MILLISECONDS - RETURN_SECONDS
        wanted = request.target_ms / _MILLISECONDS or allowed
        ticket = Ticket(
            request.route,
            request.priority,
            arrived + allowed,
            arrived + min(wanted, allowed),
            is_nested=request.depth > 0,
        )
        admitted = await self._gate.admit(ticket)
        match admitted:
            case Ok(slot):
                return await self._run(request, body, slot, arrived)
            case Err(refusal):
                self._note(request, refusal, arrived, self._clock.monotonic())
        return admitted

    async def _run(
        self, request: CallRequest, body: Body, slot: Slot, arrived: float
    ) -> Result[Answer, Refusal]:
        left = arrived + request.timeout_ms / _MILLISECONDS - slot.started
        try:
            outcome = await self._upstream.run(request, body, left)
        except BaseException:
            slot.release()
            cancelled = Refusal('cancelled', 'unknown')
            self._note(request, cancelled, arrived, slot.started)
            raise
        match outcome:
            case Ok(answer):
                result = self._pass_on(request, answer, slot)
                self._note(request, answer, arrived, slot.started)
                return result
            case Err(refusal):
                slot.release()
                self._note(request, refusal, arrived, slot.started)
        return outcome

    def _pass_on(
        self, request: CallRequest, answer: Answer, slot: Slot
    ) -> Result[Answer, Refusal]:
        wait = self._gate.predict_wait((request.depth == 0, request.priority))
        if isinstance(answer.body, WholeBody):
            slot.release(is_typical=answer.status in _SUCCESS)
            return Ok(answer._replace(load=wait))
        body = _release_after(answer.body, slot)
        return Ok(answer._replace(load=wait, body=body))

    def _note(
        self,
        request: CallRequest,
        outcome: Answer | Refusal,
        arrived: float,
        started: float,
    ) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Answer():
                name, executed = str(outcome.status), 'yes'
            case Refusal():
                name, executed = outcome.reason, outcome.executed
        self._observe(
            GateCallEnded(
                request=request.identity,
                sender=request.sender,
                instance=request.instance,
                outcome=name,
                executed=executed,
                waited_ms=int((started - arrived) * _MILLISECONDS),
                took_ms=int((now - started) * _MILLISECONDS),
                in_progress=self._gate.in_progress,
                queued=self._gate.queued,
                warm_up=self._gate.describe_warm_up(),
            )
        )


async def _release_after(body: Body, slot: Slot) -> AsyncIterator[bytes]:
    try:
        async for content in body:
            yield content
    finally:
        slot.release()
