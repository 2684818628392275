"""Interface that the allowance service requires of the peer links."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from wagtailline.codec import Message

MessageHandler = Callable[[str, Message], Awaitable[Message | None]]
"""Handler that takes the sender's endpoint and a message.

It returns the reply, or None if the message has no reply.
"""


class PeerRequests(Protocol):
    """Messaging between daemons, which are addressed by endpoint."""

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Send a request and return the reply, None after the timeout."""

    async def post(self, endpoint: str, message: Message) -> None:
        """Send a message that has no reply and may be lost."""

    def register(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Call the handler for each received message of the type."""
