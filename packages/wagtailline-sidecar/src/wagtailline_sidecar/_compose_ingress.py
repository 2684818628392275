"""Creates the services that handle the requests of clients."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline.descriptors import find_max_connections
from wagtailline_sidecar import bounds
from wagtailline_sidecar._compose_core import CoreServices
from wagtailline_sidecar._compose_retries import build_retry_policy
from wagtailline_sidecar.admission import Admission
from wagtailline_sidecar.datagrams import DatagramEndpoint
from wagtailline_sidecar.demand import Demand
from wagtailline_sidecar.demand_reporter import DemandReporter
from wagtailline_sidecar.forwarder import Forwarder
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.ingress import Ingress, IngressDependencies
from wagtailline_sidecar.members import Members
from wagtailline_sidecar.model import IngressLimits, Snapshot
from wagtailline_sidecar.nested_calls import NestedCalls
from wagtailline_sidecar.peer_calls import PeerCalls
from wagtailline_sidecar.quotas import Quotas, TokenIssuer
from wagtailline_sidecar.routing import Splitter
from wagtailline_sidecar.selection import RemoteCost, Selector
from wagtailline_sidecar.settings import parse_address
from wagtailline_sidecar.token_requester import TokenRequester
from wagtailline_sidecar.turns import Turns


class QuotaServices(NamedTuple):
    """Limits of client accounts and the exchange of datagrams about them."""

    members: Members
    quotas: Quotas
    datagrams: DatagramEndpoint
    reporter: DemandReporter


class IngressServices(NamedTuple):
    """Listener for requests of clients, and their handler."""

    listener: HttpListener
    handler: Ingress


def build_quota_services(core: CoreServices) -> QuotaServices:
    """Create the quotas and update them with each snapshot."""
    datagrams = DatagramEndpoint(
        parse_address(core.settings.peers),
        core.report_malformed_frame,
        core.telemetry.observe,
    )
    demand = Demand(datagrams.host, core.clock)
    members = Members(core.clock, core.settings.data_centre, datagrams.host)
    tolerance = core.follow_settings(bounds.find_quota_tolerance)
    token_issuer = TokenIssuer(datagrams.host, core.clock, tolerance, members)
    token_requester = TokenRequester(
        datagrams, token_issuer, core.telemetry.observe
    )
    quotas = Quotas(
        core.clock,
        tolerance,
        demand,
        members,
        token_requester.request_tokens,
    )

    def follow(snapshot: Snapshot) -> None:
        accounts = snapshot.configuration.accounts
        members.update_hosts(
            {
                endpoint.address.host: endpoint.data_centre
                for endpoint in snapshot.endpoints
            }
        )
        quotas.update_accounts(accounts)
        token_issuer.update_accounts(accounts)

    core.snapshots.subscribe(follow)
    reporter = DemandReporter(
        demand,
        datagrams,
        lambda: members.hosts,
        core.incarnation,
        quotas.is_shared,
        core.telemetry.observe,
    )
    return QuotaServices(members, quotas, datagrams, reporter)


def build_ingress(
    core: CoreServices,
    peers: PeerCalls,
    quota_services: QuotaServices,
    nested_calls: NestedCalls,
    stops_at: Callable[[], float],
) -> IngressServices:
    """Create the listener for requests of clients and of the local upstream."""
    dependencies = IngressDependencies(
        core.snapshots,
        Admission(
            core.snapshots,
            quota_services.quotas,
            core.names,
            core.clock,
            core.follow_settings(bounds.find_key_proof_seconds),
            core.follow_settings(bounds.find_denial_seconds),
            stops_at,
        ),
        quota_services.quotas,
        Splitter(core.random),
        _build_forwarder(core, peers, quota_services, nested_calls),
    )
    dependencies.forwarder.memory = core.memory
    handler = Ingress(
        dependencies,
        core.names,
        core.settings.service,
        core.clock,
        core.random,
        core.telemetry.observe,
    )
    handler.memory = core.memory

    def limits() -> IngressLimits:
        snapshot = core.snapshots.current
        return snapshot.configuration.limits if snapshot else IngressLimits()

    listener = HttpListener(
        parse_address(core.settings.ingress),
        handler,
        core.report_error,
        limits,
        Turns(core.telemetry.observe_start_delay),
        core.resources,
        find_max_connections(core.settings.max_connections),
    )
    return IngressServices(listener, handler)


def _build_forwarder(
    core: CoreServices,
    peers: PeerCalls,
    quota_services: QuotaServices,
    nested_calls: NestedCalls,
) -> Forwarder:
    data_centre = core.settings.data_centre
    selector = Selector(core.clock, core.random, data_centre, RemoteCost())
    core.snapshots.subscribe(selector.drop_unlisted)
    return Forwarder(
        selector,
        peers,
        core.clock,
        build_retry_policy(
            core, quota_services.datagrams, quota_services.members, nested_calls
        ),
        core.names,
        core.telemetry.observe,
    )
