"""Control connections to peers, opened on demand and shared by subsystems.

Subsystems register handlers by message type. A message that has a field
``request_id`` may be sent as a request; its reply carries the same ID.
A handler runs in the task that reads its connection, so it must not await a
request to the same peer. Longer work belongs in a separate task.
"""

import asyncio
from itertools import count
from typing import Any, NamedTuple, TypeVar, cast

from result import Err, Ok, Result

from wagtailline._dialer import Dialer
from wagtailline._link import (
    HelloRefused,
    Link,
    LinksExhausted,
    PeerFailure,
    PeerHandler,
    PeerResponder,
    PeerTimedOut,
    PeerUnknown,
    PeerUnreachable,
    PurposeHandler,
    check_hello,
    make_hello,
    with_request_id,
)
from wagtailline._registry import LinkRegistry
from wagtailline.codec import Message
from wagtailline.membership import Member, MemberTable
from wagtailline.messages import PURPOSE_CONTROL, Hello
from wagtailline.ports import (
    Channel,
    ChannelClosed,
    Clock,
    Listener,
    Transport,
)

__all__ = (
    'HelloRefused',
    'LinkSettings',
    'LinksExhausted',
    'PeerFailure',
    'PeerLinks',
    'PeerTimedOut',
    'PeerUnknown',
    'PeerUnreachable',
    'make_hello',
)

_Reply = TypeVar('_Reply')


class LinkSettings(NamedTuple):
    """Limits and timeouts of the control connections.

    A daemon sends to one random peer per second and to a few neighbours in
    the distribution tree, so an idle timeout of 10 s keeps about 30
    connections open.
    """

    max_links: int = 128
    idle_timeout_seconds: float = 10
    handshake_timeout_seconds: float = 1
    send_timeout_seconds: float = 1


class PeerLinks:
    """Control connections to all peers, with handlers by message type.

    ``hellos_refused`` counts the accepted connections that were closed
    because their first message was not a Hello, or was one with another
    protocol version or an unknown purpose.
    """

    def __init__(
        self,
        member: Member,
        table: MemberTable,
        transport: Transport,
        clock: Clock,
        settings: LinkSettings | None = None,
    ) -> None:
        """Take the local member, and the table with the addresses of peers."""
        self.member = member
        self.table = table
        self._settings = settings or LinkSettings()
        self._transport = transport
        self._dialer = Dialer(
            member, table, transport, self._settings.handshake_timeout_seconds
        )
        self._clock = clock
        self._handlers: dict[type[Message], PeerHandler] = {}
        self._responders: dict[type[Message], PeerResponder] = {}
        self._purposes: dict[str, PurposeHandler] = {}
        self._registry = LinkRegistry(clock, self._settings.max_links)
        self._dials: dict[str, asyncio.Task[Result[Link, PeerFailure]]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._listener: Listener | None = None
        self._request_ids = count(1)
        self.hellos_refused = 0

    async def start(self) -> None:
        """Start to accept connections at the address of the local member."""
        self._listener = await self._transport.serve(
            self.member.address, self.accept
        )
        self._spawn(self._close_idle_links())

    async def stop(self) -> None:
        """Close the listener and all connections, and cancel all tasks."""
        if self._listener is not None:
            await self._listener.close()
        self._registry.drop_all()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_message(self, kind: type[Message], handler: PeerHandler) -> None:
        """Register the handler for messages of a type that have no reply."""
        self._handlers[kind] = handler

    def on_request(self, kind: type[Message], responder: PeerResponder) -> None:
        """Register the handler that returns the replies to a message type.

        The handler need not set the ``request_id`` of the reply. If it
        returns None, no reply is sent.
        """
        self._responders[kind] = responder

    def serve_purpose(self, purpose: str, handler: PurposeHandler) -> None:
        """Register the handler for accepted connections of another purpose.

        The handler is called after the Hello of the peer was received, and
        has to send the Hello of this side.
        """
        self._purposes[purpose] = handler

    def connected_peers(self) -> tuple[Hello, ...]:
        """Return the Hello of each peer with an open control connection."""
        return self._registry.peers()

    async def send(
        self, endpoint: str, message: Message
    ) -> Result[None, PeerFailure]:
        """Send a message; Ok means that it was written, not received."""
        match await self._get_link(endpoint):
            case Ok(link):
                return await self._send_on_link(link, message)
            case Err(failure):
                return Err(failure)

    async def request(
        self,
        endpoint: str,
        message: Message,
        reply: type[_Reply],
        seconds: float,
    ) -> Result[_Reply, PeerFailure]:
        """Send a message and return its reply of the given type.

        ``seconds`` is the timeout for connecting, sending and the reply.
        """
        try:
            async with asyncio.timeout(seconds):
                answered = await self._exchange(endpoint, message)
        except TimeoutError:
            return Err(PeerTimedOut(endpoint, seconds))
        match answered:
            case Ok(received) if isinstance(received, reply):
                return Ok(received)
            case Err(failure):
                return Err(failure)
        return Err(PeerUnreachable(endpoint))

    async def accept(self, channel: Channel) -> None:
        """Serve an accepted channel until it is closed."""
        purposes = frozenset((PURPOSE_CONTROL, *self._purposes))
        try:
            async with asyncio.timeout(
                self._settings.handshake_timeout_seconds
            ):
                opening = await channel.receive()
        except TimeoutError:
            return
        if check_hello(opening, None, purposes) is not None:
            self.hellos_refused += 1
            return
        peer = cast(Hello, opening)
        if peer.purpose != PURPOSE_CONTROL:
            await self._purposes[peer.purpose](channel, peer)
            return
        await channel.send(make_hello(self.member, peer.purpose))
        if self._registry.make_room():
            await self._serve_link(
                self._registry.add(channel, peer, dialled=False)
            )

    async def _exchange(
        self, endpoint: str, message: Message
    ) -> Result[Message, PeerFailure]:
        found = await self._get_link(endpoint)
        if isinstance(found, Err):
            return found
        link = found.ok_value
        request_id = next(self._request_ids)
        future = link.expect_reply(request_id)
        try:
            written = await self._send_on_link(
                link, with_request_id(message, request_id)
            )
            if isinstance(written, Err):
                return written
            return Ok(await future)
        except ChannelClosed:
            return Err(PeerUnreachable(endpoint))
        finally:
            link.discard_reply(request_id)

    async def _send_on_link(
        self, link: Link, message: Message
    ) -> Result[None, PeerFailure]:
        timeout_seconds = self._settings.send_timeout_seconds
        try:
            await link.send(message, timeout_seconds, self._clock.monotonic())
        except TimeoutError:
            self._registry.drop(link)
            return Err(PeerTimedOut(link.peer.endpoint, timeout_seconds))
        except ChannelClosed:
            self._registry.drop(link)
            return Err(PeerUnreachable(link.peer.endpoint))
        return Ok(None)

    async def _get_link(self, endpoint: str) -> Result[Link, PeerFailure]:
        link = self._registry.find(endpoint)
        if link is not None and not link.closed:
            return Ok(link)
        dial = self._dials.get(endpoint)
        if dial is None:
            dial = self._spawn(self._dial(endpoint))
            self._dials[endpoint] = dial
            dial.add_done_callback(
                lambda _done: self._dials.pop(endpoint, None)
            )
        return await asyncio.shield(dial)

    async def _dial(self, endpoint: str) -> Result[Link, PeerFailure]:
        if not self._registry.make_room():
            return Err(LinksExhausted(self._settings.max_links))
        match await self._dialer.dial(endpoint):
            case Ok((channel, peer)):
                link = self._registry.add(channel, peer, dialled=True)
                self._spawn(self._serve_link(link))
                return Ok(link)
            case Err(failure):
                return Err(failure)

    async def _serve_link(self, link: Link) -> None:
        try:
            while not link.closed:
                await self._dispatch(link, await link.receive())
        except ChannelClosed:
            return
        finally:
            self._registry.drop(link)

    async def _dispatch(self, link: Link, message: Message) -> None:
        link.last_used = self._clock.monotonic()
        message_type = type(message)
        if message_type in self._responders:
            reply = await self._responders[message_type](link.peer, message)
            if reply is not None:
                request_id = cast(Any, message).request_id
                await self._send_on_link(
                    link, with_request_id(reply, request_id)
                )
        elif message_type in self._handlers:
            await self._handlers[message_type](link.peer, message)
        else:
            link.deliver_reply(message)

    async def _close_idle_links(self) -> None:
        timeout_seconds = self._settings.idle_timeout_seconds
        while True:
            await self._clock.sleep(timeout_seconds / 2)
            self._registry.drop_idle(timeout_seconds)

    def _spawn(self, coroutine: Any) -> Any:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
