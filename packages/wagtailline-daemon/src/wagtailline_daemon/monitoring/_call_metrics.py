"""Aggregates call counts and latencies between two flushes."""

import time
from collections import Counter
from random import Random

from result import Ok, Result

from wagtailline.calls import Answer, Body, CallHandler, CallRequest, Refusal
from wagtailline_daemon.monitoring._metrics import Metrics

# Size of the reservoir of latencies. A datagram for each call would cost more
# than a tenth of the latency that the whole path may add.
RESERVOIR_SIZE = 512
_MILLISECONDS_PER_SECOND = 1000
_QUANTILES = {'p50': 0.5, 'p99': 0.99}


class CallMetrics:
    """Counts of calls through a handler and a sample of their latencies."""

    def __init__(self, metrics: Metrics, random: Random) -> None:
        """Set up empty counts, which each flush sends to ``metrics``."""
        self._metrics = metrics
        self._random = random
        self._counts: Counter[str] = Counter()
        self._latencies_observed = 0
        self._reservoir: list[float] = []

    def observe(self, inner: CallHandler) -> CallHandler:
        """Return a handler that records the outcomes of the inner handler."""

        async def run(
            request: CallRequest, body: Body
        ) -> Result[Answer, Refusal]:
            started = time.perf_counter()
            outcome = await inner(request, body)
            self._record_outcome(outcome, time.perf_counter() - started)
            return outcome

        return run

    def flush(self) -> None:
        """Send and reset what was recorded since the last flush."""
        for name, amount in self._counts.items():
            self._metrics.count(name, amount)
        self._counts.clear()
        latencies = sorted(self._reservoir)
        for name, quantile in _QUANTILES.items():
            if latencies:
                index = int(quantile * (len(latencies) - 1))
                self._metrics.gauge(f'calls.latency_{name}', latencies[index])
        self._reservoir.clear()
        self._latencies_observed = 0

    def _record_outcome(
        self, outcome: Result[Answer, Refusal], seconds: float
    ) -> None:
        if isinstance(outcome, Ok):
            self._counts['calls.answered'] += 1
            self._sample_latency(seconds * _MILLISECONDS_PER_SECOND)
            return
        refusal = outcome.err_value
        self._counts[f'calls.refused.{refusal.reason}'] += 1
        self._counts[f'calls.executed.{refusal.executed}'] += 1

    def _sample_latency(self, milliseconds: float) -> None:
        """Keep each latency with equal probability (reservoir sampling)."""
        self._latencies_observed += 1
        if len(self._reservoir) < RESERVOIR_SIZE:
            self._reservoir.append(milliseconds)
            return
        index = int(self._random.random() * self._latencies_observed)
        if index < RESERVOIR_SIZE:
            self._reservoir[index] = milliseconds
