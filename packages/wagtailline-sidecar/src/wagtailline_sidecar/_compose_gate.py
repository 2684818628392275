"""Creates the services around the local upstream."""

import math
from typing import NamedTuple

from wagtailline.messages import (
    PROTOCOL_VERSION,
    PURPOSE_CALLS,
    PURPOSE_CONTROL,
    Hello,
)
from wagtailline.uplink import Uplink
from wagtailline_sidecar import bounds
from wagtailline_sidecar._compose_core import CoreServices
from wagtailline_sidecar.answer_link import AnswerLink
from wagtailline_sidecar.bounded_calls import BoundedCalls
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.gate_service import GateService
from wagtailline_sidecar.local_upstream import LocalUpstream, UpstreamParts
from wagtailline_sidecar.nested_calls import CallReporter, NestedCalls
from wagtailline_sidecar.peer_calls import PeerCalls, Peers
from wagtailline_sidecar.rate_limit import RateLimit
from wagtailline_sidecar.settings import SidecarSettings, parse_address
from wagtailline_sidecar.snapshot_exchange import SnapshotExchange
from wagtailline_sidecar.upstream import Upstream
from wagtailline_sidecar.warm_up import WarmUp

_BYTES_PER_MEGABIT = 125_000


class GateServices(NamedTuple):
    """Gate, state of its upstream, and connections to and from peers."""

    gate: Gate
    local: LocalUpstream
    peers: Peers
    calls: PeerCalls
    snapshot_exchange: SnapshotExchange


def build_gate_services(
    core: CoreServices, nested_calls: NestedCalls
) -> GateServices:
    """Create the gate of the local upstream and serve it to the peers."""
    settings, observe = core.settings, core.telemetry.observe
    warm_up = WarmUp(
        core.clock, core.follow_settings(bounds.find_warm_up_tolerance)
    )
    gate = Gate(core.clock, warm_up, RateLimit(core.clock, observe))
    address = parse_address(settings.upstream)
    upstream = Upstream(address, core.names, core.clock)
    upstream.memory = core.memory
    local = LocalUpstream(
        address,
        settings.data_centre,
        UpstreamParts(
            upstream,
            gate,
            warm_up,
            core.clock,
            lambda: core.snapshots.age_seconds,
        ),
        observe,
    )
    upstream.observe_failure = local.note_connection_failure
    upstream.observe_answer = local.note_answer
    upstream.observe_notice = local.apply_notice
    upstream.observe_events(observe)
    core.snapshots.subscribe(local.apply_snapshot)
    peers = _build_peers(core)
    uplink = Uplink(core.clock, _link_rate(settings))
    gate_service = GateService(
        gate,
        upstream,
        local,
        AnswerLink(uplink, settings.vm),
        core.clock,
        observe,
        core.names,
    )
    calls = PeerCalls(
        settings.vm,
        peers,
        BoundedCalls(
            CallReporter(gate_service, nested_calls, core.names),
            core.resources.request_memory,
        ),
        core.report_error,
        uplink,
    )
    snapshot_exchange = SnapshotExchange(
        core.snapshots,
        peers.transport,
        peers.make_hello(PURPOSE_CONTROL),
        peers.find_address,
        core.clock.boot,
        uplink,
        lambda: bounds.find_refresh_periods(core.settings).reply_timeout,
    )
    peers.serve(calls.server, snapshot_exchange)
    return GateServices(gate, local, peers, calls, snapshot_exchange)


def _link_rate(settings: SidecarSettings) -> float:
    """Return the rate of the link in bytes per second, or infinity."""
    if not settings.link_megabits_per_second:
        return math.inf
    return settings.link_megabits_per_second * _BYTES_PER_MEGABIT


def _build_peers(core: CoreServices) -> Peers:
    settings = core.settings
    address = parse_address(settings.peers)
    hello = Hello(
        PROTOCOL_VERSION,
        settings.vm,
        address.host,
        settings.data_centre,
        core.incarnation,
        PURPOSE_CALLS,
    )
    return Peers(hello, address, core.report_malformed_frame)
