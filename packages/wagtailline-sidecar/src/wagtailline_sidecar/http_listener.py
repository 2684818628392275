"""HTTP listener on one address."""

from collections.abc import Callable
from functools import partial

from wagtailline.connection_table import ConnectionTable
from wagtailline.ports import Address
from wagtailline_sidecar._acceptor import Acceptor
from wagtailline_sidecar.listener_resources import (
    ListenerResources,
    make_unlimited_resources,
)
from wagtailline_sidecar.model import IngressLimits
from wagtailline_sidecar.server_connection import (
    ConnectionServices,
    Handler,
    ServerConnection,
)
from wagtailline_sidecar.turns import Turns

# Connections of a listener that few clients use.
MAX_CONNECTIONS = 64


class HttpListener:
    """Service that accepts connections and runs a handler per request."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        on_error: Callable[[Exception], None],
        limits: Callable[[], IngressLimits] = IngressLimits,
        turns: Turns | None = None,
        resources: ListenerResources | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Set up a listener; ``start`` opens the socket.

        ``on_error`` is called with exceptions that the handler raises. Without
        ``resources``, what the connections hold is not bounded together.
        """
        shared = resources or make_unlimited_resources()
        self._table: ConnectionTable[ServerConnection] = ConnectionTable(
            max_connections
        )
        self._services = ConnectionServices(
            handler,
            self._prepare,
            limits,
            self._table,
            on_error,
            turns or Turns(),
            shared,
        )
        self._acceptor = Acceptor(
            address, partial(ServerConnection, self._services)
        )
        self._is_draining = False
        self._has_ended_reading = False

    @property
    def address(self) -> Address:
        """Return the bound address, with the port the system chose for 0."""
        return self._acceptor.address

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._table)

    @property
    def in_progress(self) -> int:
        """Return the number of connections with requests in progress."""
        return sum(
            not connection.is_idle for connection in self._table.connections
        )

    @property
    def lingering(self) -> int:
        """Return the number of closed connections with responses under way."""
        return sum(
            connection.is_lingering for connection in self._table.connections
        )

    async def start(self) -> None:
        """Start to listen; raise OSError if the address is in use."""
        self._acceptor.start()

    def disable_keep_alive(self) -> None:
        """Close each open connection after the response to its last request.

        Until then, requests are served as before.
        """
        for connection in self._table.connections:
            connection.is_closing = True

    def close_idle(self) -> None:
        """Close idle connections now, and busy ones when they become idle.

        Later connections close after their first response.
        """
        self._is_draining = True
        for connection in self._table.connections:
            connection.close_when_idle()

    def end_reading(self) -> None:
        """Read nothing more from any connection, open or not yet.

        A request that is read when the process ends gets no answer, and its
        client can't tell whether it ran.
        """
        self._has_ended_reading = True
        for connection in self._table.connections:
            connection.end_reading()

    async def stop(self) -> None:
        """Stop accepting connections, then close connections as they idle."""
        self._acceptor.stop()
        self.close_idle()

    def _prepare(self, connection: ServerConnection) -> None:
        """Apply the state of the listener to a connection that has opened.

        The table has it only since then, not since it was accepted.
        """
        connection.is_closing = self._is_draining
        if self._has_ended_reading:
            connection.end_reading()
