"""Types at the border of the gate."""

import math
from typing import NamedTuple


class Ticket(NamedTuple):
    """What the gate needs to know of a request.

    ``deadline`` is on the gate's monotonic clock. ``kind`` groups requests
    of similar latency, for example by route. ``max_wait`` is how long the
    sender lets the request queue here before it prefers another gate.
    """

    client_account: str
    weight: int
    deadline: float
    fingerprint: bytes
    kind: str = ''
    max_wait: float = math.inf


class Draining(NamedTuple):
    """The gate takes no new work."""

    reason: str
    retry_after: float = 1


class QueueFull(NamedTuple):
    """No place in the queue; times in seconds."""

    estimated_wait: float
    retry_after: float


class WaitTooLong(NamedTuple):
    """The request would not start in time; times in seconds."""

    estimated_wait: float
    retry_after: float


class DeadlinePassed(NamedTuple):
    """The deadline passed before the request could start."""

    retry_after: float = 0


class UpstreamDown(NamedTuple):
    """The upstream accepts no connections at present."""

    retry_after: float


class SuspectBlocked(NamedTuple):
    """Upstreams died while they ran this request."""

    retry_after: float


GateRefusal = (
    Draining
    | QueueFull
    | WaitTooLong
    | DeadlinePassed
    | UpstreamDown
    | SuspectBlocked
)
"""Every refusal of the gate means that the upstream has not begun."""


class GateSettings(NamedTuple):
    """Tunable behaviour of a gate; durations in seconds."""

    # Places in the queue for each slot. With 4, a full queue of a warm
    # upstream drains within 4 service times.
    queue_per_slot: int = 4
    # Suspects that may wait to run alone.
    max_queued_trials: int = 8
    # An upstream without requests for this long may have lost its caches.
    idle_seconds: float = 30
    # First and longest backoff after a refused connection.
    min_backoff_seconds: float = 0.1
    max_backoff_seconds: float = 2
    # Other requests wait at most this long for a suspect to run alone.
    trial_seconds: float = 1
    # A report of a health or load endpoint older than this is ignored.
    max_report_age_seconds: float = 5
