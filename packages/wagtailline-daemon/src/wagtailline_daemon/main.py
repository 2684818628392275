"""Entry point of wagtaild."""

import argparse
import asyncio
import gc
import json
import signal
import sys
from pathlib import Path

import uvloop
from result import Err, Ok

from wagtailline_daemon.composition import build_daemon
from wagtailline_daemon.settings import (
    DaemonSettings,
    SettingsFault,
    load_settings,
)

EXIT_BAD_SETTINGS = 2
# Allocations before a collection of each generation; Python's own are
# (700, 10, 10).
_COLLECTION_THRESHOLDS = (10_000, 20, 50)


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT.

    Exits with 2 when settings are bad, after naming each of them.
    """
    arguments = _parse_arguments()
    match load_settings(Path(arguments.settings)):
        case Ok(settings) if arguments.check:
            print(json.dumps(settings._asdict(), indent=2))
        case Ok(settings):
            uvloop.run(_run(settings))
        case Err(faults):
            _print_faults(faults)
            sys.exit(EXIT_BAD_SETTINGS)


async def _run(settings: DaemonSettings) -> None:
    daemon = build_daemon(settings)
    # What was imported lives as long as the process. Leaving it out of the
    # collections, and collecting less often, cuts the time of a call.
    gc.freeze()
    gc.set_threshold(*_COLLECTION_THRESHOLDS)
    stopped: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(
            number, _resolve, stopped, number.name
        )
    await daemon.start()
    await daemon.stop(await stopped)


def _resolve(stopped: 'asyncio.Future[str]', name: str) -> None:
    if not stopped.done():
        stopped.set_result(name)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='wagtaild', description=__doc__)
    parser.add_argument('settings', help='JSON file of settings')
    parser.add_argument(
        '--check',
        action='store_true',
        help='print the effective settings and exit',
    )
    return parser.parse_args()


def _print_faults(faults: tuple[SettingsFault, ...]) -> None:
    for fault in faults:
        print(f'wagtaild: {fault}', file=sys.stderr)


if __name__ == '__main__':
    main()
