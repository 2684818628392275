"""State of one call at its sender."""

import asyncio
from collections.abc import Callable

from result import Result

from wagtailline.calls._bodies import IncomingBody, SendWindow
from wagtailline.calls._types import Answer, Refusal


class SentCall:
    """What the sender keeps of a call until its answer has ended."""

    def __init__(self, make_body: Callable[[], IncomingBody]) -> None:
        """Make the body when a part of it arrives."""
        self.head: asyncio.Future[Result[Answer, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        self._make_body = make_body
        self._body: IncomingBody | None = None
        self.window = SendWindow()
        self.sender: asyncio.Task[None] | None = None

    @property
    def answer(self) -> IncomingBody:
        """Return the body; most answers come whole and need none."""
        if self._body is None:
            self._body = self._make_body()
        return self._body

    def settle(self, outcome: Result[Answer, Refusal]) -> None:
        """Give the outcome; a second one changes nothing."""
        if not self.head.done():
            self.head.set_result(outcome)

    def stop_sending(self) -> None:
        """Send no more of the body."""
        if self.sender is not None:
            self.sender.cancel()
