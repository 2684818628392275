"""Control connections to peers, dialled on demand and shared.

Subsystems register handlers by message type. A message that has a field
``request_id`` may be sent as a request; the reply carries the same number.
A handler runs in the task of its connection, so it must not await a request
to the same peer; longer work belongs in a task of its service.
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
    find_hello_fault,
    make_hello,
    number_message,
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
)

_Reply = TypeVar('_Reply')


class LinkSettings(NamedTuple):
    """Bounds of the control connections; times in seconds.

    A daemon talks to one random peer a second and to a few tree neighbours,
    so an idle time of 10 s keeps about 30 connections open.
    """

    max_links: int = 128
    idle_seconds: float = 10
    handshake_seconds: float = 1
    send_seconds: float = 1


class PeerLinks:
    """One control connection for each peer, with handlers by type.

    ``hellos_refused`` counts accepted connections of another protocol
    version or purpose; each of them was closed.
    """

    def __init__(
        self,
        member: Member,
        table: MemberTable,
        transport: Transport,
        clock: Clock,
        settings: LinkSettings | None = None,
    ) -> None:
        """Speak for a member; addresses of peers come from the table."""
        self.member = member
        self.table = table
        self._settings = settings or LinkSettings()
        self._transport = transport
        self._dialer = Dialer(
            member, table, transport, self._settings.handshake_seconds
        )
        self._clock = clock
        self._handlers: dict[type[Message], PeerHandler] = {}
        self._responders: dict[type[Message], PeerResponder] = {}
        self._purposes: dict[str, PurposeHandler] = {}
        self._registry = LinkRegistry(clock, self._settings.max_links)
        self._dials: dict[str, asyncio.Task[Result[Link, PeerFailure]]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._listener: Listener | None = None
        self._numbers = count(1)
        self.hellos_refused = 0

    async def start(self) -> None:
        """Accept connections at the member's address."""
        self._listener = await self._transport.serve(
            self.member.address, self.accept
        )
        self._run(self._close_idle())

    async def stop(self) -> None:
        """End the listener, every connection and every task."""
        if self._listener is not None:
            await self._listener.close()
        self._registry.drop_all()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_message(self, kind: type[Message], handler: PeerHandler) -> None:
        """Run the handler for each message of this type."""
        self._handlers[kind] = handler

    def on_request(self, kind: type[Message], responder: PeerResponder) -> None:
        """Send what the responder returns as the reply to this type.

        The reply's ``request_id`` is set here; None sends no reply.
        """
        self._responders[kind] = responder

    def serve_purpose(self, purpose: str, handler: PurposeHandler) -> None:
        """Give accepted connections of another purpose to a handler.

        The handler gets the channel after the peer's Hello was read, and
        answers with its own.
        """
        self._purposes[purpose] = handler

    def connected(self) -> tuple[Hello, ...]:
        """Return the peers with an open control connection."""
        return self._registry.peers()

    async def send(
        self, endpoint: str, message: Message
    ) -> Result[None, PeerFailure]:
        """Send one message; Ok means only that it was written."""
        match await self._find_link(endpoint):
            case Ok(link):
                return await self._write(link, message)
            case Err(failure):
                return Err(failure)

    async def request(
        self,
        endpoint: str,
        message: Message,
        reply: type[_Reply],
        seconds: float,
    ) -> Result[_Reply, PeerFailure]:
        """Send a message and wait the given time for its reply."""
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
        """Serve an accepted channel until it ends."""
        purposes = frozenset((PURPOSE_CONTROL, *self._purposes))
        try:
            async with asyncio.timeout(self._settings.handshake_seconds):
                first = await channel.receive()
        except TimeoutError:
            return
        if find_hello_fault(first, None, purposes) is not None:
            self.hellos_refused += 1
            return
        peer = cast(Hello, first)
        if peer.purpose != PURPOSE_CONTROL:
            await self._purposes[peer.purpose](channel, peer)
            return
        await channel.send(make_hello(self.member, peer.purpose))
        if self._registry.make_room():
            await self._serve(self._registry.add(channel, peer, dialled=False))

    async def _exchange(
        self, endpoint: str, message: Message
    ) -> Result[Message, PeerFailure]:
        found = await self._find_link(endpoint)
        if isinstance(found, Err):
            return found
        link = found.ok_value
        number = next(self._numbers)
        future = link.expect(number)
        try:
            written = await self._write(link, number_message(message, number))
            if isinstance(written, Err):
                return written
            return Ok(await future)
        except ChannelClosed:
            return Err(PeerUnreachable(endpoint))
        finally:
            link.forget(number)

    async def _write(
        self, link: Link, message: Message
    ) -> Result[None, PeerFailure]:
        seconds = self._settings.send_seconds
        try:
            await link.send(message, seconds, self._clock.monotonic())
        except TimeoutError:
            self._registry.drop(link)
            return Err(PeerTimedOut(link.peer.endpoint, seconds))
        except ChannelClosed:
            self._registry.drop(link)
            return Err(PeerUnreachable(link.peer.endpoint))
        return Ok(None)

    async def _find_link(self, endpoint: str) -> Result[Link, PeerFailure]:
        link = self._registry.find(endpoint)
        if link is not None and not link.closed:
            return Ok(link)
        dial = self._dials.get(endpoint)
        if dial is None:
            dial = self._run(self._dial(endpoint))
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
                self._run(self._serve(link))
                return Ok(link)
            case Err(failure):
                return Err(failure)

    async def _serve(self, link: Link) -> None:
        try:
            while not link.closed:
                await self._dispatch(link, await link.receive())
        except ChannelClosed:
            return
        finally:
            self._registry.drop(link)

    async def _dispatch(self, link: Link, message: Message) -> None:
        link.last_used = self._clock.monotonic()
        kind = type(message)
        if kind in self._responders:
            reply = await self._responders[kind](link.peer, message)
            if reply is not None:
                number = cast(Any, message).request_id
                await self._write(link, number_message(reply, number))
        elif kind in self._handlers:
            await self._handlers[kind](link.peer, message)
        else:
            link.resolve(message)

    async def _close_idle(self) -> None:
        seconds = self._settings.idle_seconds
        while True:
            await self._clock.sleep(seconds / 2)
            self._registry.drop_idle(seconds)

    def _run(self, work: Any) -> Any:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
