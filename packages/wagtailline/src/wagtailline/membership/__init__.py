"""SWIM-like membership: which vm holds which endpoint, and which answer.

Each process states its vm, address and incarnation. Statements and suspicions
are disseminated by gossip and piggybacked on probes; anti-entropy repairs
what gossip has missed. The platform's lists of vms introduce members to each
other, and a majority of witnesses confirms that a process still holds its
endpoint.
"""

from wagtailline.membership._listing import (
    ListFault,
    ListMalformed,
    parse_vm_list,
)
from wagtailline.membership._local import MembershipPorts
from wagtailline.membership._members import Member, MemberStatus, MemberTable
from wagtailline.membership._peers import LinkPeers, PeerTransport
from wagtailline.membership._service import (
    MembershipService,
    PublishedEndpoints,
)
from wagtailline.membership._settings import MembershipSettings
from wagtailline.membership.messages import MEMBERSHIP_KINDS

__all__ = (
    'MEMBERSHIP_KINDS',
    'LinkPeers',
    'ListFault',
    'ListMalformed',
    'Member',
    'MemberStatus',
    'MemberTable',
    'MembershipPorts',
    'MembershipService',
    'MembershipSettings',
    'PeerTransport',
    'PublishedEndpoints',
    'parse_vm_list',
)
