"""Dependencies and state that the parts of the distribution share."""

from random import Random
from typing import NamedTuple

from wagtailline.distribution._topology import Topology
from wagtailline.distribution._versions import Versions
from wagtailline.distribution.settings import DistributionSettings
from wagtailline.membership import Member
from wagtailline.peers import PeerLinks
from wagtailline.ports import Clock


class DistributionContext(NamedTuple):
    """Dependencies and shared state of one member's distribution."""

    member: Member
    links: PeerLinks
    clock: Clock
    random: Random
    settings: DistributionSettings
    topology: Topology
    versions: Versions
