"""Frames between own processes: msgpack with typed messages."""

from collections.abc import Mapping
from typing import NamedTuple

import msgpack
import msgspec
from result import Err, Ok, Result

Message = tuple[object, ...]


class MalformedFrame(NamedTuple):
    """Bytes that are no message of this protocol."""

    problem: str


class UnknownMessage(NamedTuple):
    """A message kind that this process does not have."""

    kind: int


FrameFault = MalformedFrame | UnknownMessage


class Codec:
    """Encodes NamedTuple messages by kind number."""

    def __init__(self, kinds: Mapping[int, type[Message]]) -> None:
        """Take the table of kind numbers of the whole process."""
        self._types = dict(kinds)
        self._kinds = {kind: number for number, kind in kinds.items()}

    def encode(self, message: Message) -> bytes:
        """Return the frame of a message."""
        frame: bytes = msgpack.packb((self._kinds[type(message)], message))
        return frame

    def decode(self, frame: bytes) -> Result[Message, FrameFault]:
        """Return the typed message of a frame."""
        try:
            number, fields = msgpack.unpackb(frame)
        except (ValueError, TypeError) as problem:
            return Err(MalformedFrame(str(problem)))
        if not isinstance(number, int) or number not in self._types:
            return Err(
                UnknownMessage(number if isinstance(number, int) else -1)
            )
        try:
            return Ok(msgspec.convert(fields, self._types[number]))
        except msgspec.ValidationError as problem:
            return Err(MalformedFrame(str(problem)))
