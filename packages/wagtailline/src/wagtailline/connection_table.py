"""Open connections of one listener, and which of them make room."""

from typing import Generic, Protocol, TypeVar


class Evictable(Protocol):
    """Connection that can be closed to make room for another."""

    def evict(self) -> None:
        """Close the connection, which has no request in progress."""


_Connection = TypeVar('_Connection', bound=Evictable)


class ConnectionTable(Generic[_Connection]):
    """Connections up to a number.

    Beyond it, a new connection takes the place of one without a request in
    progress: of those that have carried none, then of the others, the one
    that has waited for longest.
    """

    def __init__(self, max_connections: int) -> None:
        """Create an empty table."""
        self._max_connections = max_connections
        self._all: set[_Connection] = set()
        # Dictionaries keep the order in which their keys were added.
        self._unused: dict[_Connection, None] = {}
        self._idle: dict[_Connection, None] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._all)

    @property
    def connections(self) -> tuple[_Connection, ...]:
        """Return all open connections."""
        return tuple(self._all)

    def add(self, connection: _Connection) -> bool:
        """Add a connection that waits for its first request.

        Returns whether the number is within the limit, also after others have
        made room.
        """
        self._all.add(connection)
        while len(self._all) > self._max_connections:
            waiting = self._unused or self._idle
            if not waiting:
                self._all.discard(connection)
                return False
            oldest = next(iter(waiting))
            self.discard(oldest)
            oldest.evict()
        self._unused[connection] = None
        return True

    def note_busy(self, connection: _Connection) -> None:
        """Note that a request is in progress on a connection."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)

    def note_idle(self, connection: _Connection) -> None:
        """Note that the last request in progress on a connection has ended."""
        if connection in self._all:
            self._idle[connection] = None

    def discard(self, connection: _Connection) -> None:
        """Remove a connection, which is closed."""
        self._all.discard(connection)
        self.note_busy(connection)
