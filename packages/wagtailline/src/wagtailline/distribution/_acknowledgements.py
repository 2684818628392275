"""Acknowledgements of versions, aggregated up the tree of each reader."""

from heapq import nsmallest
from typing import NamedTuple

from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._tasks import TaskSet
from wagtailline.distribution._topology import Branch
from wagtailline.distribution.messages import (
    Acknowledgement,
    Aggregate,
    Laggard,
    VersionName,
)
from wagtailline.messages import Hello

MAX_LAGGARDS = 8
# Delay that merges reports of several children into one to the parent.
REPORT_DELAY_SECONDS = 0.05
# The members below a child without a report in this time count as laggards. It
# spans two notices that a reader sends when there are no changes.
REPORT_LIFETIME_SECONDS = 8.0
# A child that took a notice and did not report by this time becomes suspect, so
# that the next notice goes to another member of its branch first.
REPORT_TIMEOUT_SECONDS = 1.0
MAX_TREES = 6


class _Report(NamedTuple):
    aggregate: Aggregate
    received_at: float


class _Tree:
    def __init__(self) -> None:
        self.parent: str | None = None
        self.branches: dict[int, Branch] = {}
        self.relays: dict[int, str] = {}
        self.awaiting_since: dict[str, float] = {}
        self.reports: dict[str, _Report] = {}
        self.last_sent: Aggregate | None = None
        self.is_report_scheduled = False


class Acknowledgements:
    """Reports of the children of this member in the tree of each reader."""

    def __init__(self, context: DistributionContext, tasks: TaskSet) -> None:
        """Start without trees."""
        self._context = context
        self._tasks = tasks
        self._trees: dict[str, _Tree] = {}
        self._newest_known: VersionName | None = None

    def begin_notice(
        self, reader: str, parent: str | None, branches: list[Branch]
    ) -> None:
        """Record who sent a notice and the branches that it is forwarded to.

        The parent is None in the tree of this member. A report to the parent
        is scheduled even if it repeats the last one.
        """
        tree = self._trees.setdefault(reader, _Tree())
        self._suspect_silent_children(tree)
        tree.parent = parent
        tree.branches = dict(enumerate(branches))
        tree.relays = {}
        if len(self._trees) > MAX_TREES:
            del self._trees[next(iter(self._trees))]
        self._schedule_report(reader, tree, is_forced=True)

    def record_relay(self, reader: str, index: int, endpoint: str) -> None:
        """Record the member that accepted the notice for a branch."""
        tree = self._trees.get(reader)
        if tree is not None:
            tree.relays[index] = endpoint
            tree.awaiting_since.setdefault(
                endpoint, self._context.clock.monotonic()
            )

    def record_version(self, name: VersionName) -> None:
        """Record a version that exists; members below it are laggards."""
        if (
            self._newest_known is None
            or self._newest_known.version < name.version
        ):
            self._newest_known = name

    def report_change(self) -> None:
        """Schedule reports after the version of this member has changed."""
        for reader, tree in tuple(self._trees.items()):
            self._schedule_report(reader, tree, is_forced=False)

    async def receive(self, peer: Hello, message: Acknowledgement) -> None:
        """Record the report of a child."""
        tree = self._trees.get(message.reader)
        if tree is None:
            return
        tree.awaiting_since.pop(peer.endpoint, None)
        now = self._context.clock.monotonic()
        tree.reports[peer.endpoint] = _Report(message.aggregate, now)
        self._schedule_report(message.reader, tree, is_forced=False)

    def aggregate(self, reader: str) -> Aggregate:
        """Return the versions of this member and those below it in a tree."""
        own_version = self._context.versions.current_set.version
        newest = self._newest_version()
        parts = [
            Aggregate(
                own_version,
                1,
                (Laggard(self._context.member.endpoint, own_version),),
            )
        ]
        tree = self._trees.get(reader)
        if tree is not None:
            parts.extend(
                self._aggregate_branch(tree, index, branch)
                for index, branch in tree.branches.items()
            )
        laggards = (
            laggard
            for part in parts
            for laggard in part.laggards
            if laggard.version < newest
        )
        return Aggregate(
            min(part.lowest for part in parts),
            sum(part.members for part in parts),
            tuple(nsmallest(MAX_LAGGARDS, laggards, key=_by_version)),
        )

    def _newest_version(self) -> int:
        versions = self._context.versions
        if self._newest_known is not None and versions.is_wanted(
            self._newest_known
        ):
            return self._newest_known.version
        return versions.current_set.version

    def _aggregate_branch(
        self, tree: _Tree, index: int, branch: Branch
    ) -> Aggregate:
        relay = tree.relays.get(index)
        report = tree.reports.get(relay) if relay is not None else None
        now = self._context.clock.monotonic()
        if (
            report is not None
            and now - report.received_at < REPORT_LIFETIME_SECONDS
        ):
            return report.aggregate
        silent_members = branch.members[:MAX_LAGGARDS]
        return Aggregate(
            0,
            len(branch.members),
            tuple(Laggard(endpoint, 0) for endpoint in silent_members),
        )

    def _schedule_report(
        self, reader: str, tree: _Tree, *, is_forced: bool
    ) -> None:
        if is_forced:
            tree.last_sent = None
        if tree.parent is not None and not tree.is_report_scheduled:
            tree.is_report_scheduled = True
            self._tasks.spawn(self._send_report(reader, tree))

    async def _send_report(self, reader: str, tree: _Tree) -> None:
        await self._context.clock.sleep(REPORT_DELAY_SECONDS)
        tree.is_report_scheduled = False
        aggregate = self.aggregate(reader)
        if tree.parent is None or aggregate == tree.last_sent:
            return
        tree.last_sent = aggregate
        await self._context.links.send(
            tree.parent, Acknowledgement(reader, aggregate)
        )

    def _suspect_silent_children(self, tree: _Tree) -> None:
        threshold = self._context.clock.monotonic() - REPORT_TIMEOUT_SECONDS
        for endpoint, accepted_at in tuple(tree.awaiting_since.items()):
            if accepted_at < threshold:
                self._context.topology.suspect(endpoint)
                del tree.awaiting_since[endpoint]


def _by_version(laggard: Laggard) -> tuple[int, str]:
    return laggard.version, laggard.endpoint
