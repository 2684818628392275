"""Specification of snapshots and their exchange while the source is restored.

An operator publishes versions to a source, and publishes the newest again when
the source was restored from an older copy, which begins an era. Daemons read
the source, also with an answer that was delayed, and take snapshots from one
another. A key is in versions below ``WITHDRAWN_IN``; a daemon may be asked to
prove it at any time.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

MAX_VERSION = 4
WITHDRAWN_IN = 4


class Published(NamedTuple):
    """State of the source: its order first, then the version that it holds."""

    era: int = 0
    number: int = 0
    version: int = 0


class Daemon(NamedTuple):
    """Snapshot of a daemon.

    ``order`` is the era and number of its revision, ``proved`` the count of
    publications that the source had acknowledged when it was read.
    ``highest_version`` is the highest one in force since the start.
    """

    order: tuple[int, int] = (0, 0)
    version: int = 0
    proved: int = 0
    highest_version: int = 0


class State(NamedTuple):
    """Source, answers of it that may still arrive, and daemons.

    ``newest`` is the last version that was published. ``acknowledged`` counts
    the publications, and ``withdrawn_at`` is its value at the withdrawal, or 0
    before; a withdrawal that was lost counts when it is published again.
    """

    source: Published
    past: frozenset[tuple[Published, int]]
    daemons: tuple[Daemon, ...]
    newest: int = 0
    acknowledged: int = 0
    withdrawn_at: int = 0
    restarts: int = 0


class RestoreRules(NamedTuple):
    """Rules of the snapshots; switching one off injects a fault.

    ``order_by_era``: revisions are ordered by era first.
    ``keep_version``: a lower version of a later era isn't put in force.
    """

    order_by_era: bool = True
    keep_version: bool = True


class RestoreSpec:
    """Daemons that follow one source, which is restored from its past."""

    def __init__(
        self,
        rules: RestoreRules,
        daemons: int = 2,
        restores: int = 2,
        restarts: int = 1,
    ) -> None:
        """Take the rules and the numbers of daemons, restores and restarts."""
        self._rules = rules
        self._daemon_count = daemons
        self._max_era = restores
        self._restarts = restarts

    def initial(self) -> State:
        """Return the state of a source with one version and new daemons."""
        source = Published(0, 1, 1)
        return State(
            source,
            frozenset(((source, 1),)),
            (Daemon(),) * self._daemon_count,
            newest=1,
            acknowledged=1,
        )

    def steps(self, state: State) -> list[Step]:
        """Return all publications, restores, readings and exchanges."""
        next_steps = self._source_steps(state)
        for index, daemon in enumerate(state.daemons):
            for published, acknowledged in sorted(state.past):
                read = self._apply(daemon, published, acknowledged)
                label = f'daemon {index} reads {published}'
                next_steps.append((label, _replace(state, index, read)))
            for peer in state.daemons:
                held = Published(*peer.order, peer.version)
                taken = self._apply(daemon, held, peer.proved)
                label = f'daemon {index} takes {held}'
                next_steps.append((label, _replace(state, index, taken)))
            if state.restarts < self._restarts:
                restarted = _replace(state, index, Daemon())
                restarted = restarted._replace(restarts=state.restarts + 1)
                next_steps.append((f'daemon {index} restarts', restarted))
        return next_steps

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the guarantees of versions in force and of proofs."""
        return {
            'no version goes back': _never_goes_back,
            'no proof of a withdrawn key': _proves_no_withdrawn_key,
            'what was just read is in force': self._follows_the_source,
        }

    def _source_steps(self, state: State) -> list[Step]:
        next_steps: list[Step] = []
        source = state.source
        if state.newest < MAX_VERSION:
            published = _publish(state, state.newest + 1)
            next_steps.append((f'publish {state.newest + 1}', published))
        if source.version < state.newest:
            again = _publish(state, state.newest)
            next_steps.append((f'publish {state.newest} again', again))
        if source.era < self._max_era:
            next_steps.extend(_restore(state))
        return next_steps

    def _apply(self, daemon: Daemon, read: Published, proved: int) -> Daemon:
        if not proved or self._is_older(read, daemon):
            return daemon
        version = read.version
        if self._rules.keep_version:
            version = max(version, daemon.version)
        return Daemon(
            (read.era, read.number),
            version,
            max(daemon.proved, proved),
            max(daemon.highest_version, version),
        )

    def _is_older(self, read: Published, daemon: Daemon) -> bool:
        if self._rules.order_by_era:
            return (read.era, read.number) < daemon.order
        return read.number < daemon.order[1]

    def _follows_the_source(self, state: State) -> bool:
        """Return whether a reading now puts the source's version in force."""
        return all(
            self._apply(daemon, state.source, state.acknowledged).version
            >= state.source.version
            for daemon in state.daemons
        )


def _publish(state: State, version: int) -> State:
    source = state.source._replace(
        number=state.source.number + 1, version=version
    )
    acknowledged = state.acknowledged + 1
    withdrawn_at = state.withdrawn_at
    if version >= WITHDRAWN_IN and not withdrawn_at:
        withdrawn_at = acknowledged
    return state._replace(
        source=source,
        past=state.past | {(source, acknowledged)},
        newest=version,
        acknowledged=acknowledged,
        withdrawn_at=withdrawn_at,
    )


def _restore(state: State) -> list[Step]:
    """Return the returns from each copy of the present era."""
    next_steps = []
    for copied, _ in sorted(state.past):
        if copied.era == state.source.era:
            source = copied._replace(era=copied.era + 1)
            restored = state._replace(
                source=source,
                past=state.past | {(source, state.acknowledged)},
            )
            if source.version < WITHDRAWN_IN:
                restored = restored._replace(withdrawn_at=0)
            next_steps.append((f'restore {copied}', restored))
    return next_steps


def _replace(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=tuple(daemons))


def _never_goes_back(state: State) -> bool:
    return all(
        daemon.version >= daemon.highest_version for daemon in state.daemons
    )


def _proves_no_withdrawn_key(state: State) -> bool:
    """Return whether none proves the key with what came after its withdrawal.

    A version that was published before may be proved by an earlier reading.
    """
    return all(
        daemon.version >= WITHDRAWN_IN
        or not state.withdrawn_at
        or daemon.proved < state.withdrawn_at
        for daemon in state.daemons
    )
