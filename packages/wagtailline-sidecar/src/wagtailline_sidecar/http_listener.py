"""Listens for HTTP connections."""

import asyncio
from collections.abc import Callable

from wagtailline.ports import Address
from wagtailline_sidecar.model import IngressLimits
from wagtailline_sidecar.server_connection import Handler, ServerConnection

_BACKLOG = 1024


class HttpListener:
    """Service that runs a handler for the requests of an address."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        observe_error: Callable[[Exception], None],
        limits: Callable[[], IngressLimits] = IngressLimits,
    ) -> None:
        """Listen after the start.

        ``observe_error`` gets what the handler raised.
        """
        self._observe_error = observe_error
        self._address = address
        self._handler = handler
        self._limits = limits
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def in_progress(self) -> int:
        """Return the number of connections with requests in progress."""
        return sum(not one.is_idle for one in self._connections)

    async def start(self) -> None:
        """Listen; raise OSError when the address is taken."""
        self._server = await asyncio.get_running_loop().create_server(
            self._make_connection,
            self._address.host,
            self._address.port,
            backlog=_BACKLOG,
        )

    def finish(self) -> None:
        """Answer what comes, and close each connection behind an answer."""
        for connection in tuple(self._connections):
            connection.is_closing = True

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in tuple(self._connections):
            connection.close_when_idle()

    async def stop(self) -> None:
        """Take no new connections and close the idle ones."""
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(
            self._handler,
            self._limits,
            self._connections,
            self._observe_error,
        )
