"""Client that sends calls to gates over one connection to each gate."""

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
_ConnectTask = asyncio.Task[Result[CallConnection, Refusal]]
_UNREACHABLE = Refusal('gate_unreachable', 'no')
_MILLISECONDS_PER_SECOND = 1000


class CallClient:
    """Call handler that sends each call to the gate of its endpoint."""

    def __init__(
        self, transport: Transport, hello: Hello, find_address: FindAddress
    ) -> None:
        """Take the Hello to send first on each connection.

        Its purpose is calls. ``find_address`` returns the address on which
        the gate of an endpoint listens now, or None if it is not known.
        """
        self._transport = transport
        self._hello = hello
        self._find_address = find_address
        self._connections: dict[str, CallConnection] = {}
        self._connect_tasks: dict[str, _ConnectTask] = {}

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Send the call to the gate of the endpoint that the request names."""
        connection = self._connections.get(request.endpoint)
        address = self._find_address(request.endpoint)
        if connection is None or not connection.is_usable(address):
            started_at = asyncio.get_running_loop().time()
            match await self._obtain_connection(request, address):
                case Ok(connection):
                    request = _reduce_timeout(request, started_at)
                case Err(refusal):
                    return Err(refusal)
        return await connection.call(request, body)

    async def close(self) -> None:
        """Close every connection.

        Calls that were sent end with a refusal whose ``executed`` is unknown.
        """
        for connect_task in self._connect_tasks.values():
            connect_task.cancel()
        for connection in tuple(self._connections.values()):
            connection.close()

    async def _obtain_connection(
        self, request: CallRequest, address: Address | None
    ) -> Result[CallConnection, Refusal]:
        if address is None:
            return Err(_UNREACHABLE)
        endpoint = request.endpoint
        connect_task = self._connect_tasks.get(endpoint)
        if connect_task is None:
            connect_task = asyncio.ensure_future(
                self._connect(endpoint, address)
            )
            self._connect_tasks[endpoint] = connect_task
            connect_task.add_done_callback(
                lambda _: self._connect_tasks.pop(endpoint, None)
            )
        try:
            # Callers share the task, so one that is cancelled must not end it.
            async with asyncio.timeout(
                request.timeout_ms / _MILLISECONDS_PER_SECOND
            ):
                return await asyncio.shield(connect_task)
        except TimeoutError:
            return Err(Refusal('deadline', 'no'))

    async def _connect(
        self, endpoint: str, address: Address
    ) -> Result[CallConnection, Refusal]:
        try:
            channel = await self._transport.dial(address)
        except DialFailed:
            return Err(_UNREACHABLE)
        if not await self._exchange_hellos(channel, endpoint):
            channel.close()
            return Err(_UNREACHABLE)
        previous = self._connections.get(endpoint)
        if previous is not None:
            previous.retire()
        connection = CallConnection(
            channel, address, self._make_remover(endpoint)
        )
        self._connections[endpoint] = connection
        return Ok(connection)

    async def _exchange_hellos(self, channel: Channel, endpoint: str) -> bool:
        """Exchange Hellos and return whether the expected gate answered.

        The address may belong to the gate of another endpoint by now.
        """
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

    def _make_remover(self, endpoint: str) -> Callable[[CallConnection], None]:
        def remove(connection: CallConnection) -> None:
            if self._connections.get(endpoint) is connection:
                self._connections.pop(endpoint)

        return remove


def _reduce_timeout(request: CallRequest, started_at: float) -> CallRequest:
    """Subtract the time that opening the connection took."""
    elapsed_seconds = asyncio.get_running_loop().time() - started_at
    remaining_ms = request.timeout_ms - int(
        elapsed_seconds * _MILLISECONDS_PER_SECOND
    )
    return request._replace(timeout_ms=remaining_ms)
