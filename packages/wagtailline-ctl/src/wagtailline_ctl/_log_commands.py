"""Commands that search collected logs."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from wagtailline_ctl.log_search import (
    LogLine,
    find_instances,
    find_request,
    find_upstream_events,
)

EXIT_OK = 0
EXIT_NOT_FOUND = 1


class TraceCommand(Command):
    """The command ``trace``, which prints the log lines about a request."""

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
        """Return 0 if the logs contain the request, or 1 otherwise."""
        lines: list[str] = []
        for name in self.argument('logs'):
            text = Path(name).read_text(errors='replace')
            lines.extend(text.splitlines())
        request_events = find_request(lines, self.argument('request'))
        if not request_events:
            self.line_error('no log knows this request')
            return EXIT_NOT_FOUND
        if self.option('beliefs'):
            request_events = self._add_upstream_events(lines, request_events)
        for event in request_events:
            self.line(event.text)
        return EXIT_OK

    def _add_upstream_events(
        self, lines: list[str], request_events: list[LogLine]
    ) -> list[LogLine]:
        """Merge events about the upstreams of a request into its events."""
        upstream_events = find_upstream_events(
            lines, find_instances(request_events), '', request_events[-1].time
        )
        return sorted(
            (*upstream_events, *request_events), key=lambda line: line.time
        )
