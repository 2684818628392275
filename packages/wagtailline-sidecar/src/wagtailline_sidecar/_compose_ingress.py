"""Makes the services that a request passes on its way in."""

from typing import NamedTuple

from wagtailline_sidecar._compose_base import Base
from wagtailline_sidecar.admission import Admission
from wagtailline_sidecar.borrowing import TokenRequester
from wagtailline_sidecar.datagrams import DatagramEndpoint
from wagtailline_sidecar.demand import Demand
from wagtailline_sidecar.demand_reporter import DemandReporter
from wagtailline_sidecar.forwarder import Forwarder
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.ingress import Ingress, IngressParts
from wagtailline_sidecar.model import IngressLimits, Snapshot
from wagtailline_sidecar.peer_calls import PeerCalls
from wagtailline_sidecar.quotas import Members, Quotas, TokenIssuer
from wagtailline_sidecar.routing import Splitter
from wagtailline_sidecar.selection import RemoteCost, Selector
from wagtailline_sidecar.settings import parse_address

_WINDOW_SECONDS = 10.0
# Of what all daemons may repeat together, each daemon plans with this part:
# loads are unequal, and the calls of a repeated request count as repeats.
_RETRY_PART = 0.3


class QuotaSide(NamedTuple):
    """The limits of client accounts and the messages about them."""

    members: Members
    quotas: Quotas
    datagrams: DatagramEndpoint
    reporter: DemandReporter


def build_quota_side(base: Base) -> QuotaSide:
    """Make the quotas and let them follow the snapshot."""
    datagrams = DatagramEndpoint(
        parse_address(base.settings.peers), base.report_fault
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
        members.update_hosts({one.address.host for one in snapshot.endpoints})
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
    return QuotaSide(members, quotas, datagrams, reporter)


def build_ingress(
    base: Base, peers: PeerCalls, quota_side: QuotaSide
) -> HttpListener:
    """Make the listener for clients and the upstream on this VM."""
    parts = IngressParts(
        base.snapshots,
        Admission(
            base.snapshots,
            quota_side.quotas,
            base.names,
            base.key_proof_seconds,
        ),
        quota_side.quotas,
        Splitter(base.random),
        _build_forwarder(base, peers, quota_side.members),
    )
    handler = Ingress(
        parts,
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
    slack_per_second = settings.retry_slack * _RETRY_PART / _WINDOW_SECONDS
    return Forwarder(
        selector,
        peers,
        base.clock,
        settings.retry_ratio * _RETRY_PART,
        lambda: slack_per_second / len(members),
    )
