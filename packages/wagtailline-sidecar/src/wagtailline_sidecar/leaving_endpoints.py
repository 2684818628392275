"""Endpoints that have said in a response that they leave."""

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.model import Endpoint, Incarnation, Snapshot

# Time for which a leaving endpoint that is no longer listed is remembered, as
# a snapshot from before may still come.
RETENTION_SECONDS = 60.0


class LeavingEndpoints:
    """Set of leaving endpoints, which outlasts snapshots that list them.

    An endpoint says that it leaves before its registration does, or while the
    source is away. It never takes requests again under its identity, unless it
    is started once more.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        """Set up an empty set."""
        self._clock = clock
        self._listed_at: dict[Incarnation, float] = {}

    def add(self, endpoint: Endpoint) -> bool:
        """Add an endpoint; return whether it was not known to leave."""
        incarnation = endpoint.incarnation
        is_new = incarnation not in self._listed_at
        self._listed_at[incarnation] = self._clock.monotonic()
        return is_new

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation of an endpoint leaves."""
        return endpoint.incarnation in self._listed_at

    def drop_unlisted(self, snapshot: Snapshot) -> None:
        """Drop endpoints that snapshots have not listed for a while."""
        if not self._listed_at:
            return
        now = self._clock.monotonic()
        for endpoint in snapshot.endpoints:
            incarnation = endpoint.incarnation
            if incarnation in self._listed_at:
                self._listed_at[incarnation] = now
        self._listed_at = {
            incarnation: listed_at
            for incarnation, listed_at in self._listed_at.items()
            if now - listed_at < RETENTION_SECONDS
        }
