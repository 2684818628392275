"""Read-only HTTP interface for operators, an ASGI application on falcon."""

from collections.abc import Awaitable, Callable
from typing import Any

from falcon import HTTPServiceUnavailable
from falcon.asgi import App, Request, Response

from wagtailline.distribution import FleetReport
from wagtailline.membership import MemberTable
from wagtailline.snapshot import SnapshotStore
from wagtailline_daemon.operators._explain import (
    ExplainedRequest,
    explain_request,
)

ReadReport = Callable[[], object]
CollectFleetReport = Callable[[], Awaitable[FleetReport]]


class StatusBoard:
    """Status reports of the services by name, built anew at each read."""

    def __init__(self) -> None:
        """Set up an empty board."""
        self._reports: dict[str, ReadReport] = {}

    def add(self, name: str, report: ReadReport) -> None:
        """Add a function that returns the report of a service."""
        self._reports[name] = report

    def read(self) -> dict[str, Any]:
        """Return all reports as JSON-compatible values."""
        return {
            name: to_json_compatible(report())
            for name, report in self._reports.items()
        }


class StatusResource:
    """Resource ``GET /v1/status``: the status reports of this daemon."""

    def __init__(self, board: StatusBoard) -> None:
        """Serve the reports of the board."""
        self._board = board

    async def on_get(self, request: Request, response: Response) -> None:
        """Respond with all reports."""
        response.media = self._board.read()


class MembersResource:
    """Resource ``GET /v1/members``: which vm runs which endpoint."""

    def __init__(self, members: MemberTable) -> None:
        """Serve the members of the table."""
        self._members = members

    async def on_get(self, request: Request, response: Response) -> None:
        """Respond with all members, sorted by endpoint."""
        response.media = [
            to_json_compatible(member)
            for member in sorted(self._members.members())
        ]


class ExplainResource:
    """Resource ``GET /v1/explain?path=PATH&client_account=NAME``."""

    def __init__(self, store: SnapshotStore, members: MemberTable) -> None:
        """Explain requests by the current snapshot and the known members."""
        self._store = store
        self._members = members

    async def on_get(self, request: Request, response: Response) -> None:
        """Respond with the explanation, or 503 before the first snapshot."""
        snapshot = self._store.current
        if snapshot is None:
            raise HTTPServiceUnavailable(title='No snapshot in force')
        query = ExplainedRequest(
            request.get_param('path', required=True),
            request.get_param('client_account', default=''),
        )
        response.media = to_json_compatible(
            explain_request(snapshot, self._members, query)
        )


class FleetResource:
    """Resource ``GET /v1/fleet``: the versions in force in each data centre."""

    def __init__(self, report: CollectFleetReport) -> None:
        """Take the function that collects the fleet report."""
        self._report = report

    async def on_get(self, request: Request, response: Response) -> None:
        """Respond with the reports of all data centres that answered."""
        response.media = to_json_compatible(await self._report())


def build_operator_app(
    board: StatusBoard,
    store: SnapshotStore,
    members: MemberTable,
    report: CollectFleetReport,
) -> App[Any, Any]:
    """Return the ASGI application of the operator port."""
    application: App[Any, Any] = App()
    application.add_route('/v1/status', StatusResource(board))
    application.add_route('/v1/fleet', FleetResource(report))
    application.add_route('/v1/members', MembersResource(members))
    application.add_route('/v1/explain', ExplainResource(store, members))
    return application


def to_json_compatible(record: object) -> Any:
    """Convert named tuples to dictionaries and bytes to hex, recursively."""
    match record:
        case bytes():
            return record.hex()
        case tuple() if hasattr(record, '_asdict'):
            return {
                name: to_json_compatible(field)
                for name, field in record._asdict().items()
            }
        case tuple() | list() | frozenset():
            return [to_json_compatible(element) for element in record]
        case dict():
            return {
                str(name): to_json_compatible(entry)
                for name, entry in record.items()
            }
        case _:
            return record
