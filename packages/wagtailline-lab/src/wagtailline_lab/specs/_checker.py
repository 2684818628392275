"""Runs a specification and returns the verdict with its trace."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol, cast

import minicheck

Invariant = Callable[[Any], bool]
Step = tuple[str, Any]


class Specification(Protocol):
    """A finite state machine with invariants on its states."""

    def initial(self) -> Any:
        """Return the first state, a NamedTuple of hashable fields."""

    def steps(self, state: Any) -> list[Step]:
        """Return the labelled states that follow a state."""

    def invariants(self) -> Mapping[str, Invariant]:
        """Return what has to be true of every reachable state."""


class Verdict(NamedTuple):
    """Result of a check.

    ``violated`` names the first invariant found false and ``trace`` lists
    the shortest sequence of steps to it. ``exhaustive`` is false when the
    search stopped at its bound or at a violation.
    """

    states: int
    exhaustive: bool
    violated: str = ''
    trace: tuple[str, ...] = ()


def check(specification: Specification, max_states: int) -> Verdict:
    """Search all states up to the bound; stop at the first violation."""
    search = _Search(specification)
    first = specification.initial()
    model = minicheck.Protocol(
        name=type(specification).__name__,
        candidate=False,
        fields=('state',),
        initial=(first,),
        transitions=search.transitions,
        invariants={
            name: search.watch(test)
            for name, test in specification.invariants().items()
        },
    )
    return _verdict(
        cast(Mapping[str, Any], minicheck.check_safety(model, max_states)),
        stopped=search.stopped,
    )


class _Search:
    """Ends the search at a violation, which minicheck itself does not."""

    def __init__(self, specification: Specification) -> None:
        self.stopped = False
        self._specification = specification

    def transitions(self, fields: tuple[Any]) -> list[tuple[str, tuple[Any]]]:
        if self.stopped:
            return []
        return [
            (label, (following,))
            for label, following in self._specification.steps(fields[0])
        ]

    def watch(self, test: Invariant) -> Callable[[Mapping[str, Any]], bool]:
        def watched(fields: Mapping[str, Any]) -> bool:
            kept = test(fields['state'])
            self.stopped = self.stopped or not kept
            return kept

        return watched


def _verdict(report: Mapping[str, Any], *, stopped: bool) -> Verdict:
    states: int = report['reachable_states']
    for name, found in report['properties'].items():
        if found['holds'] is False:
            trace = tuple(step['label'] for step in found['counterexample'][1:])
            return Verdict(states, exhaustive=False, violated=name, trace=trace)
    return Verdict(
        states, exhaustive=bool(report['exhaustive']) and not stopped
    )
