"""Calls that upstreams make while they run requests, per run.

A run that is retried makes its calls again, so a retry costs the services that
are called, too. The daemon beside an upstream counts its calls, and its gate
names them in its answers.
"""

import functools
from collections.abc import Mapping
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from wagtailline.calls import Answer, Body, CallHandler, CallRequest, Refusal
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import drop_headers

# Runs and calls are counted with weights that fall by half in this time.
_HALF_LIFE_SECONDS = 5.0
_UPDATE_SECONDS = 1.0
_DECIMALS = 2
# Weight of a report in the average over the upstreams of a service.
_SMOOTHING_FACTOR = 0.2
# Largest number of calls per run that a report may name.
_MAX_CALLS_PER_RUN = 1000
# Reports that are decoded once, however often they come.
_MAX_DECODED = 256


_Ratio = Annotated[float, msgspec.Meta(ge=0, le=_MAX_CALLS_PER_RUN)]


class NestedCalls:
    """Calls of the local upstream, by called service."""

    def __init__(self, clock: MonotonicClock) -> None:
        """Set up counts of an upstream that has run nothing yet."""
        self._clock = clock
        self._runs = float(0)
        self._calls: dict[str, float] = {}
        self._updated_at = float('-inf')
        self._report = b''

    def record_run(self) -> None:
        """Count a run of a client's request that was answered."""
        self._runs += 1

    def record_call(self, service: str) -> None:
        """Count a call that the local upstream makes."""
        self._calls[service] = self._calls.get(service, 0) + 1

    def report(self) -> bytes:
        """Return the calls per run, empty if there are none.

        It changes at most once a second.
        """
        now = self._clock.monotonic()
        if now - self._updated_at >= _UPDATE_SECONDS:
            self._update(now)
        return self._report

    def _update(self, now: float) -> None:
        runs = max(self._runs, 1)
        ratios = {
            service: round(calls / runs, _DECIMALS)
            for service, calls in self._calls.items()
        }
        named = {service: ratio for service, ratio in ratios.items() if ratio}
        self._report = msgspec.json.encode(named) if named else b''
        elapsed_seconds = now - self._updated_at
        weight = 0.5 ** (elapsed_seconds / _HALF_LIFE_SECONDS)
        self._updated_at = now
        self._runs *= weight
        self._calls = {
            service: self._calls[service] * weight for service in named
        }


class CallReporter:
    """Call handler that names the calls per run in the answers of a gate."""

    def __init__(
        self, gate: CallHandler, calls: NestedCalls, names: HeaderNames
    ) -> None:
        """Set up a handler that runs all calls at ``gate``."""
        self._gate = gate
        self._calls = calls
        self._names = names

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run a call; only those of clients count as runs that make calls."""
        outcome = await self._gate(request, body)
        if isinstance(outcome, Err):
            return outcome
        # Only a daemon may name them.
        name = self._names.calls_per_run
        headers = drop_headers(outcome.ok_value.headers, (name,))
        if not request.depth:
            self._calls.record_run()
            report = self._calls.report()
            headers = ((name, report), *headers) if report else headers
        return Ok(outcome.ok_value._replace(headers=headers))


class CallRatios:
    """Calls per run of the upstreams of each service, as answers name them."""

    def __init__(self) -> None:
        """Know no calls."""
        self._ratios: dict[str, dict[str, float]] = {}

    def record(self, service: str, report: bytes) -> None:
        """Record what an answer of a service names, unless malformed."""
        reported = _decode(report)
        known = self._ratios.setdefault(service, dict(reported))
        for called in known.keys() | reported.keys():
            ratio = known.get(called, 0)
            known[called] = ratio + _SMOOTHING_FACTOR * (
                reported.get(called, 0) - ratio
            )

    def find(self, service: str) -> Mapping[str, float]:
        """Return the calls per run of a service, by called service."""
        return self._ratios.get(service, {})


@functools.lru_cache(_MAX_DECODED)
def _decode(report: bytes) -> Mapping[str, float]:
    try:
        return msgspec.json.decode(report, type=dict[str, _Ratio])
    except msgspec.MsgspecError:
        return {}
