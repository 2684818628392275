"""What a sender knows of gates, and its choice between them."""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from wagtailline.calls import Answer, Refusal
from wagtailline.objects import Endpoint
from wagtailline.ports import Clock
from wagtailline.routing._candidates import Candidates

# After this time a reported load or a failure counts half.
HALF_LIFE_SECONDS = 2.0
MIN_AVOIDANCE_SECONDS = 0.1
MAX_AVOIDANCE_SECONDS = 5.0
# A call through the own gate saves the hop between daemons.
OWN_GATE_ADVANTAGE = 0.1
START_SPILL = 4
MAX_SPILL = 256
_MILLISECONDS = 1000
_UNREACHABLE = frozenset(('gate_unreachable', 'connection_lost'))


class _Gate:
    """What is known of one gate."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.avoided_until = float(0)
        self._load = float(0)
        self._failures = float(0)
        self._noted_at = float(0)
        self._refusals = 0

    def score(self, endpoint: Endpoint, now: float) -> float:
        """Return the cost of sending here; lower is better."""
        aged = (self._load + self._failures) * self._decay(now)
        return aged + self.in_flight / endpoint.slots

    def note_answer(self, load: float, now: float) -> None:
        self._age(now)
        self._load = load
        self._refusals = 0
        self.avoided_until = now

    def note_failure(self, now: float) -> None:
        self._age(now)
        self._failures += 1

    def avoid(self, seconds: float, now: float, random: Random) -> None:
        """Send nothing for a while, longer after each refusal in a row."""
        self._age(now)
        shortest = max(seconds, MIN_AVOIDANCE_SECONDS * 2**self._refusals)
        spread = 0.5 + random.random()
        chosen = min(shortest * spread, MAX_AVOIDANCE_SECONDS)
        self.avoided_until = now + chosen
        # Beyond this power the longest avoidance is reached.
        self._refusals = min(self._refusals + 1, 6)

    def _decay(self, now: float) -> float:
        return float(0.5 ** ((now - self._noted_at) / HALF_LIFE_SECONDS))

    def _age(self, now: float) -> None:
        decay = self._decay(now)
        self._load *= decay
        self._failures *= decay
        self._noted_at = now


class _SpillWindow:
    """Calls that may be in progress in another data centre.

    It grows with each answer and is halved by a refusal, so that a service
    that failed in one data centre does not overload the next one.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self._size = float(START_SPILL)

    @property
    def is_open(self) -> bool:
        return self.in_flight < self._size

    def grow(self) -> None:
        self._size = min(self._size + 1, MAX_SPILL)

    def shrink(self) -> None:
        self._size = max(self._size / 2, 1)


class _Choice(NamedTuple):
    """Conditions of one choice."""

    tried: frozenset[str]
    now: float
    admits: Callable[[Endpoint], bool]


class GateTable:
    """State of every gate that this daemon sends to."""

    def __init__(self, clock: Clock, random: Random, data_centre: str) -> None:
        """Know nothing of any gate."""
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._gates: dict[str, _Gate] = {}
        self._spills: dict[tuple[str, str], _SpillWindow] = {}

    def choose(
        self, candidates: Candidates, tried: frozenset[str]
    ) -> Endpoint | None:
        """Return the gate for the next attempt.

        The own data centre comes first, then its region. Gates that were
        tried are left out; those to avoid are used only when there is
        nothing else.
        """
        # Without gates in the own data centre there is nothing to spill.
        admits = _admit_all
        if candidates.data_centre:
            admits = self._admits
        choice = _Choice(tried, self._clock.monotonic(), admits)
        for group in candidates[1:]:
            found = self._better_of_two(group, candidates.own, choice)
            if found is not None:
                return found
        return self._least_avoided(candidates, choice)

    def begin(self, endpoint: Endpoint) -> None:
        """Note that a call is sent."""
        self._gate(endpoint).in_flight += 1
        if endpoint.data_centre != self._data_centre:
            self._spill(endpoint).in_flight += 1

    def end(self, endpoint: Endpoint, outcome: Answer | Refusal | None) -> None:
        """Note an outcome; None when the call was cancelled."""
        self._gate(endpoint).in_flight -= 1
        if endpoint.data_centre != self._data_centre:
            self._end_spill(endpoint, outcome)
        now = self._clock.monotonic()
        match outcome:
            case Answer():
                self._gate(endpoint).note_answer(outcome.load, now)
            case Refusal():
                self._note_refusal(endpoint, outcome, now)

    def forget_others(self, names: frozenset[str]) -> None:
        """Drop what is known of gates that are no longer published."""
        for name in tuple(self._gates):
            if name not in names and not self._gates[name].in_flight:
                self._gates.pop(name)

    def _note_refusal(
        self, endpoint: Endpoint, refusal: Refusal, now: float
    ) -> None:
        gate = self._gate(endpoint)
        if refusal.executed == 'unknown':
            gate.note_failure(now)
        if refusal.executed == 'no' or refusal.reason in _UNREACHABLE:
            seconds = refusal.retry_after_ms / _MILLISECONDS
            gate.avoid(seconds, now, self._random)

    def _end_spill(
        self, endpoint: Endpoint, outcome: Answer | Refusal | None
    ) -> None:
        spill = self._spill(endpoint)
        spill.in_flight -= 1
        match outcome:
            case Answer():
                spill.grow()
            case Refusal():
                spill.shrink()

    def _better_of_two(
        self,
        group: tuple[Endpoint, ...],
        own: Endpoint | None,
        choice: '_Choice',
    ) -> Endpoint | None:
        best: Endpoint | None = None
        best_score = float('inf')
        for endpoint in self._sample(group, own):
            if self._is_open(endpoint, choice):
                score = self._gate(endpoint).score(endpoint, choice.now)
                score -= OWN_GATE_ADVANTAGE * (endpoint is own)
                if score < best_score:
                    best, best_score = endpoint, score
        if best is not None:
            return best
        return self._any_open(group, choice)

    def _sample(
        self, group: tuple[Endpoint, ...], own: Endpoint | None
    ) -> Iterator[Endpoint]:
        if own is not None and own in group:
            yield own
        elif group:
            yield self._random.choice(group)
        if len(group) > 1:
            yield self._random.choice(group)

    def _any_open(
        self, group: tuple[Endpoint, ...], choice: '_Choice'
    ) -> Endpoint | None:
        is_open = [one for one in group if self._is_open(one, choice)]
        return self._random.choice(is_open) if is_open else None

    def _is_open(self, endpoint: Endpoint, choice: '_Choice') -> bool:
        if endpoint.name in choice.tried:
            return False
        gate = self._gates.get(endpoint.name)
        if gate is not None and gate.avoided_until > choice.now:
            return False
        return choice.admits(endpoint)

    def _least_avoided(
        self, candidates: Candidates, choice: '_Choice'
    ) -> Endpoint | None:
        """Return the gate whose avoidance ends first.

        Without this, a service whose gates all refused once would get no
        call although some have recovered.
        """
        return min(
            (
                endpoint
                for group in candidates[1:]
                for endpoint in group
                if endpoint.name not in choice.tried and choice.admits(endpoint)
            ),
            key=lambda endpoint: self._gate(endpoint).avoided_until,
            default=None,
        )

    def _admits(self, endpoint: Endpoint) -> bool:
        return (
            endpoint.data_centre == self._data_centre
            or self._spill(endpoint).is_open
        )

    def _gate(self, endpoint: Endpoint) -> _Gate:
        gate = self._gates.get(endpoint.name)
        if gate is None:
            gate = _Gate()
            self._gates[endpoint.name] = gate
        return gate

    def _spill(self, endpoint: Endpoint) -> _SpillWindow:
        identity = endpoint.service, endpoint.data_centre
        spill = self._spills.get(identity)
        if spill is None:
            spill = _SpillWindow()
            self._spills[identity] = spill
        return spill


def _admit_all(endpoint: Endpoint) -> bool:
    return True
