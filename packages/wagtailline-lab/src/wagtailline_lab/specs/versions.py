"""Specification of the version protocol (design page, 3.1 and 3.4).

A release is an index of ``RELEASES``; two digests of version 2 make a fork.
Every release published so far may arrive at any process at any time, any
number of times or never. This covers a stale or forked source, and relays
whose messages are lost, duplicated, delayed or reordered.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

NOTHING = -1
RELEASES = ((1, 'a'), (2, 'a'), (2, 'b'), (3, 'a'))


class Process(NamedTuple):
    """One process, with releases as indices of ``RELEASES``.

    ``fetching`` are releases whose content is on its way, ``chosen`` the one
    to take at the end of the join, ``heard`` the highest version in an
    answer to the join, ``highest`` the highest version in force since the
    start. ``answered`` holds the peers that answered the join, and at the
    process's own index whether the source did.
    """

    answered: tuple[bool, ...]
    installed: int = NOTHING
    fetching: frozenset[int] = frozenset()
    chosen: int = NOTHING
    heard: int = 0
    highest: int = 0
    joined: bool = False


class State(NamedTuple):
    """The newest release of the source, and the processes."""

    published: int
    restarts: int
    processes: tuple[Process, ...]


class VersionRules(NamedTuple):
    """Guards of the protocol; each one off is a seeded fault.

    ``ignore_lower`` compares versions at a notice, ``check_at_install``
    again when the content has arrived, ``take_newest`` makes a join take the
    newest answer, ``acknowledge_digest`` counts a process as up to date only
    when its digest is the reported one.
    """

    ignore_lower: bool = True
    check_at_install: bool = True
    take_newest: bool = True
    acknowledge_digest: bool = True


class VersionSpec:
    """Processes that read one source, relay, restart and join."""

    def __init__(
        self, rules: VersionRules, processes: int = 2, restarts: int = 1
    ) -> None:
        """Check the given guards with a few processes and restarts."""
        self._rules = rules
        self._fresh = Process(answered=(False,) * processes)
        self._count = processes
        self._restarts = restarts

    def initial(self) -> State:
        """Return the state after the start of every process."""
        return State(0, 0, (self._fresh,) * self._count)

    def steps(self, state: State) -> list[Step]:
        """Return every publication, delivery, installation and restart."""
        found: list[Step] = []
        if state.published + 1 < len(RELEASES):
            published = state._replace(published=state.published + 1)
            found.append(('publish', published))
        for index, process in enumerate(state.processes):
            found.extend(self._process_steps(state, index, process))
        return found

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the promises to every process and to the operator."""
        return {
            'no return to an older version': _no_return,
            'a joined process holds what it heard of': _holds_heard,
            'in force everywhere is true': self._true_report,
        }

    def _process_steps(
        self, state: State, index: int, process: Process
    ) -> list[Step]:
        if process.joined:
            found = self._notices(state, index, process)
        else:
            found = self._join_steps(state, index, process)
        for release in sorted(process.fetching):
            content = process._replace(fetching=process.fetching - {release})
            arrived = self._install(content, release)
            label = f'install {RELEASES[release]} at {index}'
            found.append((label, _put(state, index, arrived)))
        if state.restarts < self._restarts:
            empty = _put(state, index, self._fresh)
            empty = empty._replace(restarts=state.restarts + 1)
            found.append((f'restart {index}', empty))
        return found

    def _notices(
        self, state: State, index: int, process: Process
    ) -> list[Step]:
        return [
            (
                f'notice of {RELEASES[release]} to {index}',
                _put(
                    state,
                    index,
                    process._replace(fetching=process.fetching | {release}),
                ),
            )
            for release in range(state.published + 1)
            if self._newer(process, release) or not self._rules.ignore_lower
        ]

    def _join_steps(
        self, state: State, index: int, process: Process
    ) -> list[Step]:
        found = [
            (
                f'answer {release} of {party} to {index}',
                _put(state, index, self._hear(process, party, release)),
            )
            for party, answered in enumerate(process.answered)
            if not answered
            for release in _answers(state, index, party)
        ]
        if process.chosen != NOTHING:
            joined = self._install(
                process._replace(joined=True, chosen=NOTHING), process.chosen
            )
            found.append((f'join of {index}', _put(state, index, joined)))
        return found

    def _hear(self, process: Process, party: int, release: int) -> Process:
        answered = list(process.answered)
        answered[party] = True
        changed = process._replace(answered=tuple(answered))
        if release == NOTHING:
            return changed
        chosen = process.chosen
        newer = _version(release) > _version(chosen)
        if chosen == NOTHING or (newer and self._rules.take_newest):
            chosen = release
        return changed._replace(
            chosen=chosen, heard=max(process.heard, _version(release))
        )

    def _install(self, process: Process, release: int) -> Process:
        if self._rules.check_at_install and not self._newer(process, release):
            return process
        return process._replace(
            installed=release,
            highest=max(process.highest, _version(release)),
        )

    def _newer(self, process: Process, release: int) -> bool:
        return _version(release) > _version(process.installed)

    def _true_report(self, state: State) -> bool:
        reports = {process.installed for process in state.processes}
        return all(
            _in_force(process, reported)
            for reported in reports
            if reported != NOTHING and self._acknowledged(state, reported)
            for process in state.processes
        )

    def _acknowledged(self, state: State, reported: int) -> bool:
        return all(
            self._acknowledges(process, reported) for process in state.processes
        )

    def _acknowledges(self, process: Process, reported: int) -> bool:
        if self._rules.acknowledge_digest:
            return _in_force(process, reported)
        return _version(process.installed) >= _version(reported)


def _answers(state: State, index: int, party: int) -> list[int]:
    if party == index:
        return list(range(state.published + 1))
    return [state.processes[party].installed]


def _put(state: State, index: int, process: Process) -> State:
    processes = list(state.processes)
    processes[index] = process
    return state._replace(processes=tuple(processes))


def _version(release: int) -> int:
    return 0 if release == NOTHING else RELEASES[release][0]


def _in_force(process: Process, reported: int) -> bool:
    held = _version(process.installed)
    return held > _version(reported) or process.installed == reported


def _no_return(state: State) -> bool:
    return all(
        _version(process.installed) >= process.highest
        for process in state.processes
    )


def _holds_heard(state: State) -> bool:
    return all(
        not process.joined or _version(process.installed) >= process.heard
        for process in state.processes
    )
