"""Calls between the daemons: the gate of each VM by its host."""

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
    Hello,
)
from wagtailline.ports import Address, Listener
from wagtailline.streams import MAX_CALL_FRAME_BYTES, StreamTransport

# A peer in the same region answers within milliseconds.
DIAL_TIMEOUT_SECONDS = 0.3


class PeerCalls:
    """Service that runs calls of peers, and sends calls to them."""

    def __init__(
        self,
        vm: str,
        data_centre: str,
        address: Address,
        incarnation: int,
        gate: CallHandler,
        observe_fault: Callable[[FrameFault], None],
        observe_error: Callable[[Exception], None],
    ) -> None:
        """Serve the local gate at an address."""
        self._address = address
        self._gate = gate
        hello = Hello(
            PROTOCOL_VERSION,
            vm,
            address.host,
            data_centre,
            incarnation,
            PURPOSE_CALLS,
        )
        self._transport = StreamTransport(
            Codec({**CONNECTION_KINDS, **CALL_KINDS}),
            observe_fault,
            MAX_CALL_FRAME_BYTES,
            DIAL_TIMEOUT_SECONDS,
        )
        self._server = CallServer(gate, hello, observe_error)
        self._client = CallClient(self._transport, hello, self._find_address)
        self._vm = vm
        self._listener: Listener | None = None

    @property
    def in_progress(self) -> int:
        """Return the number of calls of peers that have not ended."""
        return self._server.in_progress

    async def start(self) -> None:
        """Listen; raise OSError when the address is taken."""
        self._listener = await self._transport.serve(
            self._address, self._server.accept
        )

    async def stop(self) -> None:
        """Take no new connections and end those to peers."""
        if self._listener is not None:
            await self._listener.close()
        await self._client.close()

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run a call at the gate of the host that the request names."""
        request = request._replace(sender=self._vm)
        if request.endpoint == self._address.host:
            return await self._gate(request, body)
        return await self._client(request, body)

    def _find_address(self, host: str) -> Address:
        """Return where a gate listens: the port is the same on all VMs."""
        return Address(host, self._address.port)
