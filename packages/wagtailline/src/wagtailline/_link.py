"""One control connection to one peer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, cast

from wagtailline.codec import Message
from wagtailline.membership import Member
from wagtailline.messages import PROTOCOL_VERSION, Hello
from wagtailline.ports import Channel, ChannelClosed


class PeerUnknown(NamedTuple):
    """The member table has no address for this endpoint."""

    endpoint: str


class PeerUnreachable(NamedTuple):
    """No connection could be made, or it closed before the reply."""

    endpoint: str


class PeerTimedOut(NamedTuple):
    """The peer neither read nor answered within the time in seconds."""

    endpoint: str
    seconds: float


class HelloRefused(NamedTuple):
    """The other side is not the expected process or protocol."""

    endpoint: str
    problem: str


class LinksExhausted(NamedTuple):
    """Every permitted connection is waiting for a reply."""

    limit: int


PeerFailure = (
    PeerUnknown | PeerUnreachable | PeerTimedOut | HelloRefused | LinksExhausted
)
PeerHandler = Callable[[Hello, Any], Awaitable[None]]
PeerResponder = Callable[[Hello, Any], Awaitable[Message | None]]
PurposeHandler = Callable[[Channel, Hello], Awaitable[None]]


class Link:
    """An open channel whose peer has introduced itself."""

    def __init__(self, channel: Channel, peer: Hello, now: float) -> None:
        """Take over the channel after the exchange of Hello."""
        self.peer = peer
        self.last_used = now
        self.closed = False
        self.dialled = False
        self._channel = channel
        self._pending: dict[int, asyncio.Future[Message]] = {}

    @property
    def is_waiting(self) -> bool:
        """Tell whether a reply is outstanding."""
        return bool(self._pending)

    async def send(self, message: Message, seconds: float, now: float) -> None:
        """Send in the given time; raise ChannelClosed or TimeoutError."""
        self.last_used = now
        async with asyncio.timeout(seconds):
            await self._channel.send(message)

    async def receive(self) -> Message:
        """Return the next message; raise ChannelClosed at the end."""
        return await self._channel.receive()

    def expect(self, request_id: int) -> 'asyncio.Future[Message]':
        """Return a future for the reply with this number."""
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        return future

    def forget(self, request_id: int) -> None:
        """Drop the future of a reply that is no longer awaited."""
        self._pending.pop(request_id, None)

    def resolve(self, message: Message) -> None:
        """Hand a reply to the request that waits for it, if any."""
        number = getattr(message, 'request_id', None)
        future = self._pending.get(number) if number is not None else None
        if future is not None and not future.done():
            future.set_result(message)

    def close(self) -> None:
        """End the channel; outstanding requests raise ChannelClosed."""
        self.closed = True
        self._channel.close()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(ChannelClosed())
                # A request that has just timed out no longer reads it.
                future.exception()


def find_hello_fault(
    message: Message, endpoint: str | None, purposes: frozenset[str]
) -> HelloRefused | None:
    """Return what is wrong with the first message of a connection.

    ``endpoint`` is the peer that was dialled, None for an accepted channel.
    """
    if not isinstance(message, Hello):
        return HelloRefused(endpoint or '', 'first message is not a Hello')
    if message.protocol != PROTOCOL_VERSION:
        return HelloRefused(message.endpoint, f'protocol {message.protocol}')
    if endpoint is not None and message.endpoint != endpoint:
        return HelloRefused(endpoint, f'is now {message.endpoint}')
    if message.purpose not in purposes:
        return HelloRefused(message.endpoint, f'purpose {message.purpose}')
    return None


def make_hello(member: Member, purpose: str) -> Hello:
    """Return the introduction of a member."""
    return Hello(
        PROTOCOL_VERSION,
        member.vm,
        member.endpoint,
        member.data_centre,
        member.incarnation,
        purpose,
    )


def number_message(message: Message, number: int) -> Message:
    """Return a request or reply with its number filled in."""
    numbered: Message = cast(Any, message)._replace(request_id=number)
    return numbered
