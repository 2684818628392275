"""Knowledge of what was published since the source was restored."""

from wagtailline_sidecar.source_outages import TimeSource
from wagtailline_sidecar.source_revision import NO_REVISION, SourceRevision

# Time in which an operator may publish lost versions again, in order.
REWRITE_SECONDS = 2.0


class EraWrites:
    """Knowledge of which revisions of an era are later than its copy.

    An era begins with a copy of an earlier state. A change is known to have
    been made in the era if it is later than the first revision that this
    daemon, or one that it has heard of, saw there.
    """

    def __init__(self, clock: TimeSource) -> None:
        """Start without an era."""
        self._clock = clock
        self._settled_at = float('-inf')
        self.start = NO_REVISION

    @property
    def settle_seconds(self) -> float:
        """Return for how long lost versions may still be published again."""
        return max(self._settled_at - self._clock.boot(), 0)

    def begin(self, revision: SourceRevision) -> None:
        """Begin with the first revision that is known of an era."""
        self.start = revision
        self._settled_at = self._clock.boot() + REWRITE_SECONDS

    def learn(self, start: SourceRevision) -> None:
        """Learn the first revision of an era that a peer knows."""
        if start.era == self.start.era:
            self.start = min(self.start, start)

    def include(self, revision: SourceRevision) -> bool:
        """Return whether a change is known to have been made in the era."""
        return revision.era == self.start.era and revision > self.start
