"""Settings of the sidecar, read from one JSON file and checked as a whole."""

from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from msgspec import Meta
from result import Result

from wagtailline.objects import Name
from wagtailline.ports import Address
from wagtailline_daemon.settings import (
    Port,
    Ratio,
    Seconds,
    SettingsFault,
    read_settings,
)

# A daemon that detects a failed parent needs some time to read the source.
PropagationMilliseconds = Annotated[int, Meta(ge=1000, le=86_400_000)]
AddressText = Annotated[str, Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]


class SidecarSettings(NamedTuple):
    """Settings of the sidecar; those without a default are required.

    Addresses are ``host:port``. The sidecar listens on ``ingress`` for
    clients, on ``peers`` for other daemons and on ``readiness`` for the
    platform's readiness probe; ``upstream`` is the endpoint on this VM and
    ``source`` the configuration source. A daemon is killed
    ``grace_seconds`` after the signal that stops it. A withdrawn key is
    refused everywhere ``revoke_ms`` after its withdrawal, any other change of
    the configuration is in force after ``apply_ms``, and an endpoint that
    leaves gets no requests after ``drain_ms``. All daemons together retry at
    most ``retry_ratio`` of a service's requests plus ``retry_slack`` in any
    ``retry_window_seconds``. In any ``quota_window_seconds`` an account may
    exceed its limit by ``quota_overage`` times the limit plus ``quota_slack``
    requests. In any second a cold upstream gets at most
    ``warm_up_overage`` times the rate that it can handle plus
    ``warm_up_slack`` requests.
    ``link_megabits_per_second`` is the rate of the VM's network link; at 0 it
    is not known, and bodies are sent without regard to it. Clients have at most
    ``max_connections`` connections open, or fewer if the process may have too
    few descriptors.
    """

    vm: Name
    data_centre: Name
    service: str
    ingress: AddressText
    peers: AddressText
    readiness: AddressText
    upstream: AddressText
    source: AddressText
    grace_seconds: Seconds = 6
    revoke_ms: PropagationMilliseconds = 5000
    apply_ms: PropagationMilliseconds = 2000
    drain_ms: PropagationMilliseconds = 2000
    retry_ratio: Ratio = 0.2
    retry_slack: Annotated[float, Meta(ge=0)] = 60
    retry_window_seconds: Seconds = 10
    quota_window_seconds: Seconds = 5
    quota_overage: Annotated[float, Meta(ge=0)] = 0
    quota_slack: Annotated[float, Meta(ge=0)] = 0
    warm_up_overage: Annotated[float, Meta(ge=1)] = 1
    warm_up_slack: Annotated[float, Meta(ge=0)] = 0
    link_megabits_per_second: Annotated[float, Meta(ge=0)] = 0
    metrics_port: Port | None = None
    max_connections: Annotated[int, Meta(ge=16)] = 1900
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    log_lines_per_second: Annotated[float, Meta(gt=0)] = 500


def load_settings(
    path: Path,
) -> Result[SidecarSettings, tuple[SettingsFault, ...]]:
    """Return the settings in a file, or all faults of the file."""
    return read_settings(SidecarSettings, path)


def parse_address(text: str) -> Address:
    """Return the address in a ``host:port`` setting."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
