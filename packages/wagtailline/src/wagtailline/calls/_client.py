"""Sends calls to gates, over one connection to each."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from wagtailline.calls._connection import CallConnection
from wagtailline.calls._server import HELLO_TIMEOUT_SECONDS, is_call_hello
from wagtailline.calls._types import Answer, Body, CallRequest, Refusal
from wagtailline.messages import Hello
from wagtailline.ports import (
    Address,
    Channel,
    ChannelClosed,
    DialFailed,
    Transport,
)

FindAddress = Callable[[str], Address | None]
_Opening = asyncio.Task[Result[CallConnection, Refusal]]
_UNREACHABLE = Refusal('gate_unreachable', 'no')
_MILLISECONDS = 1000


class CallClient:
    """Call handler that sends a call to the gate of its endpoint."""

    def __init__(
        self, transport: Transport, hello: Hello, find_address: FindAddress
    ) -> None:
        """Introduce itself by ``hello``, whose purpose is calls.

        ``find_address`` returns where the gate of an endpoint listens now.
        """
        self._transport = transport
        self._hello = hello
        self._find_address = find_address
        self._connections: dict[str, CallConnection] = {}
        self._openings: dict[str, _Opening] = {}

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run the call at the gate that the request names."""
        connection = self._connections.get(request.endpoint)
        address = self._find_address(request.endpoint)
        if connection is None or not connection.is_usable(address):
            started = asyncio.get_running_loop().time()
            match await self._open(request, address):
                case Ok(connection):
                    request = _reduce_timeout(request, started)
                case Err(refusal):
                    return Err(refusal)
        return await connection.call(request, body)

    async def close(self) -> None:
        """End every connection; calls in progress end as unknown."""
        for opening in self._openings.values():
            opening.cancel()
        for connection in tuple(self._connections.values()):
            connection.close()

    async def _open(
        self, request: CallRequest, address: Address | None
    ) -> Result[CallConnection, Refusal]:
        if address is None:
            return Err(_UNREACHABLE)
        endpoint = request.endpoint
        opening = self._openings.get(endpoint)
        if opening is None:
            opening = asyncio.ensure_future(self._connect(endpoint, address))
            self._openings[endpoint] = opening
            opening.add_done_callback(
                lambda _: self._openings.pop(endpoint, None)
            )
        try:
            # The opening is shared, so a caller that leaves must not end it.
            async with asyncio.timeout(request.timeout_ms / _MILLISECONDS):
                return await asyncio.shield(opening)
        except TimeoutError:
            return Err(Refusal('deadline', 'no'))

    async def _connect(
        self, endpoint: str, address: Address
    ) -> Result[CallConnection, Refusal]:
        try:
            channel = await self._transport.dial(address)
        except DialFailed:
            return Err(_UNREACHABLE)
        if not await self._greet(channel, endpoint):
            channel.close()
            return Err(_UNREACHABLE)
        former = self._connections.get(endpoint)
        if former is not None:
            former.retire()
        connection = CallConnection(channel, address, self._forget(endpoint))
        self._connections[endpoint] = connection
        return Ok(connection)

    async def _greet(self, channel: Channel, endpoint: str) -> bool:
        """Exchange Hellos; the address may have passed to another gate."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                await channel.send(self._hello)
                hello = await channel.receive()
        except (ChannelClosed, TimeoutError):
            return False
        return (
            isinstance(hello, Hello)
            and is_call_hello(hello)
            and hello.endpoint == endpoint
        )

    def _forget(self, endpoint: str) -> Callable[[CallConnection], None]:
        def forget(connection: CallConnection) -> None:
            if self._connections.get(endpoint) is connection:
                self._connections.pop(endpoint)

        return forget


def _reduce_timeout(request: CallRequest, started: float) -> CallRequest:
    """Take off the time that opening the connection took."""
    used = asyncio.get_running_loop().time() - started
    left = request.timeout_ms - int(used * _MILLISECONDS)
    return request._replace(timeout_ms=left)
