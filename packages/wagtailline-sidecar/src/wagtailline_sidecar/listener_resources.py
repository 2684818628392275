"""Resources of a daemon that the connections of its listeners share."""

from typing import NamedTuple

from wagtailline.client_limits import ClientLimits
from wagtailline.memory_budget import FrozenClock
from wagtailline.read_turns import ReadTurns
from wagtailline.request_memory import (
    RequestMemory,
    make_unlimited_request_memory,
)
from wagtailline_sidecar.body_memory import BodyMemory, make_unlimited_memory


class ListenerResources(NamedTuple):
    """Memory, turns and limits of all listeners of a daemon.

    Bodies of requests, and what clients are slow to read, are held in
    ``body_memory``, and everything else of requests in ``request_memory``.
    Connections that have read much take ``read_turns``. Limits that clients
    meet are reported to ``client_limits``.
    """

    body_memory: BodyMemory
    request_memory: RequestMemory
    read_turns: ReadTurns
    client_limits: ClientLimits


def make_unlimited_resources() -> ListenerResources:
    """Return resources without limits, which report nothing."""
    return ListenerResources(
        make_unlimited_memory(),
        make_unlimited_request_memory(),
        ReadTurns(),
        ClientLimits(FrozenClock()),
    )
