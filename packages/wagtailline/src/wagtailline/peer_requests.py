"""Request, reply and dispatch by message type, over the peer links.

Messages of the subsystems carry no request numbers of their own; they travel
as the content of the envelopes defined here.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Err, Ok

from wagtailline.codec import Codec, Message
from wagtailline.messages import Hello
from wagtailline.peers import PeerLinks


class RequestEnvelope(NamedTuple):
    """A message that expects a reply."""

    request_id: int
    content: bytes


class ReplyEnvelope(NamedTuple):
    """The reply to a request; empty when there is none."""

    request_id: int
    content: bytes


class PostEnvelope(NamedTuple):
    """A message without a reply."""

    content: bytes


ENVELOPE_KINDS: dict[int, type[Message]] = {
    1: RequestEnvelope,
    2: ReplyEnvelope,
    3: PostEnvelope,
}

RequestHandler = Callable[[str, Message], Awaitable[Message | None]]
"""Takes the sender's endpoint and a message; returns the reply, if any."""


class PeerRequests:
    """Exchanges typed messages with the daemons at other endpoints."""

    def __init__(self, links: PeerLinks, codec: Codec) -> None:
        """Use the links; the codec knows every message of the subsystems."""
        self._links = links
        self._codec = codec
        self._handlers: dict[type[Message], RequestHandler] = {}
        links.on_request(RequestEnvelope, self._answer)
        links.on_message(PostEnvelope, self._take)

    def register(
        self, message_type: type[Message], handler: RequestHandler
    ) -> None:
        """Run the handler for each message of the type that arrives."""
        self._handlers[message_type] = handler

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, None when there is none in time."""
        envelope = RequestEnvelope(0, self._codec.encode(message))
        replied = await self._links.request(
            endpoint, envelope, ReplyEnvelope, timeout_seconds
        )
        match replied:
            case Ok(ReplyEnvelope(content=content)) if content:
                return self._open(content)
            case _:
                return None

    async def post(self, endpoint: str, message: Message) -> None:
        """Send a message that has no reply; it may be lost."""
        envelope = PostEnvelope(self._codec.encode(message))
        await self._links.send(endpoint, envelope)

    async def _answer(self, peer: Hello, envelope: Message) -> Message | None:
        if not isinstance(envelope, RequestEnvelope):
            return None
        reply = await self._dispatch(peer, envelope.content)
        content = b'' if reply is None else self._codec.encode(reply)
        return ReplyEnvelope(envelope.request_id, content)

    async def _take(self, peer: Hello, envelope: Message) -> None:
        if isinstance(envelope, PostEnvelope):
            await self._dispatch(peer, envelope.content)

    async def _dispatch(self, peer: Hello, content: bytes) -> Message | None:
        message = self._open(content)
        handler = self._handlers.get(type(message)) if message else None
        if message is None or handler is None:
            return None
        return await handler(peer.endpoint, message)

    def _open(self, content: bytes) -> Message | None:
        match self._codec.decode(content):
            case Ok(message):
                return message
            case Err(_):
                return None
