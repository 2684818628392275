"""Parameters and results of the gate."""

import math
from typing import NamedTuple


class Ticket(NamedTuple):
    """Properties of a request that decide about its admission.

    ``deadline`` is a time of the gate's monotonic clock. ``fingerprint``
    identifies equal requests, so that those that crash an upstream can be
    blocked. ``kind`` groups requests of similar latency, for example by
    route. ``max_wait`` is the number of seconds in the queue after which the
    sender prefers another gate.
    """

    client_account: str
    weight: int
    deadline: float
    fingerprint: bytes
    kind: str = ''
    max_wait: float = math.inf


class Draining(NamedTuple):
    """The gate accepts no new requests; ``retry_after`` is in seconds."""

    reason: str
    retry_after: float = 1


class QueueFull(NamedTuple):
    """The queue is full; times are in seconds."""

    estimated_wait: float
    retry_after: float


class WaitTooLong(NamedTuple):
    """The request would not start in time; times are in seconds."""

    estimated_wait: float
    retry_after: float


class DeadlinePassed(NamedTuple):
    """The deadline passed before the request could start."""

    retry_after: float = 0


class UpstreamDown(NamedTuple):
    """The upstream accepts no connections at present."""

    retry_after: float


class SuspectBlocked(NamedTuple):
    """Upstreams crashed while they ran this request."""

    retry_after: float


GateRefusal = (
    Draining
    | QueueFull
    | WaitTooLong
    | DeadlinePassed
    | UpstreamDown
    | SuspectBlocked
)
"""A refusal by the gate; the request was not sent to the upstream."""


class GateSettings(NamedTuple):
    """Settings of a gate; durations are in seconds."""

    # Queued requests per slot. With 4, a warm upstream works off a full queue
    # within 4 service times.
    max_queued_per_slot: int = 4
    # Suspects that may wait to run alone.
    max_queued_trials: int = 8
    # An upstream without requests for this long may have cold caches.
    idle_seconds: float = 30
    # First and longest backoff after a refused connection.
    min_backoff_seconds: float = 0.1
    max_backoff_seconds: float = 2
    # Other requests are held at most this long before a suspect runs alone, and
    # again while it runs.
    trial_seconds: float = 1
    # Older reports of a health or load endpoint are ignored.
    max_report_age_seconds: float = 5
