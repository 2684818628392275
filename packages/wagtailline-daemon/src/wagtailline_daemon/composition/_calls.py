"""Builds the services on the path of a call, from ingress to upstream."""

from typing import NamedTuple

from wagtailline.admission import Gate, GateIdentity
from wagtailline.calls import CallClient, CallHandler, CallServer
from wagtailline.executions import ExecutionRecords, Ownership
from wagtailline.messages import PURPOSE_CALLS
from wagtailline.peers import make_hello
from wagtailline.ports import Address
from wagtailline.routing import Handlers, LocalEndpoint, Router
from wagtailline.streams import MAX_CALL_FRAME_BYTES, StreamTransport
from wagtailline.verification import CallVerifier
from wagtailline_daemon.composition._control import ControlServices
from wagtailline_daemon.composition._core import CoreServices
from wagtailline_daemon.daemon_events import CallFailed
from wagtailline_daemon.gate import GateParts, GateService, GateSupervisor
from wagtailline_daemon.ingress import Ingress, IngressAllowance
from wagtailline_daemon.monitoring import CallMetrics
from wagtailline_daemon.upstream import UpstreamClient, UpstreamSettings

# Used until the first snapshot gives the slots of the endpoint.
_INITIAL_SLOTS = 1
# The gate admits at most the endpoint's slots, and validation of the object
# set keeps those within the endpoint's connections, so this is only an upper
# bound of the number of slots.
_MAX_CONNECTIONS = 4096


class CallServices(NamedTuple):
    """Services on the path of a call."""

    gate: Gate
    service: GateService
    server: CallServer
    ingress: Ingress
    metrics: CallMetrics


def build_calls(core: CoreServices, control: ControlServices) -> CallServices:
    """Build the gate, its call server, the router and the ingress."""
    settings = core.settings
    supervisor = GateSupervisor(
        core.registry, settings.endpoint, core.clock, core.events
    )
    core.registry.register('gate_supervisor', supervisor)
    gate = Gate(
        GateIdentity(settings.endpoint, core.member.incarnation),
        _INITIAL_SLOTS,
        core.clock,
        core.random,
        on_notice=supervisor.broadcast_notice,
    )
    service = _build_gate_service(core, control, gate)
    local_handler = core.tracing.wrap('gate', service)
    server = CallServer(
        local_handler,
        make_hello(core.member, PURPOSE_CALLS),
        lambda error: core.events.error(CallFailed(repr(error))),
    )
    control.links.serve_purpose(
        PURPOSE_CALLS, lambda channel, hello: server.serve(channel)
    )
    router = _build_router(core, local_handler)
    metrics = CallMetrics(core.metrics, core.random)
    ingress = Ingress(
        core.store,
        IngressAllowance(control.allowance),
        metrics.observe(core.tracing.wrap('ingress', router, root=True)),
        core.random,
    )
    return CallServices(gate, service, server, ingress, metrics)


def _build_gate_service(
    core: CoreServices, control: ControlServices, gate: Gate
) -> GateService:
    settings = core.settings
    upstream = UpstreamClient(
        UpstreamSettings(
            Address(settings.upstream_host, settings.upstream_port),
            _MAX_CONNECTIONS,
        )
    )
    ownership = Ownership(settings.endpoint)
    records = ExecutionRecords(ownership)
    core.registry.register('upstream', upstream)
    core.registry.register('ownership', ownership)
    core.registry.register('executions', records)
    parts = GateParts(
        verifier=CallVerifier(
            settings.endpoint,
            core.store,
            control.distribution,
            settings.max_snapshot_age_seconds,
        ),
        gate=gate,
        records=records,
        upstream=core.tracing.wrap('upstream', upstream),
    )
    return GateService(parts, core.clock)


def _build_router(core: CoreServices, local_handler: CallHandler) -> Router:
    def find_address(endpoint: str) -> Address | None:
        member = core.members.find(endpoint)
        return member.address if member else None

    transport = StreamTransport(
        core.codec, max_frame_bytes=MAX_CALL_FRAME_BYTES
    )
    client = CallClient(
        transport, make_hello(core.member, PURPOSE_CALLS), find_address
    )
    position = LocalEndpoint(core.settings.endpoint, core.settings.data_centre)
    return Router(
        core.store,
        position,
        Handlers(local_handler, client),
        core.clock,
        core.random,
    )
