"""Log output that never blocks and stays bounded."""

import io
import os
import time

_BUFFER_SECONDS = 2.0


class BoundedOutput(io.TextIOBase):
    """Text stream to a descriptor that drops lines instead of waiting.

    At most ``lines_per_second`` are written on average; a line tells how
    many were dropped.
    """

    def __init__(self, descriptor: int, lines_per_second: float) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._tokens = lines_per_second * _BUFFER_SECONDS
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._unfinished = b''

    def write(self, text: str) -> int:
        """Write one line, or drop it."""
        if not self._take():
            self._dropped += 1
            return len(text)
        if self._dropped:
            text = f'event=log_lines_dropped count={self._dropped}\n{text}'
        line = self._unfinished + text.encode()
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log; the process goes on without it.
            return len(text)
        if written:
            self._dropped = 0
            self._unfinished = line[written:]
        else:
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, as nothing is held back on purpose."""

    def _take(self) -> bool:
        now = time.monotonic()
        most = self._rate * _BUFFER_SECONDS
        passed = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(self._tokens + passed * self._rate, most)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
