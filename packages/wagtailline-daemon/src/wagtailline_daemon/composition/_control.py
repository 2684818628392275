"""Builds the services that exchange control messages with other daemons."""

from typing import NamedTuple

from wagtailline.allowance import Allowance, Identity
from wagtailline.codec import FrameFault
from wagtailline.distribution import Distribution
from wagtailline.membership import (
    LinkPeers,
    MembershipPorts,
    MembershipService,
    MembershipSettings,
)
from wagtailline.peer_requests import PeerRequests
from wagtailline.peers import PeerLinks
from wagtailline.streams import StreamTransport
from wagtailline_daemon.composition._core import CoreServices
from wagtailline_daemon.composition._published_names import PublishedNames
from wagtailline_daemon.daemon_events import FrameRejected, VmListRejected
from wagtailline_daemon.http_source import HttpSource


class ControlServices(NamedTuple):
    """Services that exchange control messages with other daemons."""

    links: PeerLinks
    peer_requests: PeerRequests
    membership: MembershipService
    distribution: Distribution
    allowance: Allowance
    published_names: PublishedNames


def build_control(core: CoreServices) -> ControlServices:
    """Build peer links, membership, distribution and allowance."""
    source = HttpSource(core.settings.source_url)
    core.registry.register('source', source)
    transport = _build_transport(core)
    links = PeerLinks(core.member, core.members, transport, core.clock)
    peer_requests = PeerRequests(links, core.codec)
    published_names = PublishedNames(core.store, core.settings.data_centre)
    membership = MembershipService(
        core.member,
        MembershipPorts(
            LinkPeers(links),
            core.clock,
            core.random,
            core.members,
            MembershipSettings(),
        ),
        source,
        published_names.published(),
        lambda data_centre, failure: core.events.warning(
            VmListRejected(data_centre, str(failure))
        ),
    )
    identity = Identity(
        core.member.endpoint,
        core.member.data_centre,
        core.member.vm,
        core.member.incarnation,
    )
    return ControlServices(
        published_names=published_names,
        links=links,
        peer_requests=peer_requests,
        membership=membership,
        distribution=Distribution(
            links, source, core.store, core.clock, core.random
        ),
        allowance=Allowance(
            identity, core.store, peer_requests, core.clock, core.random
        ),
    )


def _build_transport(core: CoreServices) -> StreamTransport:
    def report_fault(fault: FrameFault) -> None:
        core.metrics.count('peers.frames_rejected')
        core.events.warning(FrameRejected(str(fault)))

    return StreamTransport(core.codec, report_fault)
