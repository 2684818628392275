"""Longest-prefix matching of request paths to routes."""

from collections.abc import Iterator

from wagtailline.objects import Route
from wagtailline.snapshot import Snapshot

_SLASH = '/'


class RouteIndex:
    """Routes of one snapshot, indexed by prefix.

    The cost of a match grows with the number of slashes in the path, not
    with the number of routes.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        """Index the routes of a snapshot."""
        self.snapshot = snapshot
        self._routes = {
            published.prefix: published
            for published in snapshot.objects.values()
            if isinstance(published, Route)
        }

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        A prefix ends at a slash or at the end of the path, so ``/proof``
        does not match ``/proofs``.
        """
        for prefix in _prefixes(path):
            route = self._routes.get(prefix)
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes that may match the path, longest first."""
    yield path
    end = path.rfind(_SLASH)
    while end >= 0:
        yield path[: end + 1]
        yield path[:end]
        end = path.rfind(_SLASH, 0, end)
