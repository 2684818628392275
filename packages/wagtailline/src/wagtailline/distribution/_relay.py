"""Passes versions down the trees and between data centres."""

import asyncio
from collections import OrderedDict

from wagtailline.distribution._acknowledge import Acknowledgements
from wagtailline.distribution._catch_up import CatchUp
from wagtailline.distribution._election import Election, Surroundings
from wagtailline.distribution._tasks import TaskSet
from wagtailline.distribution._topology import MAX_SCORE, Branch
from wagtailline.distribution.messages import HeadNotice
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
        around: Surroundings,
        election: Election,
        acknowledgements: Acknowledgements,
        catch_up: CatchUp,
        tasks: TaskSet,
    ) -> None:
        """Number the notices from the incarnation on."""
        self._around = around
        self._election = election
        self._acknowledgements = acknowledgements
        self._catch_up = catch_up
        self._tasks = tasks
        self._sequence = around.member.incarnation
        self._seen: OrderedDict[tuple[str, int], None] = OrderedDict()

    async def receive(self, peer: Hello, notice: HeadNotice) -> None:
        """Apply a notice, then pass it on."""
        self._election.hear(peer.endpoint, peer.data_centre)
        versions = self._around.versions
        if versions.is_wanted(notice.version):
            self._acknowledgements.see(notice.version)
            if notice.deltas:
                versions.accept_deltas(notice.deltas)
        if notice.reader and self._is_new(notice):
            self._election.hear_reader(notice.reader)
            self._pass_on(notice, peer.endpoint)
        if versions.is_wanted(notice.version):
            self._catch_up.offer(peer.endpoint, notice.version)

    def announce(self, deltas: tuple[Delta, ...] = ()) -> None:
        """Send the version in force down the own tree."""
        self._sequence += 1
        own = self._around.member.endpoint
        notice = HeadNotice(
            self._around.versions.name,
            own,
            self._sequence,
            0,
            MAX_SCORE,
            deltas,
        )
        self._pass_on(notice, None)

    async def announce_installed(self, store: SnapshotStore) -> None:
        """Announce each new version while this is a reader; never ends."""
        versions = self._around.versions
        while True:
            former = versions.held
            await store.wait_newer(former.version)
            self._acknowledgements.refresh()
            if self._election.is_reader:
                deltas = versions.log.since(former.digest)
                self.announce(deltas)
                self._tell_data_centres(deltas)

    def _is_new(self, notice: HeadNotice) -> bool:
        identity = notice.reader, notice.sequence
        if identity in self._seen:
            return False
        self._seen[identity] = None
        if len(self._seen) > _REMEMBERED_NOTICES:
            self._seen.popitem(last=False)
        return True

    def _pass_on(self, notice: HeadNotice, parent: str | None) -> None:
        branches = self._around.topology.branches(
            notice.reader, notice.low, notice.high
        )
        self._acknowledgements.begin(notice.reader, parent, branches)
        for index, branch in enumerate(branches):
            part = notice._replace(low=branch.low, high=branch.high)
            self._tasks.spawn(self._deliver(index, branch, part))

    async def _deliver(
        self, index: int, branch: Branch, notice: HeadNotice
    ) -> None:
        is_suspect = self._around.topology.is_suspect
        candidates = sorted(branch.members, key=is_suspect)
        for endpoint in candidates[:MAX_ATTEMPTS]:
            if await self._try(endpoint, notice):
                self._acknowledgements.hand(notice.reader, index, endpoint)
                return

    async def _try(self, endpoint: str, notice: HeadNotice) -> bool:
        sending = self._tasks.spawn(self._send(endpoint, notice))
        await asyncio.wait((sending,), timeout=HEDGE_SECONDS)
        return sending.done() and sending.result()

    async def _send(self, endpoint: str, notice: HeadNotice) -> bool:
        sent = await self._around.links.send(endpoint, notice)
        if sent.is_err():
            self._around.topology.suspect(endpoint)
        return sent.is_ok()

    def _tell_data_centres(self, deltas: tuple[Delta, ...]) -> None:
        notice = HeadNotice(self._around.versions.name, '', 0, 0, 0, deltas)
        for data_centre in self._around.topology.data_centres():
            if data_centre != self._around.member.data_centre:
                self._tasks.spawn(self._tell(data_centre, notice))

    async def _tell(self, data_centre: str, notice: HeadNotice) -> None:
        for endpoint in self._election.readers_of(data_centre):
            if await self._send(endpoint, notice):
                return
