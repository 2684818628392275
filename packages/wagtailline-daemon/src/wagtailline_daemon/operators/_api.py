"""Read-only HTTP interface for operators, on falcon."""

from collections.abc import Awaitable, Callable
from typing import Any

from falcon import HTTPServiceUnavailable
from falcon.asgi import App, Request, Response

from wagtailline.distribution import FleetReport
from wagtailline.membership import MemberTable
from wagtailline.snapshot import SnapshotStore
from wagtailline_daemon.operators._explain import RequestShape, explain_request

Report = Callable[[], object]
FleetReporter = Callable[[], Awaitable[FleetReport]]


class StatusBoard:
    """Reports of the services by name, each made when it is asked for."""

    def __init__(self) -> None:
        """Begin without reports."""
        self._reports: dict[str, Report] = {}

    def add(self, name: str, report: Report) -> None:
        """Add the report of a service."""
        self._reports[name] = report

    def read(self) -> dict[str, Any]:
        """Return all reports as JSON-compatible values."""
        return {
            name: to_plain(report()) for name, report in self._reports.items()
        }


class StatusResource:
    """``GET /v1/status``: every report of this daemon."""

    def __init__(self, board: StatusBoard) -> None:
        """Read from the board."""
        self._board = board

    async def on_get(self, request: Request, response: Response) -> None:
        """Answer with all reports."""
        response.media = self._board.read()


class MembersResource:
    """``GET /v1/members``: which vm holds which endpoint."""

    def __init__(self, members: MemberTable) -> None:
        """Read from the table."""
        self._members = members

    async def on_get(self, request: Request, response: Response) -> None:
        """Answer with all members, sorted by endpoint."""
        response.media = [
            to_plain(member) for member in sorted(self._members.members())
        ]


class ExplainResource:
    """``GET /v1/explain?path=PATH&client_account=NAME``."""

    def __init__(self, store: SnapshotStore, members: MemberTable) -> None:
        """Decide by the snapshot in force and the known members."""
        self._store = store
        self._members = members

    async def on_get(self, request: Request, response: Response) -> None:
        """Answer with the explanation; 503 before the first snapshot."""
        snapshot = self._store.current
        if snapshot is None:
            raise HTTPServiceUnavailable(title='No snapshot in force')
        shape = RequestShape(
            request.get_param('path', required=True),
            request.get_param('client_account', default=''),
        )
        response.media = to_plain(
            explain_request(snapshot, self._members, shape)
        )


class FleetResource:
    """``GET /v1/fleet``: which version is in force where."""

    def __init__(self, report: FleetReporter) -> None:
        """Ask the distribution."""
        self._report = report

    async def on_get(self, request: Request, response: Response) -> None:
        """Answer with the report of every data centre that answers."""
        response.media = to_plain(await self._report())


def build_operator_app(
    board: StatusBoard,
    store: SnapshotStore,
    members: MemberTable,
    report: FleetReporter,
) -> App[Any, Any]:
    """Return the ASGI application of the operator port."""
    application: App[Any, Any] = App()
    application.add_route('/v1/status', StatusResource(board))
    application.add_route('/v1/fleet', FleetResource(report))
    application.add_route('/v1/members', MembersResource(members))
    application.add_route('/v1/explain', ExplainResource(store, members))
    return application


def to_plain(record: object) -> Any:
    """Return NamedTuples as dictionaries and bytes as hex, recursively."""
    match record:
        case bytes():
            return record.hex()
        case tuple() if hasattr(record, '_asdict'):
            return {
                name: to_plain(field)
                for name, field in record._asdict().items()
            }
        case tuple() | list() | frozenset():
            return [to_plain(one) for one in record]
        case dict():
            return {str(name): to_plain(one) for name, one in record.items()}
        case _:
            return record
