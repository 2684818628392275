"""Specification of who may act at an endpoint (design page, 3.3).

An occupant and its successor, both running, ask ``PEERS`` other members to
confirm that they hold the endpoint. Either may act for ``VALID`` ticks from
before the question that a majority has confirmed within the same tick. The
successor also waits out that time, counted from the first of an unbroken
series of confirmations, before it acts. A peer knows of the successor once
that has asked it, and forgets it when it restarts. Absent deliveries stand
for partitions and pauses.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

PEERS = 3
VALID = 2


class Peer(NamedTuple):
    """Whether a peer knows the successor, and ticks until it attests."""

    knows: bool = False
    quiet: int = 0


class Round(NamedTuple):
    """Question of an occupant, and who has agreed to it."""

    asking: bool = False
    agreed: frozenset[int] = frozenset()


class State(NamedTuple):
    """Questions, ticks for which they are confirmed, and the wait."""

    old: Round
    old_valid: int
    new: Round
    new_valid: int
    new_wait: int
    new_known: bool
    new_started: bool
    restarts: int
    peers: tuple[Peer, ...]


class PositionRules(NamedTuple):
    """Guards of the rule; each one off is a seeded fault.

    ``majority`` needs more than half of the peers, not any one of them;
    ``announce_first`` counts the wait from the successor's confirmation,
    not from its start; ``quiet_restart`` keeps a restarted peer from
    attesting for the time in which a confirmation is valid; ``renew`` lets
    the successor act only while its own confirmation is valid, and starts
    the wait again after a gap, so that a peer that has forgotten the
    successor is told again before it attests.
    """

    majority: bool = True
    announce_first: bool = True
    quiet_restart: bool = True
    renew: bool = True


class PositionSpec:
    """One endpoint with two occupants."""

    def __init__(self, rules: PositionRules, restarts: int = 1) -> None:
        """Check the given guards with some restarts of peers."""
        self._rules = rules
        self._restarts = restarts

    def initial(self) -> State:
        """Return the state before the start of the successor."""
        return State(
            old=Round(),
            old_valid=0,
            new=Round(),
            new_valid=0,
            new_wait=VALID,
            new_known=False,
            new_started=False,
            restarts=self._restarts,
            peers=(Peer(),) * PEERS,
        )

    def steps(self, state: State) -> list[Step]:
        """Return every tick, question, answer, restart and confirmation."""
        found: list[Step] = [('tick', self._tick(state))]
        if not state.new_started:
            found.append(('start', state._replace(new_started=True)))
        for index, peer in enumerate(state.peers):
            found.extend(self._peer_steps(state, index, peer))
        found.append(('old asks', state._replace(old=Round(asking=True))))
        if state.new_started:
            found.append(('new asks', state._replace(new=Round(asking=True))))
        if self._is_confirmed(state.old):
            confirmed = state._replace(old=Round(), old_valid=VALID)
            found.append(('old is confirmed', confirmed))
        if self._is_confirmed(state.new):
            unbroken = state.new_valid > 0 or not self._rules.renew
            if not state.new_known:
                unbroken = not self._rules.announce_first
            confirmed = state._replace(
                new=Round(),
                new_valid=VALID,
                new_wait=state.new_wait if unbroken else VALID,
                new_known=True,
            )
            found.append(('new is confirmed', confirmed))
        return found

    def invariants(self) -> Mapping[str, Invariant]:
        """Return that the endpoint never has two that act."""
        return {'only one occupant acts': self._one_acts}

    def _tick(self, state: State) -> State:
        counting = state.new_started
        if self._rules.announce_first:
            counting = state.new_known
        return state._replace(
            old=Round(),
            new=Round(),
            old_valid=max(0, state.old_valid - 1),
            new_valid=max(0, state.new_valid - 1),
            new_wait=max(0, state.new_wait - int(counting)),
            peers=tuple(
                peer._replace(quiet=max(0, peer.quiet - 1))
                for peer in state.peers
            ),
        )

    def _peer_steps(
        self, state: State, index: int, peer: Peer
    ) -> Iterator[Step]:
        if state.new.asking:
            agreed = state.new.agreed
            if not peer.quiet:
                agreed = agreed | {index}
            told = _put(state, index, peer._replace(knows=True))
            yield (
                f'peer {index} agrees to the new one',
                told._replace(new=state.new._replace(agreed=agreed)),
            )
        if state.old.asking and not peer.knows and not peer.quiet:
            agreed = state.old.agreed | {index}
            yield (
                f'peer {index} agrees to the old one',
                state._replace(old=state.old._replace(agreed=agreed)),
            )
        if state.restarts:
            quiet = VALID if self._rules.quiet_restart else 0
            restarted = _put(state, index, Peer(quiet=quiet))
            yield (
                f'peer {index} restarts',
                restarted._replace(restarts=state.restarts - 1),
            )

    def _is_confirmed(self, asked: Round) -> bool:
        needed = PEERS // 2 + 1 if self._rules.majority else 1
        return len(asked.agreed) >= needed

    def _one_acts(self, state: State) -> bool:
        new_acts = state.new_wait == 0
        if self._rules.renew:
            new_acts = new_acts and state.new_valid > 0
        return not (state.old_valid and new_acts)


def _put(state: State, index: int, peer: Peer) -> State:
    peers = list(state.peers)
    peers[index] = peer
    return state._replace(peers=tuple(peers))
