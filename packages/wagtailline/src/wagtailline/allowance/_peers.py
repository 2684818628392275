"""What the allowance needs of the links to other daemons."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from wagtailline.codec import Message

MessageHandler = Callable[[str, Message], Awaitable[Message | None]]
"""Takes the sender's endpoint and a message; returns the reply, if any."""


class PeerRequests(Protocol):
    """Request, reply and dispatch between the daemons by endpoint."""

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, None when there is none in time."""

    async def post(self, endpoint: str, message: Message) -> None:
        """Send a message that has no reply; it may be lost."""

    def register(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Run the handler for each message of the type that arrives."""
