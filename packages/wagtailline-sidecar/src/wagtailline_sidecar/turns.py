"""Turns in which the tasks of one process start their work."""

import asyncio
from collections import deque
from collections.abc import Callable

# The loop reads its sockets again after so many starts.
MAX_STARTS_PER_ITERATION = 8
# The start of a request counts once more for so many headers.
HEADERS_PER_START = 64


def _ignore_delay(seconds: float) -> None:
    """Ignore a delay; the default if no observer is set."""


class Turns:
    """Queue of tasks of which a few start in each iteration of the event loop.

    Between two iterations the loop reads its sockets. So however long the
    queue is, a task is cancelled in time if the reason for it is gone, and
    the work of one iteration is bounded.
    """

    def __init__(
        self, observe_delay: Callable[[float], None] = _ignore_delay
    ) -> None:
        """Set up an empty queue.

        ``observe_delay`` is called with the seconds that each task waited.
        """
        self._observe_delay = observe_delay
        self._waiting: deque[tuple[asyncio.Future[None], int]] = deque()
        self._is_scheduled = False

    async def wait(self, headers: int = 0) -> None:
        """Wait for a turn, at least until the sockets were read once more.

        ``headers`` is the number of headers of the request, which is most of
        the work that it makes.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append((turn, 1 + headers // HEADERS_PER_START))
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._grant_turns)
        await turn
        self._observe_delay(loop.time() - started_at)

    def _grant_turns(self) -> None:
        granted = 0
        while self._waiting and granted < MAX_STARTS_PER_ITERATION:
            turn, starts = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                granted += starts
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._grant_turns)
