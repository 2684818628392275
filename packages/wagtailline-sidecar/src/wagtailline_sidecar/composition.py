"""Composition root that creates and connects all services of the sidecar."""

from wagtailline.ports import Address
from wagtailline.service_registry import ServiceRegistry
from wagtailline_sidecar import bounds
from wagtailline_sidecar._compose_core import CoreServices, build_core_services
from wagtailline_sidecar._compose_gate import GateServices, build_gate_services
from wagtailline_sidecar._compose_ingress import (
    build_ingress,
    build_quota_services,
)
from wagtailline_sidecar.daemon import Daemon, Readiness
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.location import Location
from wagtailline_sidecar.nested_calls import NestedCalls
from wagtailline_sidecar.settings import parse_address
from wagtailline_sidecar.source_reader import (
    Origins,
    Source,
    SourceReader,
)
from wagtailline_sidecar.status_pages import (
    make_metrics_handler,
    make_readiness_handler,
)

__all__ = ('CoreServices', 'build_core_services', 'build_daemon')


def build_daemon(core: CoreServices, source: Source) -> Daemon:
    """Create all services of the daemon without starting them."""
    nested_calls = NestedCalls(core.clock)
    quota_services = build_quota_services(core)
    gate_services = build_gate_services(core, nested_calls)
    readiness = Readiness(core.snapshots)
    listener, handler = build_ingress(
        core,
        gate_services.calls,
        quota_services,
        nested_calls,
        lambda: readiness.stops_at,
    )
    core.telemetry.show_connections(lambda: listener.connections)
    status_listeners = _build_status_listeners(core, readiness)
    services: dict[str, object] = {
        'settings': core.watch,
        'pauses': core.pauses,
        'source_reader': _build_reader(core, source, gate_services),
        'local_upstream': gate_services.local,
        'peers': gate_services.peers,
        'peer_calls': gate_services.calls,
        'notices': quota_services.datagrams,
        'demand_reporter': quota_services.reporter,
        'ingress': listener,
        **status_listeners,
    }
    registry = ServiceRegistry()
    for name, service in services.items():
        registry.register(name, service)
    return Daemon(
        core.watch,
        registry,
        core.telemetry,
        gate_services.gate,
        gate_services.calls,
        listener,
        tuple(status_listeners.values()),
        readiness,
        handler.end_requests,
    )


def _build_reader(
    core: CoreServices, source: Source, gate_services: GateServices
) -> SourceReader:
    settings = core.settings
    source.on_early_endpoints = core.snapshots.apply_early
    return SourceReader(
        Origins(source, gate_services.snapshot_exchange.fetch),
        core.snapshots,
        Location(
            parse_address(settings.peers).host,
            settings.data_centre,
            settings.link_megabits_per_second,
        ),
        core.clock,
        core.random,
        core.telemetry.observe,
        core.follow_settings(bounds.find_refresh_periods),
    )


def _build_status_listeners(
    core: CoreServices, readiness: Readiness
) -> dict[str, HttpListener]:
    settings = core.settings
    listeners = {
        'readiness': HttpListener(
            parse_address(settings.readiness),
            make_readiness_handler(readiness.is_ready),
            core.report_error,
            resources=core.resources,
        )
    }
    if settings.metrics_port is not None:
        host = parse_address(settings.ingress).host
        listeners['metrics'] = HttpListener(
            Address(host, settings.metrics_port),
            make_metrics_handler(core.telemetry.render),
            core.report_error,
            resources=core.resources,
        )
    return listeners
