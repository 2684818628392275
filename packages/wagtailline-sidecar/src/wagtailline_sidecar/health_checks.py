"""Health checks of the local upstream, for as long as there is a reason."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wagtailline_sidecar.supervision import SupervisedTask
from wagtailline_sidecar.upstream import HealthReport

# Pause between two health checks of an upstream whose state is in doubt.
HEALTH_CHECK_PERIOD_SECONDS = 0.25
# Least pause between two, however many requests the upstream gets.
MIN_CHECK_PAUSE_SECONDS = 0.05
HEALTH_CHECK_TIMEOUT_SECONDS = 1.0
# Without news from the source for longer, nothing else tells that the upstream
# has become cold.
MAX_NEWS_AGE_SECONDS = 2.0
# Period of the checks then. The requests that reach a cold upstream before it
# is known to be cold have to stay within the tolerance for one second.
UNINFORMED_PERIOD_SECONDS = 0.5


def find_no_age() -> float:
    """Return the age of news that always arrive."""
    return 0


class HealthChecks:
    """Service that checks the health when it is requested.

    Without news from the source it checks periodically as well.
    """

    def __init__(
        self,
        check: Callable[[], Awaitable[HealthReport | None]],
        apply: Callable[[HealthReport], None],
        find_news_age: Callable[[], float],
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up a service that passes each report on to ``apply``.

        ``find_news_age`` returns the age of the last news in seconds.
        """
        self._check = check
        self._apply = apply
        self._find_news_age = find_news_age
        self._requested = asyncio.Event()
        self._is_urgent = asyncio.Event()
        self._task = SupervisedTask('health_checks', self._run, observe)

    async def start(self) -> None:
        """Start the health checks, the first at once."""
        self._requested.set()
        self._task.start()

    async def stop(self) -> None:
        """Stop the health checks."""
        self._task.stop()

    @property
    def is_requested(self) -> bool:
        """Return whether a check is requested and has not succeeded."""
        return self._requested.is_set()

    def request(self) -> None:
        """Request a check, which is repeated until one succeeds."""
        self._requested.set()

    def request_early(self) -> None:
        """Request a check soon after one that has succeeded.

        A busy upstream gets too many requests in the period of the checks.
        """
        self._requested.set()
        self._is_urgent.set()

    def cancel(self) -> None:
        """Cancel a request whose reason has ended."""
        self._requested.clear()
        self._is_urgent.clear()

    async def _run(self) -> None:
        while True:
            await self._wait_for_reason()
            report = await self._check_in_time()
            if report is None:
                await asyncio.sleep(HEALTH_CHECK_PERIOD_SECONDS)
            else:
                self.cancel()
                self._apply(report)
                await self._wait_for_urgency()

    async def _wait_for_urgency(self) -> None:
        """Wait for the period of the checks, or until one is urgent."""
        await asyncio.sleep(MIN_CHECK_PAUSE_SECONDS)
        rest = HEALTH_CHECK_PERIOD_SECONDS - MIN_CHECK_PAUSE_SECONDS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(rest):
                await self._is_urgent.wait()

    async def _wait_for_reason(self) -> None:
        """Wait until a check is requested, or news are missing."""
        pause = UNINFORMED_PERIOD_SECONDS - HEALTH_CHECK_PERIOD_SECONDS
        while not self._requested.is_set():
            try:
                async with asyncio.timeout(pause):
                    await self._requested.wait()
            except TimeoutError:
                if self._find_news_age() > MAX_NEWS_AGE_SECONDS:
                    return

    async def _check_in_time(self) -> HealthReport | None:
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_SECONDS):
                return await self._check()
        except TimeoutError:
            return None
