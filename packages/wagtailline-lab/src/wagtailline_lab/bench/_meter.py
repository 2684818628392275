"""Counts messages and bytes of a memory network as TCP would carry them."""

from typing import NamedTuple

from wagtailline.codec import Codec, Message
from wagtailline.distribution import DISTRIBUTION_KINDS
from wagtailline.messages import CONNECTION_KINDS
from wagtailline.ports import Address
from wagtailline.streams import LENGTH_PREFIX_BYTES


class Reading(NamedTuple):
    """Counts since the meter was attached."""

    messages: int
    sent_bytes: int
    largest_sender: int


class TrafficMeter:
    """Encodes and decodes each message, so that the codec's CPU counts."""

    def __init__(self) -> None:
        """Begin at zero."""
        self._codec = Codec(CONNECTION_KINDS | DISTRIBUTION_KINDS)
        self._messages = 0
        self._by_sender: dict[Address, int] = {}

    def observe(
        self, local: Address, remote: Address, message: Message
    ) -> None:
        """Count one message with its length prefix."""
        frame = self._codec.encode(message)
        self._codec.decode(frame).unwrap()
        self._messages += 1
        size = len(frame) + LENGTH_PREFIX_BYTES
        self._by_sender[local] = self._by_sender.get(local, 0) + size

    def take(self) -> Reading:
        """Return the counts and begin again at zero."""
        reading = Reading(
            self._messages,
            sum(self._by_sender.values()),
            max(self._by_sender.values(), default=0),
        )
        self._messages = 0
        self._by_sender = {}
        return reading
