"""The open control connections of one process."""

from wagtailline._link import Link
from wagtailline.messages import Hello
from wagtailline.ports import Channel, Clock


class LinkRegistry:
    """Holds a bounded number of links; the newest of a peer is used."""

    def __init__(self, clock: Clock, limit: int) -> None:
        """Begin without links."""
        self._clock = clock
        self._limit = limit
        # In the order of opening, so that runs on virtual time repeat.
        self._links: dict[int, Link] = {}
        self._by_endpoint: dict[str, Link] = {}

    def find(self, endpoint: str) -> Link | None:
        """Return the open link to a peer."""
        return self._by_endpoint.get(endpoint)

    def peers(self) -> tuple[Hello, ...]:
        """Return the peers that have an open link."""
        return tuple(link.peer for link in self._by_endpoint.values())

    def add(self, channel: Channel, peer: Hello, *, dialled: bool) -> Link:
        """Keep a link to a peer that has introduced itself."""
        link = Link(channel, peer, self._clock.monotonic())
        link.dialled = dialled
        self._links[id(link)] = link
        known = self._by_endpoint.get(peer.endpoint)
        # A connection of a replaced process may outlive its successor's.
        if known is None or known.peer.incarnation <= peer.incarnation:
            self._by_endpoint[peer.endpoint] = link
        return link

    def drop(self, link: Link) -> None:
        """Close a link; another one to the same peer takes its place."""
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

    def drop_idle(self, seconds: float) -> None:
        """Close the links that were not used for the given time.

        The side that accepted waits twice as long, so that it does not
        close a link on which the other side is about to send.
        """
        now = self._clock.monotonic()
        for link in tuple(self._links.values()):
            patience = seconds if link.dialled else 2 * seconds
            if link.last_used < now - patience and not link.is_waiting:
                self.drop(link)

    def make_room(self) -> bool:
        """Close the longest unused link at the limit; tell if there is room.

        A link that waits for a reply stays.
        """
        if len(self._links) < self._limit:
            return True
        idle = [link for link in self._links.values() if not link.is_waiting]
        if idle:
            self.drop(min(idle, key=lambda link: link.last_used))
        return bool(idle)
