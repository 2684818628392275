"""Requests, replies and one-way messages between the daemons.

The messages of the subsystems have no request IDs. They are sent as the
content of the envelopes defined here, and dispatched by message type.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Err, Ok

from wagtailline.codec import Codec, Message
from wagtailline.messages import Hello
from wagtailline.peers import PeerLinks


class RequestEnvelope(NamedTuple):
    """Envelope of a message that expects a reply."""

    request_id: int
    content: bytes


class ReplyEnvelope(NamedTuple):
    """Envelope of a reply; its content is empty if there is no reply."""

    request_id: int
    content: bytes


class PostEnvelope(NamedTuple):
    """Envelope of a one-way message."""

    content: bytes


ENVELOPE_KINDS: dict[int, type[Message]] = {
    1: RequestEnvelope,
    2: ReplyEnvelope,
    3: PostEnvelope,
}

RequestHandler = Callable[[str, Message], Awaitable[Message | None]]
"""Handles a message from an endpoint; returns the reply or None."""


class PeerRequests:
    """Client and dispatcher for messages between daemons, by endpoint."""

    def __init__(self, links: PeerLinks, codec: Codec) -> None:
        """Take the links, and a codec for all messages of the subsystems."""
        self._links = links
        self._codec = codec
        self._handlers: dict[type[Message], RequestHandler] = {}
        links.on_request(RequestEnvelope, self._handle_request)
        links.on_message(PostEnvelope, self._handle_post)

    def register(
        self, message_type: type[Message], handler: RequestHandler
    ) -> None:
        """Register the handler for received messages of a type."""
        self._handlers[message_type] = handler

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Send a message and return the reply.

        Return None if the request fails, times out or has no reply.
        """
        envelope = RequestEnvelope(0, self._codec.encode(message))
        outcome = await self._links.request(
            endpoint, envelope, ReplyEnvelope, timeout_seconds
        )
        match outcome:
            case Ok(ReplyEnvelope(content=content)) if content:
                return self._decode(content)
            case _:
                return None

    async def post(self, endpoint: str, message: Message) -> None:
        """Send a one-way message; a failure to send it is ignored."""
        envelope = PostEnvelope(self._codec.encode(message))
        await self._links.send(endpoint, envelope)

    async def _handle_request(
        self, peer: Hello, envelope: Message
    ) -> Message | None:
        if not isinstance(envelope, RequestEnvelope):
            return None
        reply = await self._dispatch(peer, envelope.content)
        content = b'' if reply is None else self._codec.encode(reply)
        return ReplyEnvelope(envelope.request_id, content)

    async def _handle_post(self, peer: Hello, envelope: Message) -> None:
        if isinstance(envelope, PostEnvelope):
            await self._dispatch(peer, envelope.content)

    async def _dispatch(self, peer: Hello, content: bytes) -> Message | None:
        message = self._decode(content)
        handler = self._handlers.get(type(message)) if message else None
        if message is None or handler is None:
            return None
        return await handler(peer.endpoint, message)

    def _decode(self, content: bytes) -> Message | None:
        match self._codec.decode(content):
            case Ok(message):
                return message
            case Err(_):
                return None
