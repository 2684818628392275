"""Log output that never blocks and limits the number of lines."""

import io
import os
import time

_BURST_SECONDS = 2.0


class RateLimitedOutput(io.TextIOBase):
    """Text stream to a file descriptor that drops lines instead of blocking.

    A token bucket limits the average rate to ``lines_per_second``; ``admit``
    tells whether the next line is within it, before the line is formatted. The
    number of dropped lines is logged with the next line that is written.
    """

    def __init__(self, descriptor: int, lines_per_second: float) -> None:
        """Make the file descriptor non-blocking and fill the token bucket."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._tokens = lines_per_second * _BURST_SECONDS
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._unwritten = b''

    def admit(self) -> bool:
        """Return whether the next line may be written; count it if not."""
        is_admitted = self._take_token()
        if not is_admitted:
            self._dropped += 1
        return is_admitted

    def write(self, text: str) -> int:
        """Write one line that was admitted, or drop it if that would block."""
        if self._dropped:
            text = f'event=log_lines_dropped count={self._dropped}\n{text}'
        line = self._unwritten + text.encode()
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader of the log is gone; the process continues without it.
            return len(text)
        if written:
            self._dropped = 0
            self._unwritten = line[written:]
        else:
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; only the rest of a partly written line is retained."""

    def _take_token(self) -> bool:
        now = time.monotonic()
        capacity = self._rate * _BURST_SECONDS
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(self._tokens + elapsed * self._rate, capacity)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
