"""Opens control connections and checks who answers."""

import asyncio
from typing import cast

from result import Err, Ok, Result

from wagtailline._link import (
    PeerFailure,
    PeerTimedOut,
    PeerUnknown,
    PeerUnreachable,
    find_hello_fault,
    make_hello,
)
from wagtailline.membership import Member, MemberTable
from wagtailline.messages import PURPOSE_CONTROL, Hello
from wagtailline.ports import (
    Address,
    Channel,
    ChannelClosed,
    DialFailed,
    Transport,
)

Dialled = Result[tuple[Channel, Hello], PeerFailure]


class Dialer:
    """Dials the members of a table on behalf of one of them."""

    def __init__(
        self,
        member: Member,
        table: MemberTable,
        transport: Transport,
        seconds: float,
    ) -> None:
        """Give each dial and its exchange of Hello the time in seconds."""
        self._member = member
        self._table = table
        self._transport = transport
        self._seconds = seconds

    async def dial(self, endpoint: str) -> Dialled:
        """Return a channel to an endpoint after the exchange of Hello."""
        member = self._table.find(endpoint)
        if member is None:
            return Err(PeerUnknown(endpoint))
        try:
            async with asyncio.timeout(self._seconds):
                return await self._open(endpoint, member.address)
        except (DialFailed, ChannelClosed):
            return Err(PeerUnreachable(endpoint))
        except TimeoutError:
            return Err(PeerTimedOut(endpoint, self._seconds))

    async def _open(self, endpoint: str, address: Address) -> Dialled:
        channel = await self._transport.dial(address)
        accepted = False
        try:
            answered = await self._introduce(channel, endpoint)
            accepted = answered.is_ok()
            return answered
        finally:
            if not accepted:
                channel.close()

    async def _introduce(self, channel: Channel, endpoint: str) -> Dialled:
        await channel.send(make_hello(self._member, PURPOSE_CONTROL))
        first = await channel.receive()
        fault = find_hello_fault(first, endpoint, frozenset((PURPOSE_CONTROL,)))
        if fault is not None:
            return Err(fault)
        return Ok((channel, cast(Hello, first)))
