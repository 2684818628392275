"""Makes the services around the local upstream."""

from typing import NamedTuple

from wagtailline_sidecar._compose_base import Base
from wagtailline_sidecar.daemon_events import HandlerFailed
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.gate_service import GateService
from wagtailline_sidecar.local_upstream import LocalUpstream, UpstreamParts
from wagtailline_sidecar.peer_calls import PeerCalls
from wagtailline_sidecar.settings import parse_address
from wagtailline_sidecar.upstream import Upstream
from wagtailline_sidecar.warm_up import WarmUp


class GateSide(NamedTuple):
    """The gate, what it believes of its upstream, and the way to peers."""

    gate: Gate
    local: LocalUpstream
    peers: PeerCalls


def build_gate_side(base: Base) -> GateSide:
    """Make the gate and serve it to the peers."""
    settings, observe = base.settings, base.telemetry.observe
    warm_up = WarmUp(base.clock)
    gate = Gate(base.clock, warm_up)
    address = parse_address(settings.upstream)
    upstream = Upstream(address, base.names, base.clock)
    local = LocalUpstream(
        address,
        settings.data_centre,
        UpstreamParts(upstream, gate, warm_up),
        observe,
    )
    upstream.observe = local.note_connection
    base.keeper.subscribe(local.follow)
    peers = PeerCalls(
        settings.vm,
        settings.data_centre,
        parse_address(settings.peers),
        base.incarnation,
        GateService(gate, upstream, local, base.clock, observe),
        base.report_fault,
        lambda error: observe(HandlerFailed(repr(error))),
    )
    return GateSide(gate, local, peers)
