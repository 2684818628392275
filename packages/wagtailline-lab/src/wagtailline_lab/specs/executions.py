"""Specification of at-most-once execution (design page, section 3.6).

A gate admits the calls that carry an idempotency key and records which keys
have run. The model has one key, the gate that owned the key at first (0) and
the gate that takes it over (1). The second gate represents the new owner
after a change of the published set, and the replacement of a vm that still
runs. The caller makes two calls with the key. Each call makes at most one
attempt at each gate, and an attempt may arrive at any time; with keys that
contain no creation time, at most ``RESEND_TICKS`` after the key's creation.
The clock of the caller differs from that of the gates by at most
``MAX_CLOCK_SKEW``. All times are in ticks.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

CONFIRMATION_TICKS = 1
MAX_CLOCK_SKEW = 1
RESEND_TICKS = 1
LAST_TICK = 3
NEVER = -10

UNSENT = 0
IN_FLIGHT = 1
REFUSED = 2
RAN = 3
UNKNOWN = 4


class Gate(NamedTuple):
    """Gate with the times of its ownership and its record of the key.

    ``since`` is the time of its restart or takeover, NEVER before that.
    ``confirmed`` is when it last received a confirmation that it owns the key.
    """

    since: int
    confirmed: int
    recorded: bool = False


class Call(NamedTuple):
    """Call of the caller with the status of its attempt at each gate.

    ``answered_not_run`` is set when the caller was told that the call did not
    run, ``wrong_for_key`` if an execution with the key had run by then.
    """

    attempts: tuple[int, int] = (UNSENT, UNSENT)
    answered_not_run: bool = False
    wrong_for_key: bool = False


class State(NamedTuple):
    """Time, key, gates and calls.

    ``created`` is the true creation time of the key and ``stated`` the one by
    the clock of the caller. ``restarts`` more restarts of gates may happen.
    """

    now: int
    stated: int
    created: int
    restarts: int
    executions: int
    gates: tuple[Gate, ...]
    calls: tuple[Call, ...]


class ExecutionRules(NamedTuple):
    """Rules of the protocol; switching one off injects a fault.

    ``require_confirmation``: a gate refuses calls with a key unless its
    ownership was confirmed recently.
    ``answer_unknown``: a gate answers 'unknown' for keys that are older than
    its start or takeover.
    ``add_confirmation_time``: the start or takeover counts as later by the
    time for which a confirmation of the former owner is valid.
    ``add_clock_skew``: it also counts as later by the maximum clock skew.
    ``wait_for_all_attempts``: the answer 'not run' is given for a call only
    if all of its attempts were refused.
    ``current_confirmations``: a source or peer that does not know of the
    takeover yet does not confirm the former owner.
    """

    require_confirmation: bool = True
    add_confirmation_time: bool = True
    add_clock_skew: bool = True
    answer_unknown: bool = True
    wait_for_all_attempts: bool = True
    current_confirmations: bool = True


class ExecutionSpec:
    """One key whose owner changes once."""

    not_run_covers_key = False

    def __init__(self, rules: ExecutionRules, *, timed: bool = True) -> None:
        """Take the rules and whether keys contain their creation time."""
        self._rules = rules
        self._timed = timed

    def initial(self) -> State:
        """Return the state before the key is created."""
        gates = Gate(NEVER, 0), Gate(NEVER, NEVER)
        return State(0, NEVER, NEVER, 1, 0, gates, (Call(), Call()))

    def steps(self, state: State) -> list[Step]:
        """Return all possible ticks, attempts, takeovers and answers."""
        next_steps: list[Step] = list(self._environment_steps(state))
        if state.created == NEVER:
            skews = range(-MAX_CLOCK_SKEW, MAX_CLOCK_SKEW + 1)
            for skew in skews:
                with_key = state._replace(
                    created=state.now, stated=state.now + skew
                )
                next_steps.append((f'create key, clock {skew:+}', with_key))
            return next_steps
        for index, call in enumerate(state.calls):
            next_steps.extend(self._call_steps(state, index, call))
        return [(label, _sort_calls(after)) for label, after in next_steps]

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the guarantees on executions and on the answer 'not run'."""
        return {
            'the key runs at most once': _runs_at_most_once,
            'not run is true for the call': _not_run_true_for_call,
        }

    def _environment_steps(self, state: State) -> Iterator[Step]:
        old_gate, new_gate = state.gates
        if state.now < LAST_TICK:
            yield 'tick', _tick(state)
        before_takeover = new_gate.since == NEVER
        if before_takeover:
            taken = Gate(state.now, state.now)
            yield 'takeover', state._replace(gates=(old_gate, taken))
        may_confirm = before_takeover or not self._rules.current_confirmations
        if may_confirm and old_gate.confirmed != state.now:
            confirmed = old_gate._replace(confirmed=state.now)
            yield 'confirm 0', state._replace(gates=(confirmed, new_gate))
        if state.restarts:
            yield from _restart_steps(state)

    def _call_steps(
        self, state: State, index: int, call: Call
    ) -> Iterator[Step]:
        for gate_index, attempt in enumerate(call.attempts):
            if attempt == UNSENT and not call.answered_not_run:
                sent = _set_attempt(state, index, gate_index, IN_FLIGHT)
                yield f'call {index} to gate {gate_index}', sent
            if attempt == IN_FLIGHT:
                yield (
                    f'gate {gate_index} refuses call {index}',
                    _set_attempt(state, index, gate_index, REFUSED),
                )
                yield from self._arrival_steps(state, index, gate_index)
        if REFUSED in call.attempts and not call.answered_not_run:
            if self._all_refused(call):
                answer = call._replace(
                    answered_not_run=True,
                    wrong_for_key=self.not_run_covers_key
                    and state.executions > 0,
                )
                yield (
                    f'answer not run to call {index}',
                    _replace_call(state, index, answer),
                )

    def _arrival_steps(
        self, state: State, index: int, gate_index: int
    ) -> Iterator[Step]:
        gate = state.gates[gate_index]
        label = f'call {index} arrives at gate {gate_index}'
        late = state.now > state.created + RESEND_TICKS
        if (gate_index == 1 and gate.since == NEVER) or (
            late and not self._timed
        ):
            return
        if gate.recorded or self._is_key_too_old(state, gate):
            yield label, _set_attempt(state, index, gate_index, UNKNOWN)
        elif self._is_confirmed(state, gate_index):
            ran = _set_attempt(state, index, gate_index, RAN)
            yield (
                f'{label} and runs',
                _replace_gate(
                    ran._replace(executions=state.executions + 1),
                    gate_index,
                    gate._replace(recorded=True),
                ),
            )

    def _is_confirmed(self, state: State, gate_index: int) -> bool:
        if gate_index == 1 or not self._rules.require_confirmation:
            return True
        age = state.now - state.gates[gate_index].confirmed
        return age < CONFIRMATION_TICKS

    def _is_key_too_old(self, state: State, gate: Gate) -> bool:
        if gate.since == NEVER or not self._rules.answer_unknown:
            return False
        limit = gate.since
        if self._rules.add_confirmation_time:
            limit += CONFIRMATION_TICKS
        if not self._timed:
            return state.now < limit + RESEND_TICKS
        if self._rules.add_clock_skew:
            limit += MAX_CLOCK_SKEW
        return state.stated < limit

    def _all_refused(self, call: Call) -> bool:
        if not self._rules.wait_for_all_attempts:
            return True
        return all(attempt in {UNSENT, REFUSED} for attempt in call.attempts)


class KeyClaimSpec(ExecutionSpec):
    """Variant in which 'not run' is a statement about the key.

    That statement is false if an earlier call with the key has run.
    """

    not_run_covers_key = True

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the invariant that a refused resend violates."""
        return {'not run is true for the key': _not_run_true_for_key}


def _tick(state: State) -> State:
    old_gate = state.gates[0]
    ticked = state._replace(now=state.now + 1)
    if old_gate.confirmed + CONFIRMATION_TICKS <= ticked.now:
        return _replace_gate(ticked, 0, old_gate._replace(confirmed=NEVER))
    return ticked


def _sort_calls(state: State) -> State:
    # The calls are interchangeable, so states that differ only in the order
    # of the calls are the same.
    return state._replace(calls=tuple(sorted(state.calls)))


def _restart_steps(state: State) -> Iterator[Step]:
    for gate_index, gate in enumerate(state.gates):
        if gate_index == 0 or gate.since != NEVER:
            fresh = Gate(state.now, gate.confirmed)
            after = _replace_gate(state, gate_index, fresh)
            yield (
                f'restart gate {gate_index}',
                after._replace(restarts=state.restarts - 1),
            )


def _set_attempt(
    state: State, index: int, gate_index: int, status: int
) -> State:
    call = state.calls[index]
    attempts = list(call.attempts)
    attempts[gate_index] = status
    return _replace_call(
        state, index, call._replace(attempts=(attempts[0], attempts[1]))
    )


def _replace_call(state: State, index: int, call: Call) -> State:
    calls = list(state.calls)
    calls[index] = call
    return state._replace(calls=tuple(calls))


def _replace_gate(state: State, gate_index: int, gate: Gate) -> State:
    gates = list(state.gates)
    gates[gate_index] = gate
    return state._replace(gates=tuple(gates))


def _runs_at_most_once(state: State) -> bool:
    return state.executions <= 1


def _not_run_true_for_call(state: State) -> bool:
    return not any(
        call.answered_not_run and RAN in call.attempts for call in state.calls
    )


def _not_run_true_for_key(state: State) -> bool:
    return not any(call.wrong_for_key for call in state.calls)
