"""Builds the limits of what clients make the daemon hold."""

from wagtailline.client_limits import ClientLimit, ClientLimits
from wagtailline.connection_table import ConnectionTable
from wagtailline.descriptors import find_max_connections
from wagtailline.read_turns import ReadTurns
from wagtailline.request_memory import RequestMemory
from wagtailline_daemon.composition._core import CoreServices
from wagtailline_daemon.ingress import IngressResources

# Bytes of requests that the daemon holds, with their bodies and with answers
# that clients don't read.
LIMIT_BYTES = 16 * 1024 * 1024
# Connections of operators.
_MAX_OPERATOR_CONNECTIONS = 64


def build_ingress_resources(core: CoreServices) -> IngressResources:
    """Return what the connections of the ingress share."""

    def count(limit: ClientLimit) -> None:
        core.metrics.count(f'clients.limited.{limit}')

    max_connections = find_max_connections(core.settings.max_connections)
    return IngressResources(
        RequestMemory(core.clock, LIMIT_BYTES, core.events.warning),
        ReadTurns(),
        ClientLimits(core.clock, count, core.events.warning),
        ConnectionTable(max_connections),
    )


def build_operator_resources(ingress: IngressResources) -> IngressResources:
    """Return what the connections of operators share.

    They have a number of their own, so that clients can't shut them out.
    """
    return ingress._replace(
        connections=ConnectionTable(_MAX_OPERATOR_CONNECTIONS)
    )
