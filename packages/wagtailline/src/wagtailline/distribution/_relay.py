"""Passes versions down the trees and between data centres."""

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

# A relay that has not accepted a notice by then is left to connect while the
# next member of its group gets the notice too.
HEDGE_SECONDS = 0.15
MAX_ATTEMPTS = 4
_REMEMBERED_NOTICES = 64


class Relay:
    """Sends notices as a reader, and passes on those of others."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        acknowledgements: Acknowledgements,
        catch_up: CatchUp,
        tasks: TaskSet,
    ) -> None:
        """Number the notices from the incarnation on."""
        self._context = context
        self._election = election
        self._acknowledgements = acknowledgements
        self._catch_up = catch_up
        self._tasks = tasks
        self._sequence = context.member.incarnation
        self._seen: OrderedDict[tuple[str, int], None] = OrderedDict()

    async def receive(self, peer: Hello, notice: HeadNotice) -> None:
        """Apply a notice, then pass it on."""
        self._election.record_contact(peer.endpoint, peer.data_centre)
        versions = self._context.versions
        if versions.is_wanted(notice.version):
            self._acknowledgements.record_version(notice.version)
            if notice.deltas:
                versions.accept_deltas(notice.deltas)
        if notice.path and self._is_new(notice):
            self._election.record_reader_notice(notice.path[0])
            path = (*notice.path, self._context.member.endpoint)
            self._pass_on(notice._replace(path=path), peer.endpoint)
        if versions.is_wanted(notice.version):
            self._catch_up.offer(peer.endpoint, notice.version)

    def announce(self, deltas: tuple[Delta, ...] = ()) -> None:
        """Send the version in force down the own tree."""
        self._send_down(self._context.versions.name, deltas)

    def announce_rejected(
        self, name: VersionName, deltas: tuple[Delta, ...]
    ) -> None:
        """Send a faulty version, so that every process reports it."""
        self._send_down(name, deltas)
        self._tell_data_centres(name, deltas)

    async def announce_installed(self, store: SnapshotStore) -> None:
        """Announce each new version while this is a reader; never ends."""
        versions = self._context.versions
        while True:
            former = versions.current_set
            await store.wait_newer(former.version)
            self._acknowledgements.report_change()
            if self._election.is_reader:
                deltas = versions.delta_log.since(former.digest)
                self.announce(deltas)
                self._tell_data_centres(versions.name, deltas)

    def _is_new(self, notice: HeadNotice) -> bool:
        identity = notice.path[0], notice.sequence
        if identity in self._seen:
            return False
        self._seen[identity] = None
        if len(self._seen) > _REMEMBERED_NOTICES:
            self._seen.popitem(last=False)
        return True

    def _pass_on(self, notice: HeadNotice, parent: str | None) -> None:
        branches = self._context.topology.branches(
            notice.path, notice.low, notice.high
        )
        self._acknowledgements.begin_notice(notice.path[0], parent, branches)
        for index, branch in enumerate(branches):
            part = notice._replace(low=branch.low, high=branch.high)
            self._tasks.spawn(self._deliver(index, branch, part))

    async def _deliver(
        self, index: int, branch: Branch, notice: HeadNotice
    ) -> None:
        is_suspect = self._context.topology.is_suspect
        candidates = sorted(branch.members, key=is_suspect)
        for endpoint in candidates[:MAX_ATTEMPTS]:
            if await self._try(endpoint, notice):
                self._acknowledgements.record_relay(
                    notice.path[0], index, endpoint
                )
                return

    async def _try(self, endpoint: str, notice: HeadNotice) -> bool:
        sending = self._tasks.spawn(self._send(endpoint, notice))
        await asyncio.wait((sending,), timeout=HEDGE_SECONDS)
        return sending.done() and sending.result()

    async def _send(self, endpoint: str, notice: HeadNotice) -> bool:
        sent = await self._context.links.send(endpoint, notice)
        if sent.is_err():
            self._context.topology.suspect(endpoint)
        return sent.is_ok()

    def _send_down(self, name: VersionName, deltas: tuple[Delta, ...]) -> None:
        self._sequence += 1
        path = (self._context.member.endpoint,)
        notice = HeadNotice(name, path, self._sequence, 0, MAX_SCORE, deltas)
        self._pass_on(notice, None)

    def _tell_data_centres(
        self, name: VersionName, deltas: tuple[Delta, ...]
    ) -> None:
        notice = HeadNotice(name, (), 0, 0, 0, deltas)
        for data_centre in self._context.topology.data_centres():
            if data_centre != self._context.member.data_centre:
                self._tasks.spawn(self._tell(data_centre, notice))

    async def _tell(self, data_centre: str, notice: HeadNotice) -> None:
        for endpoint in self._election.readers_of(data_centre):
            if await self._send(endpoint, notice):
                return
