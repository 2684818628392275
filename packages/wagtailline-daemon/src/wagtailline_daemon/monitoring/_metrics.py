"""Metrics by statsd over UDP; nothing is sent without a statsd host."""

from typing import Protocol

from statsd import StatsClient

PREFIX = 'wagtailline'


class Metrics(Protocol):
    """Counters, gauges and timers with dotted names."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""


class StatsdMetrics:
    """Sends to a statsd server; a lost datagram is ignored."""

    def __init__(self, host: str, port: int) -> None:
        """Resolve the server once."""
        self._client = StatsClient(host, port, prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, amount)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, level)

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, milliseconds)


class NoMetrics:
    """Drops every metric."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop a count."""

    def gauge(self, name: str, level: float) -> None:
        """Drop a gauge."""

    def time(self, name: str, milliseconds: float) -> None:
        """Drop a duration."""


def open_metrics(host: str | None, port: int) -> Metrics:
    """Return metrics to a server, or none without a host."""
    return NoMetrics() if host is None else StatsdMetrics(host, port)
