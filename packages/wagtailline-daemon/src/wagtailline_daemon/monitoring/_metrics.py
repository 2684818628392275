"""Metrics sent to statsd over UDP, or discarded if no host is set."""

from typing import Protocol

from statsd import StatsClient

_NAME_PREFIX = 'wagtailline'


class Metrics(Protocol):
    """A sink for counters, gauges and timers with dotted names."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""


class StatsdMetrics:
    """Metrics sent to a statsd server; lost datagrams are ignored."""

    def __init__(self, host: str, port: int) -> None:
        """Create the client, which resolves the host only once."""
        self._client = StatsClient(host, port, prefix=_NAME_PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, amount)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, level)

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, milliseconds)


class DiscardedMetrics:
    """Metrics that are discarded."""

    def count(self, name: str, amount: int = 1) -> None:
        """Discard a count."""

    def gauge(self, name: str, level: float) -> None:
        """Discard a gauge."""

    def time(self, name: str, milliseconds: float) -> None:
        """Discard a duration."""


def open_metrics(host: str | None, port: int) -> Metrics:
    """Return metrics for the statsd host, or discarded ones without a host."""
    return DiscardedMetrics() if host is None else StatsdMetrics(host, port)
