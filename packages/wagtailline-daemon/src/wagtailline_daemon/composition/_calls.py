"""Makes the services that a call passes."""

from typing import NamedTuple

from wagtailline.admission import Gate, GateIdentity
from wagtailline.calls import CallClient, CallHandler, CallServer
from wagtailline.executions import ExecutionRecords, Ownership
from wagtailline.messages import PROTOCOL_VERSION, PURPOSE_CALLS, Hello
from wagtailline.ports import Address
from wagtailline.routing import Handlers, Position, Router
from wagtailline.streams import MAX_CALL_FRAME_BYTES, StreamTransport
from wagtailline.verification import CallVerifier
from wagtailline_daemon.composition._base import Base
from wagtailline_daemon.composition._mesh import Mesh
from wagtailline_daemon.daemon_events import CallFailed
from wagtailline_daemon.gate import GateParts, GateService, GateSupervisor
from wagtailline_daemon.ingress import Ingress, IngressAllowance
from wagtailline_daemon.monitoring import CallMetrics
from wagtailline_daemon.upstream import UpstreamClient, UpstreamSettings

# Until the first snapshot gives the endpoint's own numbers.
_FIRST_SLOTS = 1
# The gate admits at most the endpoint's slots, which the check of the set
# keeps within its connections, so this is only the largest number of slots.
_MAX_CONNECTIONS = 4096


class CallPath(NamedTuple):
    """Services that a call passes."""

    gate: Gate
    service: GateService
    server: CallServer
    ingress: Ingress
    metrics: CallMetrics


def build_call_path(base: Base, mesh: Mesh) -> CallPath:
    """Make the gate, its server, the router and the ingress."""
    settings = base.settings
    supervisor = GateSupervisor(
        base.kernel, settings.endpoint, base.clock, base.events
    )
    base.kernel.register('gate_supervisor', supervisor)
    gate = Gate(
        GateIdentity(settings.endpoint, base.member.incarnation),
        _FIRST_SLOTS,
        base.clock,
        base.random,
        observe_notice=supervisor.spread_notice,
    )
    service = _build_gate_service(base, mesh, gate)
    own = base.tracing.wrap('gate', service)
    server = CallServer(
        own,
        _hello(base),
        lambda error: base.events.error(CallFailed(repr(error))),
    )
    mesh.links.serve_purpose(
        PURPOSE_CALLS, lambda channel, hello: server.serve(channel)
    )
    router = _build_router(base, own)
    metrics = CallMetrics(base.metrics, base.random)
    ingress = Ingress(
        base.store,
        IngressAllowance(mesh.allowance),
        metrics.observe(base.tracing.wrap('ingress', router, root=True)),
        base.random,
    )
    return CallPath(gate, service, server, ingress, metrics)


def _build_gate_service(base: Base, mesh: Mesh, gate: Gate) -> GateService:
    settings = base.settings
    upstream = UpstreamClient(
        UpstreamSettings(
            Address(settings.upstream_host, settings.upstream_port),
            _MAX_CONNECTIONS,
        )
    )
    ownership = Ownership(settings.endpoint)
    records = ExecutionRecords(ownership)
    base.kernel.register('upstream', upstream)
    base.kernel.register('ownership', ownership)
    base.kernel.register('executions', records)
    parts = GateParts(
        verifier=CallVerifier(
            settings.endpoint,
            base.store,
            mesh.distribution,
            settings.max_snapshot_age_seconds,
        ),
        gate=gate,
        records=records,
        upstream=base.tracing.wrap('upstream', upstream),
    )
    return GateService(parts, base.clock)


def _build_router(base: Base, own: CallHandler) -> Router:
    def find_address(endpoint: str) -> Address | None:
        member = base.members.find(endpoint)
        return member.address if member else None

    transport = StreamTransport(
        base.codec, max_frame_bytes=MAX_CALL_FRAME_BYTES
    )
    client = CallClient(transport, _hello(base), find_address)
    position = Position(base.settings.endpoint, base.settings.data_centre)
    return Router(
        base.store,
        position,
        Handlers(own, client),
        base.clock,
        base.random,
    )


def _hello(base: Base) -> Hello:
    member = base.member
    return Hello(
        PROTOCOL_VERSION,
        member.vm,
        member.endpoint,
        member.data_centre,
        member.incarnation,
        PURPOSE_CALLS,
    )
