"""What the service needs of the connections to peers."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from result import Result

from wagtailline.codec import Message
from wagtailline.messages import Hello

MessageHandler = Callable[[Any], Awaitable[Message | None]]


class PeerTransport(Protocol):
    """Requests and messages to endpoints; addresses come from the table."""

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, None when there is none in time."""

    async def post(self, endpoint: str, message: Message) -> None:
        """Send without a reply; a message that cannot be sent is lost."""

    def register(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Answer messages of a type with what the handler returns."""


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
        """Send what the responder returns as the reply to this type."""


class LinkPeers:
    """Peer requests over the control connections of the daemon."""

    def __init__(self, links: ControlLinks) -> None:
        """Use the links, which may serve other subsystems too."""
        self._links = links

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, None when there is none in time."""
        answered: Result[Message, Any] = await self._links.request(
            endpoint, message, tuple, timeout_seconds
        )
        return answered.ok()

    async def post(self, endpoint: str, message: Message) -> None:
        """Send without a reply; a message that cannot be sent is lost."""
        await self._links.send(endpoint, message)

    def register(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Answer messages of a type with what the handler returns."""

        async def respond(_peer: Hello, message: Message) -> Message | None:
            return await handler(message)

        self._links.on_request(message_type, respond)
