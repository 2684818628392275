"""Load balancing over gates.

A gate is the admission control in front of the upstreams of one endpoint. The
sender estimates the load of each gate from its answers and failures.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from wagtailline.calls import Answer, Refusal
from wagtailline.objects import Endpoint
from wagtailline.ports import Clock
from wagtailline.routing._candidates import Candidates

# The weight of a reported load or a failure halves after this time.
HALF_LIFE_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
# Subtracted from the score of the local gate: a call to it saves the network
# hop between daemons.
LOCAL_GATE_BONUS = 0.1
INITIAL_SPILLOVER_CALLS = 4
MAX_SPILLOVER_CALLS = 256
_MILLISECONDS_PER_SECOND = 1000
_UNREACHABLE = frozenset(('gate_unreachable', 'connection_lost'))


class _GateState:
    """Load estimate and backoff of one gate, as the sender observes them."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.backoff_until = float(0)
        self._load = float(0)
        self._failures = float(0)
        self._decayed_at = float(0)
        self._refusals = 0

    def score(self, endpoint: Endpoint, now: float) -> float:
        """Return the estimated cost of a call to this gate; lower is better."""
        decayed = (self._load + self._failures) * self._decay_factor(now)
        return decayed + self.in_flight / endpoint.slots

    def record_answer(self, load: float, now: float) -> None:
        self._decay(now)
        self._load = load
        self._refusals = 0
        self.backoff_until = now

    def record_failure(self, now: float) -> None:
        self._decay(now)
        self._failures += 1

    def back_off(self, min_seconds: float, now: float, random: Random) -> None:
        """Start a backoff that doubles with each consecutive refusal.

        The delay is varied at random by up to half in either direction.
        """
        self._decay(now)
        base = max(min_seconds, MIN_BACKOFF_SECONDS * 2**self._refusals)
        jitter = 0.5 + random.random()
        delay = min(base * jitter, MAX_BACKOFF_SECONDS)
        self.backoff_until = now + delay
        # At this exponent the delay is already limited by its maximum.
        self._refusals = min(self._refusals + 1, 6)

    def _decay_factor(self, now: float) -> float:
        return float(0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS))

    def _decay(self, now: float) -> None:
        factor = self._decay_factor(now)
        self._load *= factor
        self._failures *= factor
        self._decayed_at = now


class _SpilloverWindow:
    """Concurrency limit for the calls of a service to another data centre.

    The limit grows by one with each answer and is halved by a refusal, so
    that a service that fails in one data centre does not overload the next.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self._limit = float(INITIAL_SPILLOVER_CALLS)

    @property
    def is_open(self) -> bool:
        return self.in_flight < self._limit

    def grow(self) -> None:
        self._limit = min(self._limit + 1, MAX_SPILLOVER_CALLS)

    def shrink(self) -> None:
        self._limit = max(self._limit / 2, 1)


class _Selection(NamedTuple):
    """Conditions that a gate must meet to be chosen for an attempt."""

    tried: frozenset[str]
    now: float
    admits: Callable[[Endpoint], bool]


class GateBalancer:
    """Load balancer that chooses the gate for each attempt of a call."""

    def __init__(self, clock: Clock, random: Random, data_centre: str) -> None:
        """Start with no observations; ``data_centre`` is the local one."""
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._states: dict[str, _GateState] = {}
        self._windows: dict[tuple[str, str], _SpilloverWindow] = {}

    def choose(
        self, candidates: Candidates, tried: frozenset[str]
    ) -> Endpoint | None:
        """Return the gate for the next attempt, None if there is none.

        Gates in the local data centre are preferred, then those in its
        region. Gates in ``tried`` are excluded; a gate in backoff is used
        only if no other gate is available.
        """
        # Spillover is what overflows from gates in the local data centre;
        # without such gates, calls to other data centres are not limited.
        admits = _admit_all
        if candidates.same_data_centre:
            admits = self._has_spillover_capacity
        selection = _Selection(tried, self._clock.monotonic(), admits)
        for group in candidates[1:]:
            chosen = self._choose_in_group(group, candidates.local, selection)
            if chosen is not None:
                return chosen
        return self._choose_in_backoff(candidates, selection)

    def record_start(self, endpoint: Endpoint) -> None:
        """Count an attempt that is about to be sent."""
        self._state(endpoint).in_flight += 1
        if endpoint.data_centre != self._data_centre:
            self._window(endpoint).in_flight += 1

    def record_end(
        self, endpoint: Endpoint, outcome: Answer | Refusal | None
    ) -> None:
        """Record the outcome of an attempt.

        None stands for an outcome that says nothing about the gate, such as
        a cancelled attempt.
        """
        self._state(endpoint).in_flight -= 1
        if endpoint.data_centre != self._data_centre:
            self._record_spillover_end(endpoint, outcome)
        now = self._clock.monotonic()
        match outcome:
            case Answer():
                self._state(endpoint).record_answer(outcome.load, now)
            case Refusal():
                self._record_refusal(endpoint, outcome, now)

    def retain(self, names: frozenset[str]) -> None:
        """Drop the state of idle gates that are not among the names."""
        for name in tuple(self._states):
            if name not in names and not self._states[name].in_flight:
                self._states.pop(name)

    def _record_refusal(
        self, endpoint: Endpoint, refusal: Refusal, now: float
    ) -> None:
        state = self._state(endpoint)
        if refusal.executed == 'unknown':
            state.record_failure(now)
        if refusal.executed == 'no' or refusal.reason in _UNREACHABLE:
            min_seconds = refusal.retry_after_ms / _MILLISECONDS_PER_SECOND
            state.back_off(min_seconds, now, self._random)

    def _record_spillover_end(
        self, endpoint: Endpoint, outcome: Answer | Refusal | None
    ) -> None:
        window = self._window(endpoint)
        window.in_flight -= 1
        match outcome:
            case Answer():
                window.grow()
            case Refusal():
                window.shrink()

    def _choose_in_group(
        self,
        group: tuple[Endpoint, ...],
        local: Endpoint | None,
        selection: '_Selection',
    ) -> Endpoint | None:
        """Return the better of two sampled gates, or any available one."""
        best: Endpoint | None = None
        best_score = float('inf')
        for endpoint in self._sample_two(group, local):
            if self._is_available(endpoint, selection):
                score = self._state(endpoint).score(endpoint, selection.now)
                score -= LOCAL_GATE_BONUS * (endpoint is local)
                if score < best_score:
                    best, best_score = endpoint, score
        if best is not None:
            return best
        return self._choose_available(group, selection)

    def _sample_two(
        self, group: tuple[Endpoint, ...], local: Endpoint | None
    ) -> Iterator[Endpoint]:
        if local is not None and local in group:
            yield local
        elif group:
            yield self._random.choice(group)
        if len(group) > 1:
            yield self._random.choice(group)

    def _choose_available(
        self, group: tuple[Endpoint, ...], selection: '_Selection'
    ) -> Endpoint | None:
        available = [
            endpoint
            for endpoint in group
            if self._is_available(endpoint, selection)
        ]
        return self._random.choice(available) if available else None

    def _is_available(
        self, endpoint: Endpoint, selection: '_Selection'
    ) -> bool:
        if endpoint.name in selection.tried:
            return False
        state = self._states.get(endpoint.name)
        if state is not None and state.backoff_until > selection.now:
            return False
        return selection.admits(endpoint)

    def _choose_in_backoff(
        self, candidates: Candidates, selection: '_Selection'
    ) -> Endpoint | None:
        """Return the gate whose backoff ends first.

        Otherwise a service whose gates have all refused a call would get no
        calls during the backoff, even if some of them have recovered.
        """
        return min(
            (
                endpoint
                for group in candidates[1:]
                for endpoint in group
                if endpoint.name not in selection.tried
                and selection.admits(endpoint)
            ),
            key=lambda endpoint: self._state(endpoint).backoff_until,
            default=None,
        )

    def _has_spillover_capacity(self, endpoint: Endpoint) -> bool:
        return (
            endpoint.data_centre == self._data_centre
            or self._window(endpoint).is_open
        )

    def _state(self, endpoint: Endpoint) -> _GateState:
        state = self._states.get(endpoint.name)
        if state is None:
            state = _GateState()
            self._states[endpoint.name] = state
        return state

    def _window(self, endpoint: Endpoint) -> _SpilloverWindow:
        identity = endpoint.service, endpoint.data_centre
        window = self._windows.get(identity)
        if window is None:
            window = _SpilloverWindow()
            self._windows[identity] = window
        return window


def _admit_all(endpoint: Endpoint) -> bool:
    return True
