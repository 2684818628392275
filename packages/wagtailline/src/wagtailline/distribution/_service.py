"""Distribution of versions as one service of a process."""

from random import Random

from result import Result

from wagtailline.distribution._acknowledgements import Acknowledgements
from wagtailline.distribution._catch_up import CatchUp
from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution._gossip import Gossip
from wagtailline.distribution._readiness import NotConfirmed, Readiness
from wagtailline.distribution._relay import Relay
from wagtailline.distribution._report import FleetReport, Reporter
from wagtailline.distribution._responder import Responder
from wagtailline.distribution._source_reader import SourceReader
from wagtailline.distribution._tasks import TaskSet
from wagtailline.distribution._topology import Topology
from wagtailline.distribution._versions import VersionRefusal, Versions
from wagtailline.distribution.messages import (
    Acknowledgement,
    BucketRequest,
    DeltaRequest,
    HeadNotice,
    HeadRequest,
    KeptOut,
    ReportRequest,
    VersionName,
    VersionProbe,
)
from wagtailline.distribution.settings import DistributionSettings
from wagtailline.peers import PeerLinks
from wagtailline.ports import Clock, Source, SourceFailure
from wagtailline.snapshot import SnapshotStore


class Distribution:
    """Service that keeps the snapshot store at the newest valid version.

    It registers its handlers at the given links, which the owner starts before
    the service and stops after it. It only reads the member table.
    """

    def __init__(
        self,
        links: PeerLinks,
        source: Source,
        store: SnapshotStore,
        clock: Clock,
        random: Random,
        settings: DistributionSettings | None = None,
    ) -> None:
        """Create the parts; call it in the running event loop."""
        context = DistributionContext(
            links.member,
            links,
            clock,
            random,
            settings or DistributionSettings(),
            Topology(links.member, links.table, clock),
            Versions(store, clock),
        )
        self._context = context
        self._store = store
        self._tasks = TaskSet()
        self._requested: set[str] = set()
        self._catch_up = CatchUp(context)
        self._election = Election(context)
        acknowledgements = Acknowledgements(context, self._tasks)
        self._relay = Relay(
            context,
            self._election,
            acknowledgements,
            self._catch_up,
            self._tasks,
        )
        self._reader = SourceReader(
            context, self._election, source, self._relay
        )
        self._gossip = Gossip(context, self._election, self._catch_up)
        responder = Responder(context, self._election, self._catch_up)
        self._readiness = Readiness(
            context, self._election, self._gossip, responder, self._reader
        )
        self._reporter = Reporter(context, self._election, acknowledgements)
        self._register_handlers(acknowledgements, responder)

    async def start(self) -> None:
        """Start the background tasks, including the join."""
        for coroutine in (
            self._reader.run(),
            self._catch_up.run(),
            self._relay.announce_installed(self._store),
            self._election.probe_readers(),
            self._gossip.run_local_exchange(),
            self._gossip.run_remote_exchange(),
            self._readiness.join(),
            self._readiness.watch_pauses(),
        ):
            self._tasks.spawn(coroutine)

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await self._tasks.stop()

    @property
    def is_ready(self) -> bool:
        """Return whether the snapshot in force may be relied on."""
        return self._readiness.is_ready

    @property
    def is_reader(self) -> bool:
        """Return whether this process considers itself a reader."""
        return self._election.is_reader

    @property
    def version(self) -> VersionName:
        """Return the version in force with the time of its confirmation."""
        return self._context.versions.name

    @property
    def kept_out(self) -> tuple[KeptOut, ...]:
        """Return the rejected and forked versions with their reasons."""
        return self._context.versions.kept_out

    @property
    def last_refusal(self) -> VersionRefusal | None:
        """Return why a version was last refused, None if none was."""
        return self._context.versions.last_refusal

    @property
    def last_source_failure(self) -> SourceFailure | None:
        """Return why a source call last failed, None if none has."""
        return self._reader.last_failure

    async def wait_ready(self, seconds: float) -> Result[None, NotConfirmed]:
        """Wait until the snapshot may be relied on, for at most the time."""
        return await self._readiness.wait(seconds)

    def age_seconds(self) -> float | None:
        """Return the seconds since a source read confirmed the snapshot.

        None means never. It compares the wall clocks of two vms, so it may be
        wrong by the allowed difference between them.
        """
        return self._context.versions.age_seconds()

    def request_version(self, endpoint: str, version: int) -> None:
        """Ask an endpoint for its version if it uses a newer one than here.

        There is at most one such request to an endpoint at a time.
        """
        is_newer = version > self._context.versions.current_set.version
        if is_newer and endpoint not in self._requested:
            self._requested.add(endpoint)
            request = self._tasks.spawn(self._gossip.exchange_with(endpoint))
            request.add_done_callback(
                lambda _: self._requested.discard(endpoint)
            )

    async def report(self) -> FleetReport:
        """Return the versions in force in every data centre."""
        return await self._reporter.collect()

    def _register_handlers(
        self, acknowledgements: Acknowledgements, responder: Responder
    ) -> None:
        links = self._context.links
        links.on_message(HeadNotice, self._relay.receive)
        links.on_message(Acknowledgement, acknowledgements.receive)
        links.on_request(VersionProbe, responder.answer_probe)
        links.on_request(DeltaRequest, responder.answer_deltas)
        links.on_request(HeadRequest, responder.answer_head)
        links.on_request(BucketRequest, responder.answer_buckets)
        links.on_request(ReportRequest, self._reporter.answer_report)
