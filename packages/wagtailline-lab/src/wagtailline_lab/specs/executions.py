"""Specification of the at-most-once rule (design page, 3.6).

One key, its former gate (0) and the gate that takes over its position (1).
The second gate stands for the new owner after a change of the published
set, and for the replacement of a vm that still runs. The caller makes two
calls with the key; each call makes at most one attempt at each gate, and an
attempt may arrive at any time, for keys without a time at most
``RESEND_WINDOW`` after the key's creation. The clock of the caller differs
from that of the gates by at most ``CLOCK_DIFFERENCE``. All times are ticks.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

CONFIRMED_FOR = 1
CLOCK_DIFFERENCE = 1
RESEND_WINDOW = 1
HORIZON = 3
NEVER = -10

UNSENT = 0
IN_FLIGHT = 1
REFUSED = 2
RAN = 3
UNKNOWN = 4


class Gate(NamedTuple):
    """A gate; ``since`` is its start or takeover, NEVER before that.

    ``confirmed`` is when it last learned that it holds the position.
    """

    since: int
    confirmed: int
    recorded: bool = False


class Call(NamedTuple):
    """A caller's call with the state of its attempt at each gate."""

    attempts: tuple[int, int] = (UNSENT, UNSENT)
    answered_no: bool = False
    false_for_key: bool = False


class State(NamedTuple):
    """True time, the key's stated and true creation, gates and calls."""

    now: int
    stated: int
    created: int
    restarts: int
    executions: int
    gates: tuple[Gate, ...]
    calls: tuple[Call, ...]


class ExecutionRules(NamedTuple):
    """Guards of the rule; each one off is a seeded fault.

    ``confirm`` refuses keyed calls without a recent confirmation;
    ``wait_confirmation`` adds its validity to the takeover time;
    ``allow_clocks`` adds the clock difference;
    ``treat_unknown`` answers unknown for keys older than the gate;
    ``settle_attempts`` answers 'not run' for a call only when all of its
    attempts were refused;
    ``current_confirmations`` rules out a confirmation by a source or a peer
    that does not know of the takeover yet.
    """

    confirm: bool = True
    wait_confirmation: bool = True
    allow_clocks: bool = True
    treat_unknown: bool = True
    settle_attempts: bool = True
    current_confirmations: bool = True


class ExecutionSpec:
    """One key at a position that changes its gate once."""

    for_key = False

    def __init__(self, rules: ExecutionRules, *, timed: bool = True) -> None:
        """Check the given guards with keys with or without a time."""
        self._rules = rules
        self._timed = timed

    def initial(self) -> State:
        """Return the state before the key exists."""
        gates = Gate(NEVER, 0), Gate(NEVER, NEVER)
        return State(0, NEVER, NEVER, 1, 0, gates, (Call(), Call()))

    def steps(self, state: State) -> list[Step]:
        """Return every tick, attempt, restart, takeover and answer."""
        found: list[Step] = list(self._environment(state))
        if state.created == NEVER:
            skews = range(-CLOCK_DIFFERENCE, CLOCK_DIFFERENCE + 1)
            for skew in skews:
                made = state._replace(
                    created=state.now, stated=state.now + skew
                )
                found.append((f'create key, clock {skew:+}', made))
            return found
        for index, call in enumerate(state.calls):
            found.extend(self._call_steps(state, index, call))
        return [(label, _in_order(after)) for label, after in found]

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the promises on executions and on 'not run'."""
        return {
            'the key runs at most once': _runs_once,
            'not run is true for the call': _true_for_call,
        }

    def _environment(self, state: State) -> Iterator[Step]:
        former, latter = state.gates
        if state.now < HORIZON:
            yield 'tick', _tick(state)
        not_taken = latter.since == NEVER
        if not_taken:
            taken = Gate(state.now, state.now)
            yield 'takeover', state._replace(gates=(former, taken))
        current = not_taken or not self._rules.current_confirmations
        if current and former.confirmed != state.now:
            confirmed = former._replace(confirmed=state.now)
            yield 'confirm 0', state._replace(gates=(confirmed, latter))
        if state.restarts:
            yield from _restarts(state)

    def _call_steps(
        self, state: State, index: int, call: Call
    ) -> Iterator[Step]:
        for number, attempt in enumerate(call.attempts):
            if attempt == UNSENT and not call.answered_no:
                sent = _attempt(state, index, number, IN_FLIGHT)
                yield f'call {index} to gate {number}', sent
            if attempt == IN_FLIGHT:
                yield (
                    f'gate {number} refuses call {index}',
                    _attempt(state, index, number, REFUSED),
                )
                yield from self._arrival(state, index, number)
        if REFUSED in call.attempts and not call.answered_no:
            if self._settled(call):
                answer = call._replace(
                    answered_no=True,
                    false_for_key=self.for_key and state.executions > 0,
                )
                yield (
                    f'not run to call {index}',
                    _put_call(state, index, answer),
                )

    def _arrival(self, state: State, index: int, number: int) -> Iterator[Step]:
        gate = state.gates[number]
        label = f'call {index} arrives at gate {number}'
        late = state.now > state.created + RESEND_WINDOW
        if (number == 1 and gate.since == NEVER) or (late and not self._timed):
            return
        if gate.recorded or self._is_unknown(state, gate):
            yield label, _attempt(state, index, number, UNKNOWN)
        elif self._is_confirmed(state, number):
            ran = _attempt(state, index, number, RAN)
            yield (
                f'{label} and runs',
                _put_gate(
                    ran._replace(executions=state.executions + 1),
                    number,
                    gate._replace(recorded=True),
                ),
            )

    def _is_confirmed(self, state: State, number: int) -> bool:
        if number == 1 or not self._rules.confirm:
            return True
        age = state.now - state.gates[number].confirmed
        return age < CONFIRMED_FOR

    def _is_unknown(self, state: State, gate: Gate) -> bool:
        if gate.since == NEVER or not self._rules.treat_unknown:
            return False
        limit = gate.since
        if self._rules.wait_confirmation:
            limit += CONFIRMED_FOR
        if not self._timed:
            return state.now < limit + RESEND_WINDOW
        if self._rules.allow_clocks:
            limit += CLOCK_DIFFERENCE
        return state.stated < limit

    def _settled(self, call: Call) -> bool:
        if not self._rules.settle_attempts:
            return True
        return all(tried in {UNSENT, REFUSED} for tried in call.attempts)


class ClaimSpec(ExecutionSpec):
    """The same rule with 'not run' read as a statement on the key."""

    for_key = True

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the promise that a refused resend does not keep."""
        return {'not run is true for the key': _true_for_key}


def _tick(state: State) -> State:
    former = state.gates[0]
    ticked = state._replace(now=state.now + 1)
    if former.confirmed + CONFIRMED_FOR <= ticked.now:
        return _put_gate(ticked, 0, former._replace(confirmed=NEVER))
    return ticked


def _in_order(state: State) -> State:
    # The calls are alike, so their order makes no other state.
    return state._replace(calls=tuple(sorted(state.calls)))


def _restarts(state: State) -> Iterator[Step]:
    for number, gate in enumerate(state.gates):
        if number == 0 or gate.since != NEVER:
            fresh = Gate(state.now, gate.confirmed)
            after = _put_gate(state, number, fresh)
            yield (
                f'restart gate {number}',
                after._replace(restarts=state.restarts - 1),
            )


def _attempt(state: State, index: int, number: int, status: int) -> State:
    call = state.calls[index]
    attempts = list(call.attempts)
    attempts[number] = status
    return _put_call(
        state, index, call._replace(attempts=(attempts[0], attempts[1]))
    )


def _put_call(state: State, index: int, call: Call) -> State:
    calls = list(state.calls)
    calls[index] = call
    return state._replace(calls=tuple(calls))


def _put_gate(state: State, number: int, gate: Gate) -> State:
    gates = list(state.gates)
    gates[number] = gate
    return state._replace(gates=tuple(gates))


def _runs_once(state: State) -> bool:
    return state.executions <= 1


def _true_for_call(state: State) -> bool:
    return not any(
        call.answered_no and RAN in call.attempts for call in state.calls
    )


def _true_for_key(state: State) -> bool:
    return not any(call.false_for_key for call in state.calls)
