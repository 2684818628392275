"""Commands that read the state of running daemons without changing it."""

import json
import time
from collections.abc import Iterator
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok

from wagtailline_ctl.daemon_client import read_daemon
from wagtailline_ctl.output import describe

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_TIMEOUT = 3
EXIT_UNREACHABLE = 4
POLL_SECONDS = 0.25

_DAEMON = argument('daemon', 'Operator address of a daemon, HOST:PORT')
_JSON = option('json', None, 'Print JSON')


class StatusCommand(Command):
    """The command ``status``, which prints the state of one daemon."""

    name = 'status'
    description = 'Show what is in force at a daemon, and its state.'
    arguments = [_DAEMON]
    options = [_JSON]

    def handle(self) -> int:
        """Return 0, or 4 if the daemon does not answer or reports an error."""
        return _show(self, '/v1/status', {})


class FleetCommand(Command):
    """The command ``fleet``, which prints the version of each data centre."""

    name = 'fleet'
    description = 'Show which version is in force in every data centre.'
    arguments = [_DAEMON]
    options = [_JSON]

    def handle(self) -> int:
        """Return 0, or 4 if the daemon does not answer or reports an error."""
        return _show(self, '/v1/fleet', {})


class MembersCommand(Command):
    """The command ``members``, which lists the members known to a daemon."""

    name = 'members'
    description = 'List the members that a daemon knows.'
    arguments = [_DAEMON]
    options = [_JSON]

    def handle(self) -> int:
        """Return 0, or 4 if the daemon does not answer or reports an error."""
        return _show(self, '/v1/members', {})


class ExplainCommand(Command):
    """The command ``explain``, which prints how a request is routed."""

    name = 'explain'
    description = 'Explain route, account, limit and candidates of a request.'
    arguments = [_DAEMON, argument('path', 'Path of the request')]
    options = [
        option('client-account', 'a', 'Account that sends it', flag=False),
        _JSON,
    ]

    def handle(self) -> int:
        """Return 0, or 4 if the daemon does not answer or reports an error."""
        query = {
            'path': self.argument('path'),
            'client_account': self.option('client-account') or '',
        }
        return _show(self, '/v1/explain', query)


class WaitCommand(Command):
    """The command ``wait``, which waits until all daemons apply a version."""

    name = 'wait'
    description = 'Wait until a version is in force at every daemon.'
    arguments = [_DAEMON, argument('version', 'Version to wait for')]
    options = [
        option('timeout', 't', 'Seconds to wait', flag=False, default='30'),
    ]

    def handle(self) -> int:
        """Return 0 once the version is in force, or 3 after the timeout."""
        version = int(self.argument('version'))
        progress = self.progress_indicator()
        progress.start(f'waiting for version {version}')
        for _ in _poll(float(self.option('timeout'))):
            fleet = _read_fleet(self.argument('daemon'))
            if _is_in_force_everywhere(fleet, version):
                progress.finish(f'version {version} is in force everywhere')
                return EXIT_OK
            progress.set_message(_render_progress(fleet, version))
            progress.advance()
        progress.finish(f'version {version} is not in force everywhere')
        return EXIT_TIMEOUT


class DrainCommand(Command):
    """The command ``drain``, which waits until gates have no requests left.

    It does not take gates out of service.
    """

    name = 'drain'
    description = 'Watch gates until no request is in progress at any.'
    arguments = [
        argument('daemons', 'Operator addresses, HOST:PORT', multiple=True)
    ]
    options = [
        option('timeout', 't', 'Seconds to wait', flag=False, default='60'),
    ]
    help = (
        'Take a data centre out of service by its object first, then:\n'
        '  wagtailctl drain 10.0.0.1:7003 10.0.0.2:7003'
    )

    def handle(self) -> int:
        """Return 0 once no gate has requests, or 3 after the timeout."""
        progress = self.progress_indicator()
        progress.start('reading the gates')
        for _ in _poll(float(self.option('timeout'))):
            gates = {
                daemon: _read_gate(daemon)
                for daemon in self.argument('daemons')
            }
            busy = {
                daemon: gate for daemon, gate in gates.items() if _is_busy(gate)
            }
            if not busy:
                progress.finish('no request is in progress')
                return EXIT_OK
            progress.set_message(render_gates(busy))
            progress.advance()
        progress.finish('requests are still in progress')
        return EXIT_TIMEOUT


def _poll(timeout_seconds: float) -> Iterator[None]:
    """Yield at once, and then periodically until the timeout."""
    deadline = time.monotonic() + timeout_seconds
    yield
    while time.monotonic() < deadline:
        time.sleep(POLL_SECONDS)
        yield


def render_gates(gates: dict[str, dict[str, Any]]) -> str:
    """Return one line with the state of all gates."""
    return '; '.join(
        f'{daemon} {gate.get("in_progress", "unknown")} in progress, '
        f'limit {gate.get("limit", "unknown")}'
        for daemon, gate in gates.items()
    )


def _read_gate(daemon: str) -> dict[str, Any]:
    """Return the state of the gate of a daemon, empty if it is unknown."""
    match read_daemon(daemon, '/v1/status', {}):
        case Ok({'gate': dict(gate)}):
            return gate
        case _:
            return {}


def _is_busy(gate: dict[str, Any]) -> bool:
    """Return whether a gate has requests; true if its state is unknown."""
    return bool(gate.get('in_progress', 1) or gate.get('queued', 1))


def _show(command: Command, path: str, query: dict[str, str]) -> int:
    """Print the answer of a daemon and return the exit status."""
    match read_daemon(command.argument('daemon'), path, query):
        case Ok(answer):
            _print(command, answer)
            return EXIT_OK
        case Err(failure):
            command.line_error(describe(failure))
    return EXIT_UNREACHABLE


def _print(command: Command, answer: Any) -> None:
    if command.option('json'):
        command.line(json.dumps(answer, indent=2))
        return
    for line in render_lines(answer):
        command.line(line)


def render_lines(answer: Any, indent: str = '') -> list[str]:
    """Return nested JSON values as indented lines of ``name: value``."""
    if isinstance(answer, dict):
        lines: list[str] = []
        for name, field in answer.items():
            if isinstance(field, dict | list) and field:
                lines.append(f'{indent}{name}:')
                lines.extend(render_lines(field, f'{indent}  '))
            else:
                lines.append(f'{indent}{name}: {field}')
        return lines
    if isinstance(answer, list):
        return [f'{indent}- {_render_inline(record)}' for record in answer]
    return [f'{indent}{answer}']


def _render_inline(record: Any) -> str:
    if isinstance(record, dict):
        return ', '.join(f'{name} {field}' for name, field in record.items())
    return str(record)


def _read_fleet(daemon: str) -> dict[str, Any]:
    """Return the fleet report of a daemon, empty if there is none."""
    match read_daemon(daemon, '/v1/fleet', {}):
        case Ok(dict(fleet)):
            return fleet
        case _:
            return {}


def _is_in_force_everywhere(fleet: dict[str, Any], version: int) -> bool:
    return int(fleet.get('everywhere', 0)) >= version and not fleet['silent']


def _render_progress(fleet: dict[str, Any], version: int) -> str:
    laggards = ', '.join(
        str(laggard['endpoint']) for laggard in fleet.get('laggards', ())
    )
    silent = ', '.join(fleet.get('silent', ()))
    return (
        f'waiting for version {version}: {fleet.get("everywhere", "unknown")} '
        f'is in force at all {fleet.get("members", "unknown")} daemons that '
        f'reported; behind: {laggards or "none known"}; '
        f'data centres without an answer: {silent or "none"}'
    )
