"""Acknowledgements, aggregated on their way up each reader's tree."""

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
# Reports of several children that arrive together go up as one.
GATHER_SECONDS = 0.05
# A child that acknowledged nothing for this time counts as a laggard. It
# covers two notices of a reader at rest.
REPORT_SECONDS = 8.0
# A child that has not acknowledged a notice by then is not chosen again.
ANSWER_SECONDS = 1.0
MAX_TREES = 6


class _Report(NamedTuple):
    aggregate: Aggregate
    at: float


class _Tree:
    def __init__(self) -> None:
        self.parent: str | None = None
        self.branches: dict[int, Branch] = {}
        self.relays: dict[int, str] = {}
        self.handed: dict[str, float] = {}
        self.reports: dict[str, _Report] = {}
        self.sent: Aggregate | None = None
        self.is_gathering = False


class Acknowledgements:
    """Keeps for each reader what the children reported."""

    def __init__(self, context: DistributionContext, tasks: TaskSet) -> None:
        """Begin without trees."""
        self._context = context
        self._tasks = tasks
        self._trees: dict[str, _Tree] = {}
        self._newest: VersionName | None = None

    def begin_notice(
        self, reader: str, parent: str | None, branches: list[Branch]
    ) -> None:
        """Note a notice: who gave it and whom it is passed on to."""
        tree = self._trees.setdefault(reader, _Tree())
        self._suspect_silent(tree)
        tree.parent = parent
        tree.branches = dict(enumerate(branches))
        tree.relays = {}
        if len(self._trees) > MAX_TREES:
            del self._trees[next(iter(self._trees))]
        self._gather(reader, tree, is_due=True)

    def record_relay(self, reader: str, index: int, endpoint: str) -> None:
        """Note the relay that took a branch."""
        tree = self._trees.get(reader)
        if tree is not None:
            tree.relays[index] = endpoint
            tree.handed.setdefault(endpoint, self._context.clock.monotonic())

    def record_version(self, name: VersionName) -> None:
        """Note a version that exists; members below it are laggards."""
        if self._newest is None or self._newest.version < name.version:
            self._newest = name

    def report_change(self) -> None:
        """Report again after the own version has changed."""
        for reader, tree in tuple(self._trees.items()):
            self._gather(reader, tree, is_due=False)

    async def receive(self, peer: Hello, message: Acknowledgement) -> None:
        """Take the report of a child."""
        tree = self._trees.get(message.reader)
        if tree is None:
            return
        tree.handed.pop(peer.endpoint, None)
        now = self._context.clock.monotonic()
        tree.reports[peer.endpoint] = _Report(message.aggregate, now)
        self._gather(message.reader, tree, is_due=False)

    def aggregate(self, reader: str) -> Aggregate:
        """Return what is known of the own part of a reader's tree."""
        own = self._context.versions.current_set.version
        newest = self._newest_version()
        parts = [
            Aggregate(own, 1, (Laggard(self._context.member.endpoint, own),))
        ]
        tree = self._trees.get(reader)
        if tree is not None:
            parts.extend(
                self._part(tree, index, branch)
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
        if self._newest is not None and versions.is_wanted(self._newest):
            return self._newest.version
        return versions.current_set.version

    def _part(self, tree: _Tree, index: int, branch: Branch) -> Aggregate:
        relay = tree.relays.get(index)
        report = tree.reports.get(relay) if relay is not None else None
        now = self._context.clock.monotonic()
        if report is not None and now - report.at < REPORT_SECONDS:
            return report.aggregate
        unknown = branch.members[:MAX_LAGGARDS]
        return Aggregate(
            0,
            len(branch.members),
            tuple(Laggard(endpoint, 0) for endpoint in unknown),
        )

    def _gather(self, reader: str, tree: _Tree, *, is_due: bool) -> None:
        if is_due:
            tree.sent = None
        if tree.parent is not None and not tree.is_gathering:
            tree.is_gathering = True
            self._tasks.spawn(self._send_later(reader, tree))

    async def _send_later(self, reader: str, tree: _Tree) -> None:
        await self._context.clock.sleep(GATHER_SECONDS)
        tree.is_gathering = False
        aggregate = self.aggregate(reader)
        if tree.parent is None or aggregate == tree.sent:
            return
        tree.sent = aggregate
        await self._context.links.send(
            tree.parent, Acknowledgement(reader, aggregate)
        )

    def _suspect_silent(self, tree: _Tree) -> None:
        limit = self._context.clock.monotonic() - ANSWER_SECONDS
        for endpoint, handed in tuple(tree.handed.items()):
            if handed < limit:
                self._context.topology.suspect(endpoint)
                del tree.handed[endpoint]


def _by_version(laggard: Laggard) -> tuple[int, str]:
    return laggard.version, laggard.endpoint
