"""Counts calls and their latencies between two flushes."""

import time
from collections import Counter
from random import Random

from result import Ok, Result

from wagtailline.calls import Answer, Body, CallHandler, CallRequest, Refusal
from wagtailline_daemon.monitoring._metrics import Metrics

# Sending a datagram for each call would cost more than a tenth of the time
# that the whole path may add, so latencies are kept in a sample.
SAMPLE_SIZE = 512
_MILLISECONDS_PER_SECOND = 1000
_QUANTILES = {'p50': 0.5, 'p99': 0.99}


class CallMetrics:
    """Observes a call handler."""

    def __init__(self, metrics: Metrics, random: Random) -> None:
        """Send to the given metrics at each flush."""
        self._metrics = metrics
        self._random = random
        self._counts: Counter[str] = Counter()
        self._seen = 0
        self._sample: list[float] = []

    def observe(self, inner: CallHandler) -> CallHandler:
        """Return a handler that counts what the inner one returns."""

        async def run(
            request: CallRequest, body: Body
        ) -> Result[Answer, Refusal]:
            started = time.perf_counter()
            outcome = await inner(request, body)
            self._note(outcome, time.perf_counter() - started)
            return outcome

        return run

    def flush(self) -> None:
        """Send counts and quantiles since the last flush."""
        for name, amount in self._counts.items():
            self._metrics.count(name, amount)
        self._counts.clear()
        latencies = sorted(self._sample)
        for name, quantile in _QUANTILES.items():
            if latencies:
                index = int(quantile * (len(latencies) - 1))
                self._metrics.gauge(f'calls.latency_{name}', latencies[index])
        self._sample.clear()
        self._seen = 0

    def _note(self, outcome: Result[Answer, Refusal], seconds: float) -> None:
        if isinstance(outcome, Ok):
            self._counts['calls.answered'] += 1
            self._keep(seconds * _MILLISECONDS_PER_SECOND)
            return
        refusal = outcome.err_value
        self._counts[f'calls.refused.{refusal.reason}'] += 1
        self._counts[f'calls.executed.{refusal.executed}'] += 1

    def _keep(self, milliseconds: float) -> None:
        """Keep each latency with equal probability."""
        self._seen += 1
        if len(self._sample) < SAMPLE_SIZE:
            self._sample.append(milliseconds)
            return
        index = int(self._random.random() * self._seen)
        if index < SAMPLE_SIZE:
            self._sample[index] = milliseconds
