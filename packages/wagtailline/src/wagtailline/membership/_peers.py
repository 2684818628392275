"""Messaging between members, over the control connections."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from result import Result

from wagtailline.codec import Message
from wagtailline.messages import Hello

MessageHandler = Callable[[Any], Awaitable[Message | None]]


class PeerTransport(Protocol):
    """Messages to endpoints; addresses come from the member table."""

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, or None if none arrives in time."""

    async def post(self, endpoint: str, message: Message) -> None:
        """Send without waiting for a reply; a failure loses the message."""

    def register(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Call the handler for messages of a type; it returns the reply."""


class ControlLinks(Protocol):
    """The part of ``wagtailline.peers.PeerLinks`` that is used here."""

    async def send(self, endpoint: str, message: Message) -> Result[None, Any]:
        """Send one message."""

    async def request(
        self, endpoint: str, message: Message, reply: type[Any], seconds: float
    ) -> Result[Any, Any]:
        """Send a message and wait for its reply."""

    def on_request(
        self,
        kind: type[Message],
        responder: Callable[[Hello, Any], Awaitable[Message | None]],
    ) -> None:
        """Call the responder for messages of a type; it returns the reply."""


class LinkPeers:
    """Peer transport over the control connections of the daemon."""

    def __init__(self, links: ControlLinks) -> None:
        """Use links that other subsystems may share."""
        self._links = links

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, or None if none arrives in time."""
        answered: Result[Message, Any] = await self._links.request(
            endpoint, message, tuple, timeout_seconds
        )
        return answered.ok()

    async def post(self, endpoint: str, message: Message) -> None:
        """Send without waiting for a reply; a failure loses the message."""
        await self._links.send(endpoint, message)

    def register(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Call the handler for messages of a type; it returns the reply."""

        async def respond(_peer: Hello, message: Message) -> Message | None:
            return await handler(message)

        self._links.on_request(message_type, respond)
