"""Turns in which connections that receive much are read."""

import asyncio
from collections import deque
from typing import Protocol


class WaitingReader(Protocol):
    """Connection that waits for its turn to read on."""

    def end_wait(self) -> None:
        """Read on."""


class ReadTurns:
    """Queue of connections of which one is read in each iteration.

    A connection waits here after it has read much. So the work of one
    iteration of the event loop is bounded, however many such connections
    there are, and those that receive little are read in between.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: deque[WaitingReader] = deque()
        self._is_scheduled = False

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
