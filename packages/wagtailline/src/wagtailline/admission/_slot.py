"""Slot of the concurrency limit, held by one request."""

from collections.abc import Callable

from wagtailline.admission._outcomes import (
    Outcome,
)
from wagtailline.admission._types import (
    Ticket,
)


class Slot:
    """Permission to send one request to the upstream."""

    __slots__ = ('_give_back', 'answering', 'released', 'started', 'ticket')

    def __init__(
        self,
        ticket: Ticket,
        started: float,
        on_release: Callable[['Slot', Outcome], None],
    ) -> None:
        """Create a slot granted at the monotonic time ``started``.

        The first release calls ``on_release``.
        """
        self.ticket = ticket
        self.started = started
        self.answering = False
        self.released = False
        self._give_back = on_release

    def begin_answer(self) -> None:
        """Record that the first byte of the answer arrived.

        A long answer does not count as a stalled upstream.
        """
        self.answering = True

    def release(self, outcome: Outcome) -> None:
        """Release the slot; a second call has no effect."""
        if not self.released:
            self.released = True
            self._give_back(self, outcome)
