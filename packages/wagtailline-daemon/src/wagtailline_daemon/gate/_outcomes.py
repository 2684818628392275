"""Translates between calls and the outcomes that the gate learns from."""

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
    ResetLater,
    Slot,
    SuspectBlocked,
    TimedOut,
    Unused,
    UpstreamDown,
    WaitTooLong,
)
from wagtailline.calls import Answer, Body, BodyTruncated, Refusal, WholeBody

_MILLISECONDS = 1000
_UPSTREAM_SHED = 503


def refuse_admission(refusal: GateRefusal) -> Refusal:
    """Return the refusal of a call that the gate did not admit."""
    retry_after_ms = int(refusal.retry_after * _MILLISECONDS)
    return Refusal(_reason_of(refusal), 'no', retry_after_ms)


def outcome_of_refusal(refusal: Refusal | None) -> Outcome:
    """Return what a failed call shows; None means that it was cancelled."""
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
    return ResetLater()


def observe_answer(slot: Slot, answer: Answer, latency: float) -> Answer:
    """Return the answer with a body that releases the slot at its end."""
    answered = _answered(answer, latency)
    if isinstance(answer.body, WholeBody):
        slot.release(answered)
        return answer
    slot.begin_answer()
    return answer._replace(body=_ObservedBody(slot, answer.body, answered))


class _ObservedBody:
    """Body that tells the gate how it ended."""

    def __init__(self, slot: Slot, body: Body, answered: Outcome) -> None:
        self._slot = slot
        self._body = body
        self._answered = answered

    def __aiter__(self) -> '_ObservedBody':
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._body)
        except StopAsyncIteration:
            self._slot.release(self._answered)
            raise
        except BodyTruncated:
            self._slot.release(ResetLater())
            raise

    async def aclose(self) -> None:
        """Release the slot of an answer that nobody reads to its end."""
        self._slot.release(Cancelled())
        close = getattr(self._body, 'aclose', None)
        if close is not None:
            await close()


def _answered(answer: Answer, latency: float) -> Outcome:
    if answer.status == _UPSTREAM_SHED:
        return RefusedByUpstream()
    return Answered(latency, answer.status)


def _reason_of(refusal: GateRefusal) -> str:
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
