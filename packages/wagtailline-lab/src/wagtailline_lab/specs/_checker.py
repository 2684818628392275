"""Checks a specification by explicit-state search with minicheck."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol, cast

import minicheck

Invariant = Callable[[Any], bool]
Step = tuple[str, Any]


class Specification(Protocol):
    """Finite state machine with invariants on its states."""

    def initial(self) -> Any:
        """Return the initial state, a NamedTuple of hashable fields."""

    def steps(self, state: Any) -> list[Step]:
        """Return the successors of a state, each with a label of its step."""

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the named predicates that hold in every reachable state."""


class Verdict(NamedTuple):
    """Result of a check.

    ``states`` counts the reachable states that were explored. ``violated``
    names the first invariant that is false in one of them, and ``trace`` has
    the labels of the shortest sequence of steps to that state. ``exhaustive``
    is false if the search stopped at its bound or at a violation.
    """

    states: int
    exhaustive: bool
    violated: str = ''
    trace: tuple[str, ...] = ()


def check(specification: Specification, max_states: int) -> Verdict:
    """Return the verdict of a search that stops at the first violation.

    The search explores at most ``max_states`` states.
    """
    search = _Search(specification)
    initial = specification.initial()
    model = minicheck.Protocol(
        name=type(specification).__name__,
        candidate=False,
        fields=('state',),
        initial=(initial,),
        transitions=search.transitions,
        invariants={
            name: search.watch(invariant)
            for name, invariant in specification.invariants().items()
        },
    )
    return _verdict(
        cast(Mapping[str, Any], minicheck.check_safety(model, max_states)),
        stopped=search.stopped,
    )


class _Search:
    """Search that ends at a violation; minicheck alone would continue."""

    def __init__(self, specification: Specification) -> None:
        self.stopped = False
        self._specification = specification

    def transitions(self, fields: tuple[Any]) -> list[tuple[str, tuple[Any]]]:
        if self.stopped:
            return []
        return [
            (label, (successor,))
            for label, successor in self._specification.steps(fields[0])
        ]

    def watch(
        self, invariant: Invariant
    ) -> Callable[[Mapping[str, Any]], bool]:
        def watched(fields: Mapping[str, Any]) -> bool:
            holds = invariant(fields['state'])
            self.stopped = self.stopped or not holds
            return holds

        return watched


def _verdict(report: Mapping[str, Any], *, stopped: bool) -> Verdict:
    states: int = report['reachable_states']
    for name, result in report['properties'].items():
        if result['holds'] is False:
            trace = tuple(
                step['label'] for step in result['counterexample'][1:]
            )
            return Verdict(states, exhaustive=False, violated=name, trace=trace)
    return Verdict(
        states, exhaustive=bool(report['exhaustive']) and not stopped
    )
