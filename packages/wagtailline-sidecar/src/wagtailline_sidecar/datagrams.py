"""Messages between daemons that are sent as UDP datagrams and may be lost."""

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import NamedTuple

from result import Err, Ok

from wagtailline.codec import Codec, FrameFault, Message
from wagtailline.ports import Address
from wagtailline_sidecar.field_types import (
    Count,
    Digest,
    Rate,
    Seconds,
)
from wagtailline_sidecar.supervision import describe_failure

# Fits into one packet at the usual Ethernet MTU.
MAX_DATAGRAM_BYTES = 1400


class DemandReport(NamedTuple):
    """Requests per second that a daemon receives for each client account.

    A report replaces those of the same host with a lower sequence number.
    """

    host: str
    sequence_number: Count
    demands: dict[str, Rate]


class TokenRequest(NamedTuple):
    """Request for tokens of a client account to its token issuer.

    ``host`` is the daemon that asks; the reply has the same sequence number.
    """

    host: str
    sequence_number: Count
    account: str
    tokens: Count


class TokenReply(NamedTuple):
    """Reply of a token issuer with the granted tokens, maybe 0.

    ``wait_seconds`` is the time until another token is available.
    """

    sequence_number: Count
    tokens: Count
    wait_seconds: Seconds


class CrashReport(NamedTuple):
    """Failure of an attempt of a request, for a keeper of its history.

    ``host`` is the daemon that reports; the reply has the same sequence
    number. Without ``is_crash``, the report only asks. With it, the upstream
    ended before its answer, ``ran_ms`` after the request was sent.
    """

    host: str
    sequence_number: Count
    digest: Digest
    ran_ms: Count
    is_crash: bool


class CrashCount(NamedTuple):
    """Reply to a report with the number of crashes of the request.

    With ``knows_none``, the keeper knows of no request that crashed.
    """

    sequence_number: Count
    crashes: Count
    knows_none: bool = False


class CrashCleared(NamedTuple):
    """An upstream has answered the request, so it crashes none."""

    digest: Digest


DATAGRAM_KINDS: dict[int, type[Message]] = {
    80: DemandReport,
    82: TokenRequest,
    83: TokenReply,
    86: CrashReport,
    87: CrashCount,
    88: CrashCleared,
}

Receiver = Callable[[Message], None]


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, peer: object) -> None:
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer is not listening; datagrams to it are lost."""


class DatagramEndpoint:
    """Service that sends and receives datagrams at one UDP address."""

    def __init__(
        self,
        address: Address,
        observe_fault: Callable[[FrameFault], None],
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up an endpoint that passes malformed frames to an observer.

        ``observe`` is called with each failure of a receiver.
        """
        self._observe = observe
        self._address = address
        self._observe_fault = observe_fault
        self._codec = Codec(DATAGRAM_KINDS)
        self._receivers: list[Receiver] = []
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def host(self) -> str:
        """Return the host of this daemon."""
        return self._address.host

    def subscribe(self, receiver: Receiver) -> None:
        """Register a receiver that is called with every message."""
        self._receivers.append(receiver)

    async def start(self) -> None:
        """Bind the socket; raise OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive),
            local_addr=self._address,
            family=socket.AF_INET,
        )
        self._transport = transport

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: Message, hosts: Iterable[str]) -> None:
        """Send a message to the other daemons among ``hosts``.

        Delivery is not guaranteed. Hosts that are no IP addresses are left
        out.
        """
        if self._transport is None or self._transport.is_closing():
            return
        datagram = self._codec.encode(message)
        for host in hosts:
            if host != self._address.host:
                with suppress(OSError, ValueError):
                    self._transport.sendto(datagram, (host, self._address.port))

    def _receive(self, datagram: bytes) -> None:
        match self._codec.decode(datagram):
            case Ok(message):
                for receiver in self._receivers:
                    self._pass_on(message, receiver)
            case Err(fault):
                self._observe_fault(fault)

    def _pass_on(self, message: Message, receiver: Receiver) -> None:
        """Call a receiver; one that fails keeps no message from the others."""
        try:
            receiver(message)
        except Exception as error:
            self._observe(describe_failure(receiver.__qualname__, error))
