"""Settings of the daemon, read from a JSON file and checked at start."""

import json
from pathlib import Path
from typing import Annotated, Literal, NamedTuple, TypeVar

from msgspec import Meta
from result import Err, Ok, Result

from wagtailline.objects import Name
from wagtailline.ports import Address
from wagtailline.records import FieldFault, parse_record

Host = Annotated[str, Meta(min_length=1, max_length=64)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Ratio = Annotated[float, Meta(ge=0, le=1)]


class DaemonSettings(NamedTuple):
    """Settings of the daemon; those without a default are required.

    The daemon listens on ``http_port`` for clients, on ``peer_port`` for other
    daemons and on ``operator_port`` for operators, and connects to the local
    upstream on ``upstream_port``. ``source_url`` is the base URL of the
    configuration source. Clients have at most ``max_connections`` connections
    open, or fewer if the process may have too few descriptors.
    """

    vm: Name
    endpoint: Name
    data_centre: Name
    host: Host
    http_port: Port
    peer_port: Port
    operator_port: Port
    upstream_port: Port
    source_url: Annotated[str, Meta(pattern='^https?://')]
    upstream_host: Host = '127.0.0.1'
    operator_host: Host = '127.0.0.1'
    max_snapshot_age_seconds: Seconds | None = None
    drain_timeout_seconds: Seconds = 30.0
    statsd_host: Host | None = None
    statsd_port: Port = 8125
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    trace_exporter: Literal['none', 'file', 'otlp'] = 'none'
    trace_target: str = ''
    trace_ratio: Ratio = 0.01
    max_connections: Annotated[int, Meta(ge=16)] = 1900

    @property
    def peer_address(self) -> Address:
        """Address at which other daemons connect to this daemon."""
        return Address(self.host, self.peer_port)


class SettingsUnreadable(NamedTuple):
    """The file can't be read or is not valid JSON."""

    path: str
    problem: str


SettingsFault = FieldFault | SettingsUnreadable


_Settings = TypeVar('_Settings')


def load_settings(
    path: Path,
) -> Result[DaemonSettings, tuple[SettingsFault, ...]]:
    """Return the settings in a file of the daemon, or all faults in it."""
    return read_settings(DaemonSettings, path)


def read_settings(
    settings_type: type[_Settings], path: Path
) -> Result[_Settings, tuple[SettingsFault, ...]]:
    """Return the settings of a given type in a file, or all faults in it."""
    try:
        raw = json.loads(path.read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        return Err((SettingsUnreadable(str(path), str(error)),))
    match parse_record(settings_type, raw, str(path)):
        case Ok(settings):
            return Ok(settings)
        case Err(faults):
            return Err(faults)
