"""Entry point of wagtailctl."""

import sys

from cleo.application import Application

from wagtailline_ctl._set_commands import BuildCommand, CheckCommand


def build_application() -> Application:
    """Return the command line with all commands."""
    application = Application('wagtailctl', '0.1.0')
    application.add(CheckCommand())
    application.add(BuildCommand())
    return application


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(build_application().run())
