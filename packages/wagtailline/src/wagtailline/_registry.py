"""Registry of the open control connections of one process."""

from wagtailline._link import Link
from wagtailline.messages import Hello
from wagtailline.ports import Channel, Clock


class LinkRegistry:
    """Set of open links, of which one for each peer is used to send.

    A new link replaces the one in use unless that one belongs to a newer
    process of the peer.
    """

    def __init__(self, clock: Clock, limit: int) -> None:
        """Create an empty registry; ``make_room`` enforces the limit."""
        self._clock = clock
        self._limit = limit
        # In the order of opening, so that runs in virtual time are
        # reproducible.
        self._links: dict[int, Link] = {}
        self._by_endpoint: dict[str, Link] = {}

    def find(self, endpoint: str) -> Link | None:
        """Return the link to use for a peer, None if there is none."""
        return self._by_endpoint.get(endpoint)

    def peers(self) -> tuple[Hello, ...]:
        """Return the Hello of each peer with an open link."""
        return tuple(link.peer for link in self._by_endpoint.values())

    def add(self, channel: Channel, peer: Hello, *, dialled: bool) -> Link:
        """Register a channel whose peer has sent its Hello; return the link."""
        link = Link(channel, peer, self._clock.monotonic())
        link.dialled = dialled
        self._links[id(link)] = link
        current = self._by_endpoint.get(peer.endpoint)
        # The connection of a replaced process may still be open when its
        # successor connects; it must not displace the newer one.
        if current is None or current.peer.incarnation <= peer.incarnation:
            self._by_endpoint[peer.endpoint] = link
        return link

    def drop(self, link: Link) -> None:
        """Close a link; another link to the peer replaces it, if any."""
        link.close()
        self._links.pop(id(link), None)
        endpoint = link.peer.endpoint
        if self._by_endpoint.get(endpoint) is not link:
            return
        del self._by_endpoint[endpoint]
        for other in self._links.values():
            if other.peer.endpoint == endpoint:
                self._by_endpoint[endpoint] = other

    def drop_all(self) -> None:
        """Close every link."""
        for link in tuple(self._links.values()):
            self.drop(link)

    def drop_idle(self, idle_seconds: float) -> None:
        """Close the links that were not used for the given time.

        The side that accepted a connection waits twice as long, so that it
        does not close a link on which the other side is about to send.
        """
        now = self._clock.monotonic()
        for link in tuple(self._links.values()):
            timeout = idle_seconds if link.dialled else 2 * idle_seconds
            if link.last_used < now - timeout and not link.is_waiting:
                self.drop(link)

    def make_room(self) -> bool:
        """Return whether another link can be added.

        At the limit, the least recently used link is closed to make room; a
        link that awaits a reply is never closed.
        """
        if len(self._links) < self._limit:
            return True
        idle = [link for link in self._links.values() if not link.is_waiting]
        if idle:
            self.drop(min(idle, key=lambda link: link.last_used))
        return bool(idle)
