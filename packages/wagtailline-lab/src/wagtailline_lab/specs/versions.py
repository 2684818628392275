"""Specification of the version protocol (design page, sections 3.1 and 3.4).

A source publishes releases, which processes install. A release is an index of
``RELEASES``, pairs of a version and a digest; version 2 exists with two
digests, which is a fork. Every release published so far may arrive at any
process at any time, any number of times or never. This covers a stale or
forked source, and peers whose messages are lost, duplicated, delayed or
reordered. A process that has started or restarted first joins: it asks the
source and its peers for their releases and installs one of them.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

NO_RELEASE = -1
RELEASES = ((1, 'a'), (2, 'a'), (2, 'b'), (3, 'a'))


class Process(NamedTuple):
    """Process, with releases as indices of ``RELEASES``.

    ``answered`` states for each peer whether it has answered the join, and at
    the index of the process itself whether the source has. ``fetching`` are
    the releases whose content has been requested. ``join_release`` is the one
    to install at the end of the join, ``highest_answer`` the highest version
    in an answer to the join, ``highest_installed`` the highest version in
    force since the start.
    """

    answered: tuple[bool, ...]
    installed: int = NO_RELEASE
    fetching: frozenset[int] = frozenset()
    join_release: int = NO_RELEASE
    highest_answer: int = 0
    highest_installed: int = 0
    joined: bool = False


class State(NamedTuple):
    """Newest release of the source, number of restarts, and processes."""

    published: int
    restarts: int
    processes: tuple[Process, ...]


class VersionRules(NamedTuple):
    """Rules of the protocol; switching one off injects a fault.

    ``ignore_older``: a notice of a version that is not newer is ignored.
    ``check_at_install``: the versions are compared again when the content has
    arrived.
    ``take_newest``: a join installs the newest release of the answers.
    ``acknowledge_digest``: a process counts as up to date with the reported
    version only if it has the same digest.
    """

    ignore_older: bool = True
    check_at_install: bool = True
    take_newest: bool = True
    acknowledge_digest: bool = True


class VersionSpec:
    """Processes that read one source and answer their peers."""

    def __init__(
        self, rules: VersionRules, processes: int = 2, restarts: int = 1
    ) -> None:
        """Take the rules and the numbers of processes and restarts."""
        self._rules = rules
        self._initial_process = Process(answered=(False,) * processes)
        self._process_count = processes
        self._restarts = restarts

    def initial(self) -> State:
        """Return the state in which every process has started to join."""
        return State(0, 0, (self._initial_process,) * self._process_count)

    def steps(self, state: State) -> list[Step]:
        """Return all possible publications, deliveries and restarts."""
        next_steps: list[Step] = []
        if state.published + 1 < len(RELEASES):
            published = state._replace(published=state.published + 1)
            next_steps.append(('publish', published))
        for index, process in enumerate(state.processes):
            next_steps.extend(self._process_steps(state, index, process))
        return next_steps

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the guarantees for installed versions and for reports.

        A report of convergence states that a version is in force everywhere.
        """
        return {
            'no return to an older version': _never_downgraded,
            'a process joins with its newest answer': _has_newest_answer,
            'reports of convergence are true': self._is_report_true,
        }

    def _process_steps(
        self, state: State, index: int, process: Process
    ) -> list[Step]:
        if process.joined:
            next_steps = self._notice_steps(state, index, process)
        else:
            next_steps = self._join_steps(state, index, process)
        for release in sorted(process.fetching):
            content = process._replace(fetching=process.fetching - {release})
            arrived = self._install(content, release)
            label = f'install {RELEASES[release]} in process {index}'
            next_steps.append((label, _replace_process(state, index, arrived)))
        if state.restarts < self._restarts:
            restarted = _replace_process(state, index, self._initial_process)
            restarted = restarted._replace(restarts=state.restarts + 1)
            next_steps.append((f'restart process {index}', restarted))
        return next_steps

    def _notice_steps(
        self, state: State, index: int, process: Process
    ) -> list[Step]:
        return [
            (
                f'notice of {RELEASES[release]} to process {index}',
                _replace_process(
                    state,
                    index,
                    process._replace(fetching=process.fetching | {release}),
                ),
            )
            for release in range(state.published + 1)
            if self._is_newer(process, release) or not self._rules.ignore_older
        ]

    def _join_steps(
        self, state: State, index: int, process: Process
    ) -> list[Step]:
        next_steps = [
            (
                f'answer {release} of {responder} to process {index}',
                _replace_process(
                    state, index, self._add_answer(process, responder, release)
                ),
            )
            for responder, answered in enumerate(process.answered)
            if not answered
            for release in _possible_answers(state, index, responder)
        ]
        if process.join_release != NO_RELEASE:
            joined = self._install(
                process._replace(joined=True, join_release=NO_RELEASE),
                process.join_release,
            )
            next_steps.append(
                (
                    f'join of process {index}',
                    _replace_process(state, index, joined),
                )
            )
        return next_steps

    def _add_answer(
        self, process: Process, responder: int, release: int
    ) -> Process:
        answered = list(process.answered)
        answered[responder] = True
        changed = process._replace(answered=tuple(answered))
        if release == NO_RELEASE:
            return changed
        join_release = process.join_release
        newer = _version(release) > _version(join_release)
        if join_release == NO_RELEASE or (newer and self._rules.take_newest):
            join_release = release
        return changed._replace(
            join_release=join_release,
            highest_answer=max(process.highest_answer, _version(release)),
        )

    def _install(self, process: Process, release: int) -> Process:
        if self._rules.check_at_install and not self._is_newer(
            process, release
        ):
            return process
        return process._replace(
            installed=release,
            highest_installed=max(process.highest_installed, _version(release)),
        )

    def _is_newer(self, process: Process, release: int) -> bool:
        return _version(release) > _version(process.installed)

    def _is_report_true(self, state: State) -> bool:
        reports = {process.installed for process in state.processes}
        return all(
            _has_or_supersedes(process, reported)
            for reported in reports
            if reported != NO_RELEASE and self._all_acknowledge(state, reported)
            for process in state.processes
        )

    def _all_acknowledge(self, state: State, reported: int) -> bool:
        return all(
            self._acknowledges(process, reported) for process in state.processes
        )

    def _acknowledges(self, process: Process, reported: int) -> bool:
        if self._rules.acknowledge_digest:
            return _has_or_supersedes(process, reported)
        return _version(process.installed) >= _version(reported)


def _possible_answers(state: State, index: int, responder: int) -> list[int]:
    if responder == index:
        return list(range(state.published + 1))
    return [state.processes[responder].installed]


def _replace_process(state: State, index: int, process: Process) -> State:
    processes = list(state.processes)
    processes[index] = process
    return state._replace(processes=tuple(processes))


def _version(release: int) -> int:
    return 0 if release == NO_RELEASE else RELEASES[release][0]


def _has_or_supersedes(process: Process, reported: int) -> bool:
    installed_version = _version(process.installed)
    return (
        installed_version > _version(reported) or process.installed == reported
    )


def _never_downgraded(state: State) -> bool:
    return all(
        _version(process.installed) >= process.highest_installed
        for process in state.processes
    )


def _has_newest_answer(state: State) -> bool:
    return all(
        not process.joined
        or _version(process.installed) >= process.highest_answer
        for process in state.processes
    )
