"""Creates the services that handle the requests of clients."""

from typing import NamedTuple

from wagtailline_sidecar._compose_base import Base
from wagtailline_sidecar.admission import Admission
from wagtailline_sidecar.datagrams import DatagramEndpoint
from wagtailline_sidecar.demand import Demand
from wagtailline_sidecar.demand_reporter import DemandReporter
from wagtailline_sidecar.forwarder import Forwarder
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.ingress import Ingress, IngressDependencies
from wagtailline_sidecar.model import IngressLimits, Snapshot
from wagtailline_sidecar.peer_calls import PeerCalls
from wagtailline_sidecar.quotas import Members, Quotas, TokenIssuer
from wagtailline_sidecar.routing import Splitter
from wagtailline_sidecar.selection import RemoteCost, Selector
from wagtailline_sidecar.settings import parse_address
from wagtailline_sidecar.token_requester import TokenRequester

_RETRY_WINDOW_SECONDS = 10.0
# Fraction of the retry budget of all daemons that they use: the load of daemons
# is unequal, and each call of a retried request counts as a retry.
_RETRY_BUDGET_FRACTION = 0.3


class QuotaServices(NamedTuple):
    """Limits of client accounts and the exchange of datagrams about them."""

    members: Members
    quotas: Quotas
    datagrams: DatagramEndpoint
    reporter: DemandReporter


def build_quota_services(base: Base) -> QuotaServices:
    """Create the quotas and update them with each snapshot."""
    datagrams = DatagramEndpoint(
        parse_address(base.settings.peers), base.report_malformed_frame
    )
    demand = Demand(datagrams.host, base.clock)
    members = Members(base.clock)
    token_issuer = TokenIssuer(
        datagrams.host, base.clock, base.tolerance, members
    )
    token_requester = TokenRequester(
        datagrams, token_issuer, base.telemetry.observe
    )
    quotas = Quotas(
        base.clock,
        base.tolerance,
        demand,
        members,
        token_requester.request_tokens,
    )

    def follow(snapshot: Snapshot) -> None:
        accounts = snapshot.configuration.accounts
        members.update_hosts(
            {endpoint.address.host for endpoint in snapshot.endpoints}
        )
        quotas.update_accounts(accounts)
        token_issuer.update_accounts(accounts)

    base.snapshots.subscribe(follow)
    reporter = DemandReporter(
        demand,
        datagrams,
        lambda: members.hosts,
        base.incarnation,
        quotas.is_shared,
    )
    return QuotaServices(members, quotas, datagrams, reporter)


def build_ingress(
    base: Base, peers: PeerCalls, quota_services: QuotaServices
) -> HttpListener:
    """Create the listener for requests of clients and of the local upstream."""
    dependencies = IngressDependencies(
        base.snapshots,
        Admission(
            base.snapshots,
            quota_services.quotas,
            base.names,
            base.max_key_snapshot_age_seconds,
        ),
        quota_services.quotas,
        Splitter(base.random),
        _build_forwarder(base, peers, quota_services.members),
    )
    handler = Ingress(
        dependencies,
        base.names,
        base.settings.service,
        base.clock,
        base.random,
        base.telemetry.observe,
    )

    def limits() -> IngressLimits:
        snapshot = base.snapshots.current
        return snapshot.configuration.limits if snapshot else IngressLimits()

    return HttpListener(
        parse_address(base.settings.ingress),
        handler,
        base.report_error,
        limits,
    )


def _build_forwarder(
    base: Base, peers: PeerCalls, members: Members
) -> Forwarder:
    settings = base.settings
    selector = Selector(
        base.clock, base.random, settings.data_centre, RemoteCost()
    )
    base.snapshots.subscribe(selector.drop_unlisted)
    slack_per_second = (
        settings.retry_slack * _RETRY_BUDGET_FRACTION / _RETRY_WINDOW_SECONDS
    )
    return Forwarder(
        selector,
        peers,
        base.clock,
        settings.retry_ratio * _RETRY_BUDGET_FRACTION,
        lambda: slack_per_second / len(members),
    )
