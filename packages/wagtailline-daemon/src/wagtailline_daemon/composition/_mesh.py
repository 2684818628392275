"""Makes the services that talk to other daemons about control."""

from typing import NamedTuple

from wagtailline.allowance import Allowance, Identity
from wagtailline.codec import FrameFault
from wagtailline.distribution import Distribution
from wagtailline.membership import (
    Environment,
    LinkPeers,
    MembershipService,
    MembershipSettings,
)
from wagtailline.peer_requests import PeerRequests
from wagtailline.peers import PeerLinks
from wagtailline.streams import StreamTransport
from wagtailline_daemon.composition._base import Base
from wagtailline_daemon.composition._published_names import PublishedNames
from wagtailline_daemon.daemon_events import FrameRejected, VmListRejected
from wagtailline_daemon.http_source import HttpSource


class Mesh(NamedTuple):
    """Services that talk to other daemons about control."""

    links: PeerLinks
    peers: PeerRequests
    membership: MembershipService
    distribution: Distribution
    allowance: Allowance
    names: PublishedNames


def build_mesh(base: Base) -> Mesh:
    source = HttpSource(base.settings.source_url)
    base.kernel.register('source', source)
    transport = _build_transport(base)
    links = PeerLinks(base.member, base.members, transport, base.clock)
    peers = PeerRequests(links, base.codec)
    names = PublishedNames(base.store, base.settings.data_centre)
    membership = MembershipService(
        base.member,
        Environment(
            LinkPeers(links),
            base.clock,
            base.random,
            base.members,
            MembershipSettings(),
        ),
        source,
        names.published(),
        lambda data_centre, failure: base.events.warning(
            VmListRejected(data_centre, str(failure))
        ),
    )
    identity = Identity(
        base.member.endpoint,
        base.member.data_centre,
        base.member.vm,
        base.member.incarnation,
    )
    return Mesh(
        names=names,
        links=links,
        peers=peers,
        membership=membership,
        distribution=Distribution(
            links, source, base.store, base.clock, base.random
        ),
        allowance=Allowance(
            identity, base.store, peers, base.clock, base.random
        ),
    )


def _build_transport(base: Base) -> StreamTransport:
    def observe(fault: FrameFault) -> None:
        base.metrics.count('peers.frames_rejected')
        base.events.warning(FrameRejected(str(fault)))

    return StreamTransport(base.codec, observe)
