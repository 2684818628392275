"""Call handler that runs the requests of all daemons at the local upstream."""

from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import (
    Answer,
    Body,
    CallRequest,
    Refusal,
    WholeBody,
)
from wagtailline_sidecar.answer_link import AnswerLink
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.gate import (
    MAX_NAMED_WAIT_SECONDS,
    Gate,
    Slot,
    Ticket,
)
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import find_header
from wagtailline_sidecar.local_upstream import LocalUpstream
from wagtailline_sidecar.rank_load import Rank
from wagtailline_sidecar.streamed_bodies import ObservedBody
from wagtailline_sidecar.upstream import Upstream
from wagtailline_sidecar.upstream_notices import parse_rate_limit

# Time reserved for sending the response back to the daemon that made the call.
RESPONSE_TRANSIT_SECONDS = 0.01
_MILLISECONDS_PER_SECOND = 1000
_SUCCESS_STATUSES = range(200, 300)
# Time for which a daemon avoids this gate after a refusal because the upstream
# is not available.
_UNAVAILABLE_RETRY_MS = 250
# A call without a response for this multiple of the longest time that an answer
# took lately has met an upstream without room.
_SILENCE_FACTOR = 2.0
# Outcomes by which upstreams show that they have no room.
_NO_ROOM_REASONS = frozenset(('upstream_shed', 'upstream_reset'))


class GateCallEnded(NamedTuple):
    """Event: a call at this gate has ended.

    ``in_progress`` and ``queued`` are the calls at the gate at that time,
    ``link_backlog_ms`` the time that the VM's link needs for their answers.
    ``rate_limit`` is the limit that the upstream names, if any.
    """

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
    link_backlog_ms: int
    rate_limit: str = ''


class GateService:
    """Call handler that admits calls, runs them and emits an event for each."""

    def __init__(
        self,
        gate: Gate,
        upstream: Upstream,
        local: LocalUpstream,
        link: AnswerLink,
        clock: BootClock,
        observe: Callable[[NamedTuple], None],
        names: HeaderNames,
    ) -> None:
        """Set up a handler that passes each event to ``observe``."""
        self._names = names
        self._link = link
        self._gate = gate
        self._upstream = upstream
        self._local = local
        self._clock = clock
        self._observe = observe

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run a call, or return a refusal that tells if it may have run."""
        arrived_at = self._clock.monotonic()
        known_limit = find_header(request.headers, self._names.known_rate_limit)
        if known_limit is not None:
            self._gate.rate_limit.adopt(
                request.instance, parse_rate_limit(known_limit)
            )
        reason = self._local.find_refusal_reason(request.instance)
        if reason:
            refusal = Refusal(reason, 'no', _UNAVAILABLE_RETRY_MS)
            self._emit_event(request, refusal, arrived_at, arrived_at)
            return Err(refusal)
        with self._link.reserve(request):
            return await self._admit(request, body, arrived_at)

    async def _admit(
        self, request: CallRequest, body: Body, arrived_at: float
    ) -> Result[Answer, Refusal]:
        timeout_seconds = (
            request.timeout_ms / _MILLISECONDS_PER_SECOND
            - RESPONSE_TRANSIT_SECONDS
        )
        target_seconds = (
            request.target_ms / _MILLISECONDS_PER_SECOND or timeout_seconds
        )
        ticket = Ticket(
            request.route,
            request.priority,
            arrived_at + timeout_seconds,
            arrived_at + min(target_seconds, timeout_seconds),
            is_nested=request.depth > 0,
            transfer_seconds=self._link.expected_seconds(request),
        )
        admitted = await self._gate.admit(ticket)
        match admitted:
            case Ok(slot):
                return await self._run(request, body, slot, arrived_at)
            case Err(refusal):
                self._emit_event(
                    request, refusal, arrived_at, self._clock.monotonic()
                )
        return admitted

    async def _run(
        self, request: CallRequest, body: Body, slot: Slot, arrived_at: float
    ) -> Result[Answer, Refusal]:
        remaining_seconds = (
            arrived_at
            + request.timeout_ms / _MILLISECONDS_PER_SECOND
            - slot.started_at
        )
        try:
            outcome = await self._upstream.run(request, body, remaining_seconds)
        except BaseException:
            self._report_silence(request, slot)
            slot.release()
            cancelled = Refusal('cancelled', 'unknown')
            self._emit_event(request, cancelled, arrived_at, slot.started_at)
            raise
        match outcome:
            case Ok(answer):
                slot.report(is_refused=False)
                result = self._complete(request, answer, slot)
                self._emit_event(request, answer, arrived_at, slot.started_at)
                return result
            case Err(refusal):
                slot.report(is_refused=refusal.reason in _NO_ROOM_REASONS)
                slot.release()
                self._emit_event(request, refusal, arrived_at, slot.started_at)
        return outcome

    def _report_silence(self, request: CallRequest, slot: Slot) -> None:
        """Report a call that ended without a response as refused.

        It counts only if it lasted for much longer than any answered one did
        lately: an overloaded upstream is slow to answer, but it does. Others
        never respond to what they have no room for.
        """
        took_seconds = self._clock.monotonic() - slot.started_at
        longest_seconds = self._gate.longest_seconds(request.route)
        if took_seconds > _SILENCE_FACTOR * longest_seconds:
            slot.report(is_refused=True)

    def _complete(
        self, request: CallRequest, answer: Answer, slot: Slot
    ) -> Result[Answer, Refusal]:
        wait_seconds = max(
            self._gate.predict_load(Rank(request.depth == 0, request.priority)),
            self._link.expected_seconds(request)
            - self._gate.estimate_seconds(request.route),
        )
        wait_seconds = min(max(wait_seconds, 0), MAX_NAMED_WAIT_SECONDS)
        if isinstance(answer.body, WholeBody):
            self._link.record_size(request, len(answer.body.content))
            slot.release(is_typical=answer.status in _SUCCESS_STATUSES)
            return Ok(answer._replace(load=wait_seconds))

        def release(size_bytes: int) -> None:
            self._link.record_size(request, size_bytes)
            slot.release()

        body = ObservedBody(answer.body, release)
        return Ok(answer._replace(load=wait_seconds, body=body))

    def _emit_event(
        self,
        request: CallRequest,
        outcome: Answer | Refusal,
        arrived_at: float,
        started_at: float,
    ) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Answer():
                outcome_name, executed = str(outcome.status), 'yes'
            case Refusal():
                outcome_name, executed = outcome.reason, outcome.executed
        self._observe(
            GateCallEnded(
                request=request.request_id,
                sender=request.sender,
                instance=request.instance,
                outcome=outcome_name,
                executed=executed,
                waited_ms=int(
                    (started_at - arrived_at) * _MILLISECONDS_PER_SECOND
                ),
                took_ms=int((now - started_at) * _MILLISECONDS_PER_SECOND),
                in_progress=self._gate.in_progress,
                queued=self._gate.queued,
                warm_up=self._gate.describe_warm_up(),
                link_backlog_ms=int(
                    self._link.backlog_seconds * _MILLISECONDS_PER_SECOND
                ),
                rate_limit=self._gate.rate_limit.describe(),
            )
        )
