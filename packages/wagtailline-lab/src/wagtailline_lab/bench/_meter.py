"""Meter of the messages and bytes that TCP would carry on a memory network."""

from typing import NamedTuple

from wagtailline.codec import Codec, Message
from wagtailline.distribution import DISTRIBUTION_KINDS
from wagtailline.messages import CONNECTION_KINDS
from wagtailline.ports import Address
from wagtailline.streams import LENGTH_PREFIX_BYTES


class TrafficCounts(NamedTuple):
    """Traffic since the previous reading."""

    messages: int
    sent_bytes: int
    largest_sender_bytes: int


class TrafficMeter:
    """Counts traffic, and runs the codec so that its CPU time is measured."""

    def __init__(self) -> None:
        """Start all counts at zero."""
        self._codec = Codec(CONNECTION_KINDS | DISTRIBUTION_KINDS)
        self._messages = 0
        self._bytes_by_sender: dict[Address, int] = {}

    def observe(
        self, local: Address, remote: Address, message: Message
    ) -> None:
        """Encode and decode a message, and count it with its length prefix."""
        frame = self._codec.encode(message)
        self._codec.decode(frame).unwrap()
        self._messages += 1
        size = len(frame) + LENGTH_PREFIX_BYTES
        self._bytes_by_sender[local] = (
            self._bytes_by_sender.get(local, 0) + size
        )

    def read_and_reset(self) -> TrafficCounts:
        """Return the counts and reset them to zero."""
        counts = TrafficCounts(
            self._messages,
            sum(self._bytes_by_sender.values()),
            max(self._bytes_by_sender.values(), default=0),
        )
        self._messages = 0
        self._bytes_by_sender = {}
        return counts
