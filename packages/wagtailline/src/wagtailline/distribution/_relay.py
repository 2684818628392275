"""Sending and forwarding of notices about versions."""

import asyncio
from collections import OrderedDict

from wagtailline.distribution._acknowledgements import Acknowledgements
from wagtailline.distribution._catch_up import CatchUp
from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution._tasks import TaskSet
from wagtailline.distribution._topology import MAX_SCORE, Branch
from wagtailline.distribution.messages import HeadNotice, VersionName
from wagtailline.messages import Hello
from wagtailline.release import Delta
from wagtailline.snapshot import SnapshotStore

# Delay of a hedged send: if a member has not accepted a notice by then, the
# next member of its branch gets it too while the first attempt goes on.
HEDGE_SECONDS = 0.15
MAX_ATTEMPTS = 4
_MAX_SEEN_NOTICES = 64


class Relay:
    """Sender of this member's notices and forwarder of other readers' notices.

    A notice goes down the tree of its reader. A new version also goes to one
    reader of every other data centre.
    """

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        acknowledgements: Acknowledgements,
        catch_up: CatchUp,
        tasks: TaskSet,
    ) -> None:
        """Start the sequence numbers of notices at the member's incarnation."""
        self._context = context
        self._election = election
        self._acknowledgements = acknowledgements
        self._catch_up = catch_up
        self._tasks = tasks
        self._sequence = context.member.incarnation
        self._seen_notices: OrderedDict[tuple[str, int], None] = OrderedDict()

    async def receive(self, peer: Hello, notice: HeadNotice) -> None:
        """Install the deltas of a notice, then forward it."""
        self._election.record_contact(peer.endpoint, peer.data_centre)
        versions = self._context.versions
        if versions.is_wanted(notice.version):
            self._acknowledgements.record_version(notice.version)
            if notice.deltas:
                versions.accept_deltas(notice.deltas)
        if notice.path and self._record_if_new(notice):
            self._election.record_reader_notice(notice.path[0])
            path = (*notice.path, self._context.member.endpoint)
            self._forward(notice._replace(path=path), peer.endpoint)
        if versions.is_wanted(notice.version):
            self._catch_up.offer(peer.endpoint, notice.version)

    def announce(self, deltas: tuple[Delta, ...] = ()) -> None:
        """Send the version in force down the tree of this member."""
        self._send_down_tree(self._context.versions.name, deltas)

    def announce_rejected(
        self, name: VersionName, deltas: tuple[Delta, ...]
    ) -> None:
        """Send a rejected version, so that every process reports it."""
        self._send_down_tree(name, deltas)
        self._notify_data_centres(name, deltas)

    async def announce_installed(self, store: SnapshotStore) -> None:
        """Announce new versions while a reader; run until cancelled."""
        versions = self._context.versions
        while True:
            previous = versions.current_set
            await store.wait_for_newer(previous.version)
            self._acknowledgements.report_change()
            if self._election.is_reader:
                deltas = versions.delta_log.since(previous.digest)
                self.announce(deltas)
                self._notify_data_centres(versions.name, deltas)

    def _record_if_new(self, notice: HeadNotice) -> bool:
        notice_id = notice.path[0], notice.sequence
        if notice_id in self._seen_notices:
            return False
        self._seen_notices[notice_id] = None
        if len(self._seen_notices) > _MAX_SEEN_NOTICES:
            self._seen_notices.popitem(last=False)
        return True

    def _forward(self, notice: HeadNotice, parent: str | None) -> None:
        branches = self._context.topology.branches(
            notice.path, notice.low, notice.high
        )
        self._acknowledgements.begin_notice(notice.path[0], parent, branches)
        for index, branch in enumerate(branches):
            branch_notice = notice._replace(low=branch.low, high=branch.high)
            self._tasks.spawn(self._deliver(index, branch, branch_notice))

    async def _deliver(
        self, index: int, branch: Branch, notice: HeadNotice
    ) -> None:
        is_suspect = self._context.topology.is_suspect
        candidates = sorted(branch.members, key=is_suspect)
        for endpoint in candidates[:MAX_ATTEMPTS]:
            if await self._send_hedged(endpoint, notice):
                self._acknowledgements.record_relay(
                    notice.path[0], index, endpoint
                )
                return

    async def _send_hedged(self, endpoint: str, notice: HeadNotice) -> bool:
        sending = self._tasks.spawn(self._send(endpoint, notice))
        await asyncio.wait((sending,), timeout=HEDGE_SECONDS)
        return sending.done() and sending.result()

    async def _send(self, endpoint: str, notice: HeadNotice) -> bool:
        sent = await self._context.links.send(endpoint, notice)
        if sent.is_err():
            self._context.topology.suspect(endpoint)
        return sent.is_ok()

    def _send_down_tree(
        self, name: VersionName, deltas: tuple[Delta, ...]
    ) -> None:
        self._sequence += 1
        path = (self._context.member.endpoint,)
        notice = HeadNotice(name, path, self._sequence, 0, MAX_SCORE, deltas)
        self._forward(notice, None)

    def _notify_data_centres(
        self, name: VersionName, deltas: tuple[Delta, ...]
    ) -> None:
        notice = HeadNotice(name, (), 0, 0, 0, deltas)
        for data_centre in self._context.topology.data_centres():
            if data_centre != self._context.member.data_centre:
                self._tasks.spawn(self._notify_data_centre(data_centre, notice))

    async def _notify_data_centre(
        self, data_centre: str, notice: HeadNotice
    ) -> None:
        for endpoint in self._election.readers_of(data_centre):
            if await self._send(endpoint, notice):
                return
