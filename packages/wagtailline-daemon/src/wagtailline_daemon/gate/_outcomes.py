"""Conversion between the results of calls and the outcomes for the gate."""

from wagtailline.admission import (
    Answered,
    Cancelled,
    ConnectionRefused,
    DeadlinePassed,
    Draining,
    GateRefusal,
    Outcome,
    QueueFull,
    RefusedByUpstream,
    ResetBeforeFirstByte,
    ResetDuringAnswer,
    Slot,
    SuspectBlocked,
    TimedOut,
    Unused,
    UpstreamDown,
    WaitTooLong,
)
from wagtailline.calls import Answer, Body, BodyTruncated, Refusal, WholeBody

_MILLISECONDS_PER_SECOND = 1000
_LOAD_SHED_STATUS = 503


def convert_gate_refusal(refusal: GateRefusal) -> Refusal:
    """Return the refusal of a call that the gate did not admit."""
    retry_after_ms = int(refusal.retry_after * _MILLISECONDS_PER_SECOND)
    return Refusal(_refusal_reason(refusal), 'no', retry_after_ms)


def outcome_of_refusal(refusal: Refusal | None) -> Outcome:
    """Return the outcome of a failed call; None means that it was cancelled."""
    match refusal:
        case None | Refusal(reason='body_truncated'):
            return Cancelled()
        case Refusal(reason='upstream_unreachable'):
            return ConnectionRefused()
        case Refusal(reason='deadline', executed='unknown'):
            return TimedOut()
        case Refusal(executed='no'):
            return Unused()
        case Refusal(reason='upstream_reset'):
            return ResetBeforeFirstByte()
    return ResetDuringAnswer()


def observe_answer(slot: Slot, answer: Answer, latency: float) -> Answer:
    """Return the answer with a body that releases the slot at its end."""
    outcome = _outcome_of_answer(answer, latency)
    if isinstance(answer.body, WholeBody):
        slot.release(outcome)
        return answer
    slot.begin_answer()
    return answer._replace(body=_ObservedBody(slot, answer.body, outcome))


class _ObservedBody:
    """Body that releases its slot with the outcome of the call."""

    def __init__(self, slot: Slot, body: Body, outcome: Outcome) -> None:
        self._slot = slot
        self._body = body
        self._outcome = outcome

    def __aiter__(self) -> '_ObservedBody':
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._body)
        except StopAsyncIteration:
            self._slot.release(self._outcome)
            raise
        except BodyTruncated:
            self._slot.release(ResetDuringAnswer())
            raise

    async def aclose(self) -> None:
        """Release the slot of an answer that is not read to its end."""
        self._slot.release(Cancelled())
        close = getattr(self._body, 'aclose', None)
        if close is not None:
            await close()


def _outcome_of_answer(answer: Answer, latency: float) -> Outcome:
    if answer.status == _LOAD_SHED_STATUS:
        return RefusedByUpstream()
    return Answered(latency, answer.status)


def _refusal_reason(refusal: GateRefusal) -> str:
    match refusal:
        case Draining():
            return 'draining'
        case QueueFull():
            return 'queue_full'
        case WaitTooLong():
            return 'wait_too_long'
        case DeadlinePassed():
            return 'deadline'
        case UpstreamDown():
            return 'upstream_down'
        case SuspectBlocked():
            return 'crash_suspect'
