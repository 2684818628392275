"""State of one call at its sender."""

import asyncio
from collections.abc import Callable

from result import Result

from wagtailline.calls._bodies import IncomingBody, SendWindow
from wagtailline.calls._types import Answer, Refusal


class SentCall:
    """State that the sender keeps of a call until its answer has ended."""

    def __init__(self, make_answer_body: Callable[[], IncomingBody]) -> None:
        """Take the factory of the answer's body, used on first access."""
        self.outcome: asyncio.Future[Result[Answer, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        self._make_answer_body = make_answer_body
        self._answer_body: IncomingBody | None = None
        self.send_window = SendWindow()
        self.send_task: asyncio.Task[None] | None = None

    @property
    def answer_body(self) -> IncomingBody:
        """Return the answer's body, made on first access.

        Most answers arrive whole in one message and need none.
        """
        if self._answer_body is None:
            self._answer_body = self._make_answer_body()
        return self._answer_body

    def settle(self, outcome: Result[Answer, Refusal]) -> None:
        """Set the outcome; a second outcome changes nothing."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def stop_sending(self) -> None:
        """Cancel the task that sends the request body, if there is one."""
        if self.send_task is not None:
            self.send_task.cancel()
