"""HTTP listener on one address."""

import asyncio
from collections.abc import Callable

from wagtailline.ports import Address
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

_BACKLOG = 1024


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
    ) -> None:
        """Set up a listener; ``start`` opens the socket.

        ``on_error`` is called with exceptions that the handler raises. Without
        ``resources``, what the connections hold is not bounded together.
        """
        shared = resources or make_unlimited_resources()
        self._connections: set[ServerConnection] = set()
        self._services = ConnectionServices(
            handler,
            limits,
            self._connections,
            on_error,
            turns or Turns(),
            shared,
        )
        self._address = address
        self._server: asyncio.Server | None = None
        self._is_draining = False

    @property
    def address(self) -> Address:
        """Return the bound address, with the port the system chose for 0."""
        if self._server is None:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def in_progress(self) -> int:
        """Return the number of connections with requests in progress."""
        return sum(not connection.is_idle for connection in self._connections)

    @property
    def lingering(self) -> int:
        """Return the number of closed connections with responses under way."""
        return sum(connection.is_lingering for connection in self._connections)

    async def start(self) -> None:
        """Start to listen; raise OSError if the address is in use."""
        self._server = await asyncio.get_running_loop().create_server(
            self._make_connection,
            self._address.host,
            self._address.port,
            backlog=_BACKLOG,
        )

    def disable_keep_alive(self) -> None:
        """Close each open connection after the response to its last request.

        Until then, requests are served as before.
        """
        for connection in tuple(self._connections):
            connection.is_closing = True

    def close_idle(self) -> None:
        """Close idle connections now, and busy ones when they become idle.

        Later connections close after their first response.
        """
        self._is_draining = True
        for connection in tuple(self._connections):
            connection.close_when_idle()

    async def stop(self) -> None:
        """Stop accepting connections, then close connections as they idle."""
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def _make_connection(self) -> ServerConnection:
        connection = ServerConnection(self._services)
        connection.is_closing = self._is_draining
        return connection
