"""Connections between daemons, for calls to gates and for snapshots."""

import asyncio
from collections.abc import Callable

from result import Result

from wagtailline.calls import (
    CALL_KINDS,
    Answer,
    Body,
    CallClient,
    CallHandler,
    CallRequest,
    CallServer,
    Refusal,
)
from wagtailline.codec import Codec, FrameFault
from wagtailline.messages import (
    CONNECTION_KINDS,
    PROTOCOL_VERSION,
    PURPOSE_CALLS,
    PURPOSE_CONTROL,
    Hello,
)
from wagtailline.ports import Address, Channel, Listener
from wagtailline.streams import MAX_HELLO_FRAME_BYTES, StreamTransport
from wagtailline.uplink import Uplink
from wagtailline_sidecar.snapshot_exchange import SnapshotExchange
from wagtailline_sidecar.snapshot_messages import SNAPSHOT_KINDS

# A peer in the same region answers within milliseconds.
DIAL_TIMEOUT_SECONDS = 0.3
HELLO_TIMEOUT_SECONDS = 2.0
# Connections that may wait for the first message of their peer.
MAX_UNIDENTIFIED = 64


class Peers:
    """Service that accepts connections of peers, and finds peers by host."""

    def __init__(
        self,
        hello: Hello,
        address: Address,
        observe_fault: Callable[[FrameFault], None],
    ) -> None:
        """Set up a service that listens at ``address`` after its start.

        All peers use the same port. ``hello`` describes this daemon; it is the
        template for the first message of every connection.
        """
        self.address = address
        self.transport = StreamTransport(
            Codec({**CONNECTION_KINDS, **CALL_KINDS, **SNAPSHOT_KINDS}),
            observe_fault,
            dial_timeout_seconds=DIAL_TIMEOUT_SECONDS,
            first_frame_bytes=MAX_HELLO_FRAME_BYTES,
        )
        self._hello = hello
        self._calls: CallServer | None = None
        self._snapshot_exchange: SnapshotExchange | None = None
        self._listener: Listener | None = None
        # Dictionaries keep the order in which their keys were added.
        self._unidentified: dict[Channel, None] = {}

    def make_hello(self, purpose: str) -> Hello:
        """Return the first message of a connection for a purpose."""
        return self._hello._replace(purpose=purpose)

    def find_address(self, host: str) -> Address:
        """Return the address at which the daemon of a host listens."""
        return Address(host, self.address.port)

    def serve(
        self, calls: CallServer, snapshot_exchange: SnapshotExchange
    ) -> None:
        """Set the servers for calls and for snapshots, before the start."""
        self._calls = calls
        self._snapshot_exchange = snapshot_exchange

    async def start(self) -> None:
        """Start to listen; raise OSError if the address is in use."""
        self._listener = await self.transport.serve(self.address, self._accept)

    async def stop(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            await self._listener.close()

    async def _accept(self, channel: Channel) -> None:
        self._unidentified[channel] = None
        if len(self._unidentified) > MAX_UNIDENTIFIED:
            oldest = next(iter(self._unidentified))
            oldest.close()
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                hello = await channel.receive()
        except TimeoutError:
            return channel.close()
        finally:
            self._unidentified.pop(channel, None)
        match hello:
            case Hello(protocol=version) if version != PROTOCOL_VERSION:
                return channel.close()
            case Hello(purpose=purpose) if purpose == PURPOSE_CALLS:
                if self._calls is not None:
                    await self._calls.serve(channel)
            case Hello(purpose=purpose) if purpose == PURPOSE_CONTROL:
                if self._snapshot_exchange is not None:
                    await self._snapshot_exchange.serve(channel)
            case _:
                channel.close()


class PeerCalls:
    """Call handler that sends each call to the gate of its host."""

    def __init__(
        self,
        vm: str,
        peers: Peers,
        gate: CallHandler,
        on_error: Callable[[Exception], None],
        uplink: Uplink,
    ) -> None:
        """Set up a handler that runs calls to this host at ``gate``."""
        self._vm = vm
        self._host = peers.address.host
        self._gate = gate
        hello = peers.make_hello(PURPOSE_CALLS)
        self.server = CallServer(gate, hello, on_error, uplink)
        self._client = CallClient(peers.transport, hello, peers.find_address)

    @property
    def in_progress(self) -> int:
        """Return the number of calls of peers that are in progress."""
        return self.server.in_progress

    async def start(self) -> None:
        """Do nothing, as connections are opened by the first call."""

    async def stop(self) -> None:
        """Close the connections to peers."""
        await self._client.close()

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run a call at the gate of the host in ``request.endpoint``."""
        request = request._replace(sender=self._vm)
        if request.endpoint == self._host:
            return await self._gate(request, body)
        return await self._client(request, body)
