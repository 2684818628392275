"""Resources of a daemon that the connections of its ingress share."""

from typing import TYPE_CHECKING, NamedTuple

from wagtailline.client_limits import ClientLimits
from wagtailline.connection_table import ConnectionTable
from wagtailline.memory_budget import FrozenClock
from wagtailline.read_turns import ReadTurns
from wagtailline.request_memory import (
    RequestMemory,
    make_unlimited_request_memory,
)

if TYPE_CHECKING:
    from wagtailline_daemon.ingress._protocol import IngressProtocol

# Connections of clients, unless the process may have too few descriptors.
MAX_CONNECTIONS = 1900


class IngressResources(NamedTuple):
    """Memory, turns and limits of all connections of the ingress.

    What the daemon holds of requests and of answers that clients don't read is
    counted in ``memory``. Connections that have read much take ``read_turns``.
    """

    memory: RequestMemory
    read_turns: ReadTurns
    client_limits: ClientLimits
    connections: 'ConnectionTable[IngressProtocol]'


def make_unlimited_resources() -> IngressResources:
    """Return resources without a limit of memory, which report nothing."""
    return IngressResources(
        make_unlimited_request_memory(),
        ReadTurns(),
        ClientLimits(FrozenClock()),
        ConnectionTable(MAX_CONNECTIONS),
    )
