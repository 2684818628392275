"""Which version is in force everywhere, asked from any process."""

import asyncio
from typing import NamedTuple

from wagtailline.distribution._acknowledgements import (
    MAX_LAGGARDS,
    Acknowledgements,
)
from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution.messages import (
    KeptOut,
    Laggard,
    ReportReply,
    ReportRequest,
)
from wagtailline.messages import Hello


class DataCentreReport(NamedTuple):
    """What a reader of a data centre knows about its members.

    ``lowest`` is zero while a member has not reported. ``age_seconds`` is
    None when no source read has confirmed the reader's version.
    """

    data_centre: str
    reader: str
    version: int
    lowest: int
    members: int
    laggards: tuple[Laggard, ...]
    age_seconds: float | None
    kept_out: tuple[KeptOut, ...]


class FleetReport(NamedTuple):
    """Versions of the whole fleet as seen from one process.

    ``everywhere`` is the version that every reporting member has reached;
    data centres without an answer are in ``silent``.
    """

    newest: int
    everywhere: int
    members: int
    laggards: tuple[Laggard, ...]
    data_centres: tuple[DataCentreReport, ...]
    silent: tuple[str, ...]


class Reporter:
    """Answers and asks for reports."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        acknowledgements: Acknowledgements,
    ) -> None:
        """Report from the acknowledgements of the own tree."""
        self._context = context
        self._election = election
        self._acknowledgements = acknowledgements

    async def answer(self, peer: Hello, request: ReportRequest) -> ReportReply:
        """Give the own view of the data centre."""
        return self._view()

    async def collect(self) -> FleetReport:
        """Ask a reader of each data centre."""
        centres = self._context.topology.data_centres()
        found = await asyncio.gather(*map(self._ask_centre, centres))
        reports = tuple(report for report in found if report is not None)
        named = {report.data_centre for report in reports}
        laggards = sorted(
            (one for report in reports for one in report.laggards),
            key=_by_version,
        )
        return FleetReport(
            max((report.version for report in reports), default=0),
            min((report.lowest for report in reports), default=0),
            sum(report.members for report in reports),
            tuple(laggards[:MAX_LAGGARDS]),
            reports,
            tuple(centre for centre in centres if centre not in named),
        )

    def _view(self) -> ReportReply:
        versions = self._context.versions
        return ReportReply(
            versions.name,
            self._election.is_reader,
            self._acknowledgements.aggregate(self._context.member.endpoint),
            versions.kept_out,
        )

    async def _ask_centre(self, centre: str) -> DataCentreReport | None:
        for endpoint in self._election.readers_of(centre):
            reply = await self._ask(endpoint)
            if reply is not None and reply.from_reader:
                return self._describe(centre, endpoint, reply)
        return None

    async def _ask(self, endpoint: str) -> ReportReply | None:
        if endpoint == self._context.member.endpoint:
            return self._view()
        replied = await self._context.links.request(
            endpoint,
            ReportRequest(),
            ReportReply,
            self._context.settings.probe_seconds,
        )
        return replied.unwrap_or(None)

    def _describe(
        self, centre: str, endpoint: str, reply: ReportReply
    ) -> DataCentreReport:
        confirmed = reply.version.confirmed_ms / 1000
        age = self._context.clock.wall() - confirmed if confirmed else None
        return DataCentreReport(
            centre,
            endpoint,
            reply.version.version,
            reply.aggregate.lowest,
            reply.aggregate.members,
            reply.aggregate.laggards,
            age,
            reply.kept_out,
        )


def _by_version(laggard: Laggard) -> tuple[int, str]:
    return laggard.version, laggard.endpoint
