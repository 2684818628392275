"""A control connection to one peer, and the failures of requests to peers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, cast

from wagtailline.codec import Message
from wagtailline.membership import Member
from wagtailline.messages import PROTOCOL_VERSION, Hello
from wagtailline.ports import Channel, ChannelClosed


class PeerUnknown(NamedTuple):
    """The member table has no address for the endpoint."""

    endpoint: str


class PeerUnreachable(NamedTuple):
    """The connection could not be opened, or closed before the reply."""

    endpoint: str


class PeerTimedOut(NamedTuple):
    """The peer did not read or reply within the given number of seconds."""

    endpoint: str
    seconds: float


class HelloRefused(NamedTuple):
    """The peer sent no Hello, or one that does not match the connection."""

    endpoint: str
    problem: str


class LinksExhausted(NamedTuple):
    """The connection limit is reached and every connection awaits a reply."""

    limit: int


PeerFailure = (
    PeerUnknown | PeerUnreachable | PeerTimedOut | HelloRefused | LinksExhausted
)
PeerHandler = Callable[[Hello, Any], Awaitable[None]]
PeerResponder = Callable[[Hello, Any], Awaitable[Message | None]]
PurposeHandler = Callable[[Channel, Hello], Awaitable[None]]


class Link:
    """A control connection on which the peer has sent its Hello.

    ``dialled`` tells whether this process opened the connection.
    """

    def __init__(self, channel: Channel, peer: Hello, now: float) -> None:
        """Take ownership of a channel after the Hello messages."""
        self.peer = peer
        self.last_used = now
        self.closed = False
        self.dialled = False
        self._channel = channel
        self._pending: dict[int, asyncio.Future[Message]] = {}

    @property
    def is_waiting(self) -> bool:
        """Return whether a reply is outstanding."""
        return bool(self._pending)

    async def send(
        self, message: Message, timeout_seconds: float, now: float
    ) -> None:
        """Send a message; raise ChannelClosed or TimeoutError on failure."""
        self.last_used = now
        async with asyncio.timeout(timeout_seconds):
            await self._channel.send(message)

    async def receive(self) -> Message:
        """Return the next message; raise ChannelClosed if it is closed."""
        return await self._channel.receive()

    def expect_reply(self, request_id: int) -> 'asyncio.Future[Message]':
        """Return a future for the reply to the request with this ID."""
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        return future

    def discard_reply(self, request_id: int) -> None:
        """Discard the future of a reply that is no longer awaited."""
        self._pending.pop(request_id, None)

    def deliver_reply(self, message: Message) -> None:
        """Pass a reply to the request that awaits it, if there is one."""
        request_id = getattr(message, 'request_id', None)
        future = (
            self._pending.get(request_id) if request_id is not None else None
        )
        if future is not None and not future.done():
            future.set_result(message)

    def close(self) -> None:
        """Close the channel; outstanding requests raise ChannelClosed."""
        self.closed = True
        self._channel.close()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(ChannelClosed())
                # A request that has just timed out does not retrieve the
                # exception, and asyncio would log it.
                future.exception()


def check_hello(
    message: Message, dialled_endpoint: str | None, purposes: frozenset[str]
) -> HelloRefused | None:
    """Return why to refuse the first message of a connection, or None.

    ``dialled_endpoint`` is None for an accepted connection.
    """
    if not isinstance(message, Hello):
        return HelloRefused(
            dialled_endpoint or '', 'first message is not a Hello'
        )
    if message.protocol != PROTOCOL_VERSION:
        return HelloRefused(message.endpoint, f'protocol {message.protocol}')
    if dialled_endpoint is not None and message.endpoint != dialled_endpoint:
        return HelloRefused(
            dialled_endpoint, f'address now belongs to {message.endpoint}'
        )
    if message.purpose not in purposes:
        return HelloRefused(message.endpoint, f'purpose {message.purpose}')
    return None


def make_hello(member: Member, purpose: str) -> Hello:
    """Return the first message that a member sends on a connection."""
    return Hello(
        PROTOCOL_VERSION,
        member.vm,
        member.endpoint,
        member.data_centre,
        member.incarnation,
        purpose,
    )


def with_request_id(message: Message, request_id: int) -> Message:
    """Return a copy of a request or reply with its request ID set."""
    identified: Message = cast(Any, message)._replace(request_id=request_id)
    return identified
