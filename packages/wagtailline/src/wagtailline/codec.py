"""Codec of typed messages in msgpack frames."""

from collections.abc import Mapping
from typing import NamedTuple

import msgpack
import msgspec
from result import Err, Ok, Result

Message = tuple[object, ...]


class MalformedFrame(NamedTuple):
    """Fault of a frame that is not a valid message of this protocol."""

    problem: str


class UnknownMessage(NamedTuple):
    """Fault of a frame whose message kind the codec does not know."""

    kind: int


FrameFault = MalformedFrame | UnknownMessage


class Codec:
    """Encoder and decoder of NamedTuple messages, told apart by kind number."""

    def __init__(self, kinds: Mapping[int, type[Message]]) -> None:
        """Take the table of all message types by kind number."""
        self._types_by_kind = dict(kinds)
        self._kinds_by_type = {
            message_type: kind for kind, message_type in kinds.items()
        }

    def encode(self, message: Message) -> bytes:
        """Return the frame of a message."""
        frame: bytes = msgpack.packb(
            (self._kinds_by_type[type(message)], message)
        )
        return frame

    def decode(self, frame: bytes) -> Result[Message, FrameFault]:
        """Return the message of a frame, or the fault of the frame."""
        try:
            kind, fields = msgpack.unpackb(frame)
        except (ValueError, TypeError) as error:
            return Err(MalformedFrame(str(error)))
        if not isinstance(kind, int) or kind not in self._types_by_kind:
            return Err(UnknownMessage(kind if isinstance(kind, int) else -1))
        try:
            return Ok(msgspec.convert(fields, self._types_by_kind[kind]))
        except msgspec.ValidationError as error:
            return Err(MalformedFrame(str(error)))
