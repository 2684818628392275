"""Entry point of wagtailctl."""

import sys

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand

from wagtailline_ctl._daemon_commands import (
    DrainCommand,
    ExplainCommand,
    FleetCommand,
    MembersCommand,
    StatusCommand,
    WaitCommand,
)
from wagtailline_ctl._log_commands import TraceCommand
from wagtailline_ctl._set_commands import (
    BuildCommand,
    CheckCommand,
    DiffCommand,
)

_COMMANDS = (
    BuildCommand,
    CheckCommand,
    CompletionsCommand,
    DiffCommand,
    DrainCommand,
    ExplainCommand,
    FleetCommand,
    MembersCommand,
    StatusCommand,
    TraceCommand,
    WaitCommand,
)


def build_application() -> Application:
    """Return the command line application with all commands."""
    application = Application('wagtailctl', '0.1.0')
    for command in _COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the command of the command line and exit with its status."""
    sys.exit(build_application().run())
