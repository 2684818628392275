"""Turns in which connections that receive much are read."""

import asyncio
from collections import deque
from typing import Protocol

# Parts of messages, such as headers, after which the other connections of an
# iteration are read in small pieces.
MAX_PARTS_PER_ITERATION = 256
# Bytes of such a piece, in which a usual request head has room.
PIECE_BYTES = 1024


class WaitingReader(Protocol):
    """Connection that waits for its turn to read on."""

    def end_wait(self) -> None:
        """Read on."""


class ReadTurns:
    """Queue of connections of which one is read in each iteration.

    A connection waits here after it has read much. So the work of one
    iteration of the event loop is bounded, however many such connections
    there are, and those that receive little are read in between. Once an
    iteration has parsed much, connections read small pieces in it.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: deque[WaitingReader] = deque()
        self._is_scheduled = False
        self._parts = 0

    def find_read_bytes(self, max_bytes: int) -> int:
        """Return how many bytes a connection may read now."""
        if self._parts > MAX_PARTS_PER_ITERATION:
            return min(max_bytes, PIECE_BYTES)
        return max_bytes

    def count_parts(self, parts: int) -> None:
        """Count one part or more that was parsed in this iteration."""
        if not self._parts:
            asyncio.get_running_loop().call_soon(self._end_iteration)
        self._parts += parts

    def add(self, reader: WaitingReader) -> None:
        """Let a connection wait for its turn."""
        self._waiting.append(reader)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._grant_turn)

    def _grant_turn(self) -> None:
        self._is_scheduled = False
        self._waiting.popleft().end_wait()
        if self._waiting:
            self._schedule()

    def _end_iteration(self) -> None:
        self._parts = 0
