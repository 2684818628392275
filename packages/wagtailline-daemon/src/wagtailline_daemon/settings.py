"""Settings of the daemon: one JSON file, checked as a whole at start."""

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
    """All settings; those without a default have to be given.

    The four ports are: ``http_port`` for callers, ``peer_port`` for other
    daemons, ``operator_port`` for operators, ``upstream_port`` of the local
    upstream. ``source_url`` is the base URL of the configuration source.
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

    @property
    def peer_address(self) -> Address:
        """Address at which other daemons reach this one."""
        return Address(self.host, self.peer_port)


class SettingsUnreadable(NamedTuple):
    """The file can't be read or holds no JSON."""

    path: str
    problem: str


SettingsFault = FieldFault | SettingsUnreadable


_Settings = TypeVar('_Settings')


def load_settings(
    path: Path,
) -> Result[DaemonSettings, tuple[SettingsFault, ...]]:
    """Read and check a settings file; the error names every fault."""
    return read_settings(DaemonSettings, path)


def read_settings(
    kind: type[_Settings], path: Path
) -> Result[_Settings, tuple[SettingsFault, ...]]:
    """Read a file of settings of any kind; the error names every fault."""
    try:
        raw = json.loads(path.read_bytes())
    except (OSError, ValueError) as problem:
        return Err((SettingsUnreadable(str(path), str(problem)),))
    match parse_record(kind, raw, str(path)):
        case Ok(settings):
            return Ok(settings)
        case Err(faults):
            return Err(faults)
