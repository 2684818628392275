"""Commands that read collected logs."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from wagtailline_ctl.log_search import (
    LogLine,
    find_beliefs,
    find_request,
    instances_of,
)

EXIT_OK = 0
EXIT_NOT_FOUND = 1


class TraceCommand(Command):
    """Prints what daemons decided about a request, in order."""

    name = 'trace'
    description = 'Find a request in collected logs.'
    arguments = [
        argument('request', 'Id of the request'),
        argument('logs', 'Log files of the daemons', multiple=True),
    ]
    options = [
        option('beliefs', None, 'Print events about its upstreams as well')
    ]

    def handle(self) -> int:
        """Exit with 1 when no log knows the request."""
        lines: list[str] = []
        for name in self.argument('logs'):
            text = Path(name).read_text(errors='replace')
            lines.extend(text.splitlines())
        decisions = find_request(lines, self.argument('request'))
        if not decisions:
            self.line_error('no log knows this request')
            return EXIT_NOT_FOUND
        if self.option('beliefs'):
            decisions = self._add_beliefs(lines, decisions)
        for decision in decisions:
            self.line(decision.text)
        return EXIT_OK

    def _add_beliefs(
        self, lines: list[str], decisions: list[LogLine]
    ) -> list[LogLine]:
        beliefs = find_beliefs(
            lines, instances_of(decisions), '', decisions[-1].time
        )
        return sorted((*beliefs, *decisions), key=lambda line: line.time)
