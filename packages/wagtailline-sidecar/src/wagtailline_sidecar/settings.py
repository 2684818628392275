"""Settings of the sidecar: one JSON file, checked as a whole at start."""

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

Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
AddressText = Annotated[str, Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]


class SidecarSettings(NamedTuple):
    """All settings; those without a default have to be given.

    Addresses are ``host:port``. ``ingress`` is for clients, ``peers`` for
    other daemons, ``readiness`` for the platform's question, ``upstream``
    is the endpoint on this VM and ``source`` the configuration source.
    A key is refused ``key_proof_ms`` after the snapshot was last confirmed.
    ``stop_ms`` bounds a planned stop. Retries of a service in any 10 s are
    at most ``retry_ratio`` of its requests plus ``retry_slack``, over all
    daemons. In any ``quota_window_seconds`` an account may exceed its limit
    by ``quota_overage`` of it plus ``quota_slack`` requests.
    """

    vm: Name
    data_centre: Name
    service: str
    ingress: AddressText
    peers: AddressText
    readiness: AddressText
    upstream: AddressText
    source: AddressText
    key_proof_ms: Milliseconds = 4500
    stop_ms: Milliseconds = 5000
    retry_ratio: Ratio = 0.2
    retry_slack: Annotated[float, Meta(ge=0)] = 60
    quota_window_seconds: Seconds = 5
    quota_overage: Annotated[float, Meta(ge=0)] = 0
    quota_slack: Annotated[float, Meta(ge=0)] = 0
    metrics_port: Port | None = None
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    log_lines_per_second: Annotated[float, Meta(gt=0)] = 500


def load_settings(
    path: Path,
) -> Result[SidecarSettings, tuple[SettingsFault, ...]]:
    """Read and check a settings file; the error names every fault."""
    return read_settings(SidecarSettings, path)


def parse_address(text: str) -> Address:
    """Return the address that a setting holds."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
