"""Opening of control connections and verification of the peer."""

import asyncio
from typing import cast

from result import Err, Ok, Result

from wagtailline._link import (
    PeerFailure,
    PeerTimedOut,
    PeerUnknown,
    PeerUnreachable,
    check_hello,
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

DialResult = Result[tuple[Channel, Hello], PeerFailure]


class Dialer:
    """Opens control connections from one member to others in a table."""

    def __init__(
        self,
        member: Member,
        table: MemberTable,
        transport: Transport,
        timeout_seconds: float,
    ) -> None:
        """Take one timeout for each dial including its Hello messages."""
        self._member = member
        self._table = table
        self._transport = transport
        self._timeout_seconds = timeout_seconds

    async def dial(self, endpoint: str) -> DialResult:
        """Return a channel to an endpoint whose Hello has been checked."""
        member = self._table.find(endpoint)
        if member is None:
            return Err(PeerUnknown(endpoint))
        try:
            async with asyncio.timeout(self._timeout_seconds):
                return await self._connect(endpoint, member.address)
        except (DialFailed, ChannelClosed):
            return Err(PeerUnreachable(endpoint))
        except TimeoutError:
            return Err(PeerTimedOut(endpoint, self._timeout_seconds))

    async def _connect(self, endpoint: str, address: Address) -> DialResult:
        channel = await self._transport.dial(address)
        accepted = False
        try:
            dialled = await self._exchange_hello(channel, endpoint)
            accepted = dialled.is_ok()
            return dialled
        finally:
            if not accepted:
                channel.close()

    async def _exchange_hello(
        self, channel: Channel, endpoint: str
    ) -> DialResult:
        await channel.send(make_hello(self._member, PURPOSE_CONTROL))
        reply = await channel.receive()
        refusal = check_hello(reply, endpoint, frozenset((PURPOSE_CONTROL,)))
        if refusal is not None:
            return Err(refusal)
        return Ok((channel, cast(Hello, reply)))
