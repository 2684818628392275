"""Memory of an upstream that sends responses more than once."""

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.answer_events import (
    AnswerObserver,
    AnswerRejected,
    RejectionReason,
    StutterEnded,
    StutterStarted,
    ignore_event,
)

# Time after a sighting for which more of them are expected.
STUTTER_SECONDS = 5.0


class StutterMemory:
    """Whether an upstream has lately sent bytes that belong to no request.

    The end is noticed when the state is read after it.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        """Set up for an upstream that has sent none."""
        self._clock = clock
        self._ends_at: float | None = None
        self.observe: AnswerObserver = ignore_event

    @property
    def is_active(self) -> bool:
        """Return whether copies of responses are to be expected."""
        if self._ends_at is None:
            return False
        if self._clock.monotonic() < self._ends_at:
            return True
        self._ends_at = None
        self.observe(StutterEnded())
        return False

    def record(self, event: AnswerRejected) -> None:
        """Pass on an event about rejected bytes, and remember it."""
        self.observe(event)
        if not _tells_of_copies(event):
            return
        if not self.is_active:
            self.observe(StutterStarted(event.reason))
        self._ends_at = self._clock.monotonic() + STUTTER_SECONDS


def _tells_of_copies(event: AnswerRejected) -> bool:
    """Return whether rejected bytes let expect copies that do harm.

    Whole copies that name their request do none, and garbage as the first
    response of a connection is no copy of an earlier one.
    """
    match event.reason:
        case RejectionReason.OTHER_REQUEST:
            return False
        case RejectionReason.MALFORMED:
            return event.exchanges > 1
    return True
