"""Reports on the versions in force in all data centres."""

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
    """Versions of a data centre's members, as one of its readers knows them.

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
    """Versions of the whole fleet, as one process knows them.

    ``everywhere`` is the version that every member of the reporting data
    centres has reached; ``silent`` lists the data centres without a report.
    """

    newest: int
    everywhere: int
    members: int
    laggards: tuple[Laggard, ...]
    data_centres: tuple[DataCentreReport, ...]
    silent: tuple[str, ...]


class Reporter:
    """Responder to report requests, and collector of reports."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        acknowledgements: Acknowledgements,
    ) -> None:
        """Take the acknowledgements from which this member reports."""
        self._context = context
        self._election = election
        self._acknowledgements = acknowledgements

    async def answer_report(
        self, peer: Hello, request: ReportRequest
    ) -> ReportReply:
        """Return the versions of the data centre as this member knows them."""
        return self._report_local()

    async def collect(self) -> FleetReport:
        """Return a report collected from one reader of each data centre."""
        data_centres = self._context.topology.data_centres()
        collected = await asyncio.gather(
            *map(self._query_data_centre, data_centres)
        )
        reports = tuple(report for report in collected if report is not None)
        reporting = {report.data_centre for report in reports}
        laggards = sorted(
            (laggard for report in reports for laggard in report.laggards),
            key=_by_version,
        )
        return FleetReport(
            max((report.version for report in reports), default=0),
            min((report.lowest for report in reports), default=0),
            sum(report.members for report in reports),
            tuple(laggards[:MAX_LAGGARDS]),
            reports,
            tuple(
                data_centre
                for data_centre in data_centres
                if data_centre not in reporting
            ),
        )

    def _report_local(self) -> ReportReply:
        versions = self._context.versions
        return ReportReply(
            versions.name,
            self._election.is_reader,
            self._acknowledgements.aggregate(self._context.member.endpoint),
            versions.kept_out,
        )

    async def _query_data_centre(
        self, data_centre: str
    ) -> DataCentreReport | None:
        for endpoint in self._election.readers_of(data_centre):
            reply = await self._query_member(endpoint)
            if reply is not None and reply.from_reader:
                return self._summarize(data_centre, endpoint, reply)
        return None

    async def _query_member(self, endpoint: str) -> ReportReply | None:
        if endpoint == self._context.member.endpoint:
            return self._report_local()
        replied = await self._context.links.request(
            endpoint,
            ReportRequest(),
            ReportReply,
            self._context.settings.probe_seconds,
        )
        return replied.unwrap_or(None)

    def _summarize(
        self, data_centre: str, endpoint: str, reply: ReportReply
    ) -> DataCentreReport:
        confirmed_at = reply.version.confirmed_ms / 1000
        age_seconds = (
            self._context.clock.wall() - confirmed_at if confirmed_at else None
        )
        return DataCentreReport(
            data_centre,
            endpoint,
            reply.version.version,
            reply.aggregate.lowest,
            reply.aggregate.members,
            reply.aggregate.laggards,
            age_seconds,
            reply.kept_out,
        )


def _by_version(laggard: Laggard) -> tuple[int, str]:
    return laggard.version, laggard.endpoint
