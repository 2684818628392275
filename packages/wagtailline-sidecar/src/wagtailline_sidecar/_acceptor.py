"""Listening socket that accepts a few connections at a time."""

import asyncio
import socket
from collections.abc import Callable

from wagtailline.ports import Address

# Connections that the system queues until they are accepted.
_BACKLOG = 1024
# Connections that are accepted in one iteration of the event loop. So those
# that make room for them are closed in between.
MAX_ACCEPTED_PER_ITERATION = 32
# Pause after a failure, such as a lack of descriptors.
RETRY_SECONDS = 0.1


class Acceptor:
    """Acceptor of the connections to one address."""

    def __init__(
        self,
        address: Address,
        make_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Set up an acceptor that makes a protocol for each connection."""
        self._address = address
        self._make_protocol = make_protocol
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None

    @property
    def address(self) -> Address:
        """Return the bound address, with the port the system chose for 0."""
        if self._socket is None:
            return self._address
        host, port = self._socket.getsockname()[:2]
        return Address(host, port)

    def start(self) -> None:
        """Start to listen; raise OSError if the address is in use."""
        self._socket = socket.create_server(self._address, backlog=_BACKLOG)
        self._socket.setblocking(False)
        self._watch()

    def stop(self) -> None:
        """Stop listening; open connections stay open."""
        if self._socket is None:
            return
        if self._retry is not None:
            self._retry.cancel()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None

    def _watch(self) -> None:
        if self._socket is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._socket.fileno(), self._accept, self._socket)

    def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ACCEPTED_PER_ITERATION):
            try:
                connection, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                loop.remove_reader(listening.fileno())
                self._retry = loop.call_later(RETRY_SECONDS, self._watch)
                return
            connection.setblocking(False)
            task = loop.create_task(self._open(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _open(self, connection: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_protocol, connection
            )
        except OSError:
            # The client has left already.
            connection.close()
