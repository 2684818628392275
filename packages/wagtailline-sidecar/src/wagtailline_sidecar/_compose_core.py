"""Creates the objects that most services of the sidecar depend on."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, TypeVar

from wagtailline.client_limits import ClientLimits
from wagtailline.codec import FrameFault
from wagtailline.read_turns import ReadTurns
from wagtailline.request_memory import RequestMemory
from wagtailline_daemon.events import open_event_log
from wagtailline_sidecar.body_memory import BodyMemory
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.daemon_events import FrameRejected, HandlerFailed
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.listener_resources import ListenerResources
from wagtailline_sidecar.log_output import RateLimitedOutput
from wagtailline_sidecar.pauses import PauseMeter
from wagtailline_sidecar.settings import SidecarSettings
from wagtailline_sidecar.settings_watch import SettingsWatch
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.source_outages import SourceOutages
from wagtailline_sidecar.supervision import describe_failure
from wagtailline_sidecar.telemetry import Telemetry

_STDOUT_DESCRIPTOR = 1
_MILLISECONDS_PER_SECOND = 1000
_Limit = TypeVar('_Limit')


class CoreServices(NamedTuple):
    """Objects that most services depend on."""

    watch: SettingsWatch
    names: HeaderNames
    clock: BootClock
    random: Random
    telemetry: Telemetry
    snapshots: SnapshotStore
    incarnation: int
    resources: ListenerResources
    pauses: PauseMeter

    @property
    def memory(self) -> BodyMemory:
        """Return the memory of all bodies."""
        return self.resources.body_memory

    @property
    def settings(self) -> SidecarSettings:
        """Return the settings in force."""
        return self.watch.current

    def follow_settings(
        self, find: Callable[[SidecarSettings], _Limit]
    ) -> Callable[[], _Limit]:
        """Return a function that finds a limit in the settings in force."""
        return lambda: find(self.settings)

    def report_error(self, error: Exception) -> None:
        """Report an unexpected exception that ended a request or call."""
        self.telemetry.observe(HandlerFailed(repr(error)))

    def report_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Report an exception that ended a task or callback of the loop."""
        error = context.get('exception')
        if isinstance(error, Exception):
            event = describe_failure('event_loop', error)
            self.telemetry.observe(event)
        else:
            loop.default_exception_handler(context)

    def report_malformed_frame(self, fault: FrameFault) -> None:
        """Report bytes of a peer that are not a valid message."""
        self.telemetry.observe(FrameRejected(str(fault)))


def build_core_services(
    path: Path, settings: SidecarSettings, names: HeaderNames
) -> CoreServices:
    """Create the objects that most services depend on."""
    output = RateLimitedOutput(
        _STDOUT_DESCRIPTOR, settings.log_lines_per_second
    )
    events = open_event_log(settings.log_level, output, output.admit)
    telemetry = Telemetry(events)
    clock = BootClock()
    pauses = PauseMeter(clock, telemetry.observe)
    outages = SourceOutages(clock, telemetry.observe, pauses.measure_since)
    return CoreServices(
        SettingsWatch(path, settings, telemetry.observe),
        names,
        clock,
        Random(),
        telemetry,
        SnapshotStore(clock, telemetry.observe, outages),
        int(time.time() * _MILLISECONDS_PER_SECOND),
        _build_resources(clock, telemetry),
        pauses,
    )


def _build_resources(
    clock: BootClock, telemetry: Telemetry
) -> ListenerResources:
    bodies = BodyMemory(clock, observe=telemetry.observe)
    requests = RequestMemory(clock, observe=telemetry.observe)
    telemetry.show_held_bytes(
        lambda: bodies.held_bytes, lambda: requests.held_bytes
    )
    return ListenerResources(
        bodies,
        requests,
        ReadTurns(),
        ClientLimits(clock, telemetry.count_client_limit, telemetry.observe),
    )
