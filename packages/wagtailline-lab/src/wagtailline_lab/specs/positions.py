"""Specification of endpoint ownership (design page, section 3.3).

The old owner of an endpoint and its successor, both running, ask
``PEER_COUNT`` other members to confirm that they own the endpoint. The
confirmation of a majority within the same tick is like a lease: it allows the
process to act for ``VALID_TICKS``, counted from before its request. Before
the successor acts, it also waits for that time, counted from the first of an
unbroken series of its confirmations. A peer knows of the successor once the
successor has asked it, and forgets it when it restarts. Partitions and pauses
are modelled as deliveries that do not happen.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

PEER_COUNT = 3
VALID_TICKS = 2


class Peer(NamedTuple):
    """Whether a peer knows the successor, and ticks until it may confirm."""

    knows_successor: bool = False
    wait_ticks: int = 0


class Confirmation(NamedTuple):
    """Request of an owner for confirmation, and the peers that confirmed."""

    asking: bool = False
    confirmed_by: frozenset[int] = frozenset()


class State(NamedTuple):
    """Requests and valid ticks of old and new owner, and state of the peers.

    ``new_wait`` is the rest of the wait of the successor in ticks.
    ``new_known`` is set at the first confirmation of the successor.
    ``restarts`` more restarts of peers may happen.
    """

    old: Confirmation
    old_valid: int
    new: Confirmation
    new_valid: int
    new_wait: int
    new_known: bool
    new_started: bool
    restarts: int
    peers: tuple[Peer, ...]


class PositionRules(NamedTuple):
    """Rules of the protocol; switching one off injects a fault.

    ``require_majority``: more than half of the peers have to confirm, not
    just one of them.
    ``wait_from_confirmation``: the wait of the successor is counted from its
    confirmation, not from its start.
    ``wait_after_restart``: a restarted peer does not confirm anything for the
    time in which a confirmation is valid.
    ``require_renewal``: the successor acts only while its own confirmation is
    valid, and starts the wait again after a gap, so that a peer that has
    forgotten the successor is told again before it confirms.
    """

    require_majority: bool = True
    wait_from_confirmation: bool = True
    wait_after_restart: bool = True
    require_renewal: bool = True


class PositionSpec:
    """One endpoint with an old owner and a successor."""

    def __init__(self, rules: PositionRules, restarts: int = 1) -> None:
        """Take the rules and the number of restarts of peers."""
        self._rules = rules
        self._restarts = restarts

    def initial(self) -> State:
        """Return the state before the start of the successor."""
        return State(
            old=Confirmation(),
            old_valid=0,
            new=Confirmation(),
            new_valid=0,
            new_wait=VALID_TICKS,
            new_known=False,
            new_started=False,
            restarts=self._restarts,
            peers=(Peer(),) * PEER_COUNT,
        )

    def steps(self, state: State) -> list[Step]:
        """Return all possible ticks, requests, confirmations and restarts."""
        next_steps: list[Step] = [('tick', self._tick(state))]
        if not state.new_started:
            next_steps.append(
                ('successor starts', state._replace(new_started=True))
            )
        for index, peer in enumerate(state.peers):
            next_steps.extend(self._peer_steps(state, index, peer))
        next_steps.append(
            ('old owner asks', state._replace(old=Confirmation(asking=True)))
        )
        if state.new_started:
            next_steps.append(
                (
                    'successor asks',
                    state._replace(new=Confirmation(asking=True)),
                )
            )
        if self._is_confirmed(state.old):
            confirmed = state._replace(
                old=Confirmation(), old_valid=VALID_TICKS
            )
            next_steps.append(('old owner is confirmed', confirmed))
        if self._is_confirmed(state.new):
            unbroken = state.new_valid > 0 or not self._rules.require_renewal
            if not state.new_known:
                unbroken = not self._rules.wait_from_confirmation
            confirmed = state._replace(
                new=Confirmation(),
                new_valid=VALID_TICKS,
                new_wait=state.new_wait if unbroken else VALID_TICKS,
                new_known=True,
            )
            next_steps.append(('successor is confirmed', confirmed))
        return next_steps

    def invariants(self) -> Mapping[str, Invariant]:
        """Return that two owners never act at the same time."""
        return {'at most one owner acts': self._at_most_one_acts}

    def _tick(self, state: State) -> State:
        counting = state.new_started
        if self._rules.wait_from_confirmation:
            counting = state.new_known
        return state._replace(
            old=Confirmation(),
            new=Confirmation(),
            old_valid=max(0, state.old_valid - 1),
            new_valid=max(0, state.new_valid - 1),
            new_wait=max(0, state.new_wait - int(counting)),
            peers=tuple(
                peer._replace(wait_ticks=max(0, peer.wait_ticks - 1))
                for peer in state.peers
            ),
        )

    def _peer_steps(
        self, state: State, index: int, peer: Peer
    ) -> Iterator[Step]:
        if state.new.asking:
            confirmed_by = state.new.confirmed_by
            if not peer.wait_ticks:
                confirmed_by = confirmed_by | {index}
            told = _replace_peer(
                state, index, peer._replace(knows_successor=True)
            )
            yield (
                f'peer {index} confirms the successor',
                told._replace(
                    new=state.new._replace(confirmed_by=confirmed_by)
                ),
            )
        if (
            state.old.asking
            and not peer.knows_successor
            and not peer.wait_ticks
        ):
            confirmed_by = state.old.confirmed_by | {index}
            yield (
                f'peer {index} confirms the old owner',
                state._replace(
                    old=state.old._replace(confirmed_by=confirmed_by)
                ),
            )
        if state.restarts:
            wait_ticks = VALID_TICKS if self._rules.wait_after_restart else 0
            restarted = _replace_peer(state, index, Peer(wait_ticks=wait_ticks))
            yield (
                f'peer {index} restarts',
                restarted._replace(restarts=state.restarts - 1),
            )

    def _is_confirmed(self, request: Confirmation) -> bool:
        needed = PEER_COUNT // 2 + 1 if self._rules.require_majority else 1
        return len(request.confirmed_by) >= needed

    def _at_most_one_acts(self, state: State) -> bool:
        new_acts = state.new_wait == 0
        if self._rules.require_renewal:
            new_acts = new_acts and state.new_valid > 0
        return not (state.old_valid and new_acts)


def _replace_peer(state: State, index: int, peer: Peer) -> State:
    peers = list(state.peers)
    peers[index] = peer
    return state._replace(peers=tuple(peers))
