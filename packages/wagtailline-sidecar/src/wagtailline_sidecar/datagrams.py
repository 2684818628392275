"""Datagrams between daemons that may be lost: reports and warnings."""

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Err, Ok

from wagtailline.codec import Codec, FrameFault, Message
from wagtailline.ports import Address

# Fits into one packet of an ordinary network.
MAX_DATAGRAM_BYTES = 1400


class DemandReport(NamedTuple):
    """Requests per second that a daemon sees of each account.

    A report replaces the earlier ones of the host with a lower ``number``.
    """

    host: str
    number: int
    demands: dict[str, float]


class LoanRequest(NamedTuple):
    """A daemon wants tokens of an account from its issuer."""

    host: str
    number: int
    account: str
    tokens: int


class LoanReply(NamedTuple):
    """Tokens lent; ``wait_seconds`` tells when there are more."""

    number: int
    tokens: int
    wait_seconds: float


DATAGRAM_KINDS: dict[int, type[Message]] = {
    80: DemandReport,
    82: LoanRequest,
    83: LoanReply,
}

Receiver = Callable[[Message], None]


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, peer: object) -> None:
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer does not listen; its datagrams are lost."""


class DatagramEndpoint:
    """Service that sends and receives datagrams at one UDP address."""

    def __init__(
        self, address: Address, observe_fault: Callable[[FrameFault], None]
    ) -> None:
        """Report what can't be decoded to ``observe_fault``."""
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
        """Call the receiver with every message."""
        self._receivers.append(receiver)

    async def start(self) -> None:
        """Listen; raise OSError when the address is taken."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive),
            local_addr=self._address,
            family=socket.AF_INET,
        )
        self._transport = transport

    async def stop(self) -> None:
        """Receive no more."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: Message, hosts: Iterable[str]) -> None:
        """Send a message to daemons; it may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        datagram = self._codec.encode(message)
        for host in hosts:
            if host != self._address.host:
                self._transport.sendto(datagram, (host, self._address.port))

    def _receive(self, datagram: bytes) -> None:
        match self._codec.decode(datagram):
            case Ok(message):
                for receiver in self._receivers:
                    receiver(message)
            case Err(fault):
                self._observe_fault(fault)
