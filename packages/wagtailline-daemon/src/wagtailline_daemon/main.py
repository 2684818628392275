"""Entry point of wagtaild."""

import argparse
import gc
import json
import sys
from pathlib import Path

import uvloop
from result import Err, Ok

from wagtailline.stop_signals import follow_stop_signals
from wagtailline_daemon.composition import build_daemon
from wagtailline_daemon.settings import (
    DaemonSettings,
    SettingsFault,
    load_settings,
)

EXIT_INVALID_SETTINGS = 2
# Thresholds of the three generations of the garbage collector; Python's
# defaults are (700, 10, 10).
_GC_THRESHOLDS = (10_000, 20, 50)


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT.

    Exits with status 2 if settings are invalid, after printing every fault.
    """
    arguments = _parse_arguments()
    match load_settings(Path(arguments.settings)):
        case Ok(settings) if arguments.check:
            print(json.dumps(settings._asdict(), indent=2))
        case Ok(settings):
            uvloop.run(_run(settings))
        case Err(faults):
            _print_faults(faults)
            sys.exit(EXIT_INVALID_SETTINGS)


async def _run(settings: DaemonSettings) -> None:
    daemon = build_daemon(settings)
    # Imported objects live as long as the process. Excluding them from garbage
    # collection, and collecting less often, reduces the latency of calls.
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    stop_signal = follow_stop_signals()
    await daemon.start()
    await daemon.stop(await stop_signal)


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
