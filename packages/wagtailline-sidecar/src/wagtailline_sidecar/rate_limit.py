"""Limit of the request rate that the local upstream names."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline_sidecar.upstream_events import (
    RateLimitEnded,
    RateLimitIgnored,
    RateLimitStarted,
)
from wagtailline_sidecar.upstream_notices import (
    RateLimitAbsent,
    RateLimitNamed,
    RateLimitUnreadable,
    UpstreamNotice,
)

ORIGIN_RESPONSE = 'response'


def _ignore_event(event: NamedTuple) -> None:
    """Ignore an event; the default if no observer is set."""


class RateLimit:
    """The limit that one instance of the upstream has named last, if any."""

    def __init__(
        self, observe: Callable[[NamedTuple], None] = _ignore_event
    ) -> None:
        """Set up without a limit; ``observe`` gets an event for each change."""
        self._observe = observe
        self._instance = ''
        self._rate: float | None = None

    def describe(self) -> str:
        """Return the limit as text for a log event."""
        return '' if self._rate is None else f'{self._rate:g}'

    def apply(self, notice: UpstreamNotice) -> None:
        """Apply what a response says of the limit."""
        self._follow_instance(notice.instance)
        match notice.limit:
            case RateLimitNamed(rate=rate):
                self._start(rate, ORIGIN_RESPONSE)
            case RateLimitAbsent():
                self._end()
            case RateLimitUnreadable(field=field):
                self._observe(RateLimitIgnored(notice.instance, field))

    def forget(self) -> None:
        """Forget the limit, because the upstream has been replaced."""
        self._end()

    def _follow_instance(self, instance: str) -> None:
        if instance != self._instance:
            self._end()
            self._instance = instance

    def _start(self, rate: float, origin: str) -> None:
        if rate != self._rate:
            self._observe(RateLimitStarted(self._instance, rate, origin))
        self._rate = rate

    def _end(self) -> None:
        if self._rate is not None:
            self._observe(RateLimitEnded(self._instance, self._rate))
        self._rate = None
