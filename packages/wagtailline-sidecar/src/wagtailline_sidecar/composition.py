"""Composition root that creates and connects all services of the sidecar."""

from wagtailline.ports import Address
from wagtailline.service_registry import ServiceRegistry
from wagtailline_sidecar._compose_base import Base, build_base
from wagtailline_sidecar._compose_gate import GateServices, build_gate_services
from wagtailline_sidecar._compose_ingress import (
    build_ingress,
    build_quota_services,
)
from wagtailline_sidecar.daemon import Daemon, Readiness
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.settings import parse_address
from wagtailline_sidecar.source_reader import Location, Source, SourceReader
from wagtailline_sidecar.status_pages import answer_metrics, answer_readiness

__all__ = ('Base', 'build_base', 'build_daemon')


def build_daemon(base: Base, source: Source) -> Daemon:
    """Create all services of the daemon without starting them."""
    quota_services = build_quota_services(base)
    gate_services = build_gate_services(base)
    readiness = Readiness(base.snapshots)
    ingress = build_ingress(base, gate_services.calls, quota_services)
    services: dict[str, object] = {
        'settings': base.watch,
        'source_reader': _build_reader(base, source, gate_services),
        'local_upstream': gate_services.local,
        'peers': gate_services.peers,
        'peer_calls': gate_services.calls,
        'notices': quota_services.datagrams,
        'demand_reporter': quota_services.reporter,
        'ingress': ingress,
        **_build_status_listeners(base, readiness),
    }
    registry = ServiceRegistry()
    for name, service in services.items():
        registry.register(name, service)
    return Daemon(
        base.watch,
        registry,
        base.telemetry,
        gate_services.gate,
        gate_services.calls,
        ingress,
        readiness,
    )


def _build_reader(
    base: Base, source: Source, gate_services: GateServices
) -> SourceReader:
    settings = base.settings
    return SourceReader(
        source,
        base.snapshots,
        gate_services.snapshot_exchange.fetch,
        Location(parse_address(settings.peers).host, settings.data_centre),
        base.clock,
        base.random,
        base.telemetry.observe,
    )


def _build_status_listeners(
    base: Base, readiness: Readiness
) -> dict[str, object]:
    settings = base.settings
    listeners: dict[str, object] = {
        'readiness': HttpListener(
            parse_address(settings.readiness),
            answer_readiness(readiness.is_ready),
            base.report_error,
        )
    }
    if settings.metrics_port is not None:
        host = parse_address(settings.ingress).host
        listeners['metrics'] = HttpListener(
            Address(host, settings.metrics_port),
            answer_metrics(base.telemetry.render),
            base.report_error,
        )
    return listeners
