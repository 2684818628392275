"""Pool of the connections to the local upstream."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.client_connection import ClientConnection
from wagtailline_sidecar.stutter_memory import StutterMemory

# Connections that were idle for longer are not reused, unless the upstream
# has announced its own limit.
IDLE_LIMIT_SECONDS = 4.0
# Time before the idle limit of the upstream at which a connection is closed,
# so that no request is sent while the upstream closes it.
_IDLE_MARGIN_SECONDS = 1.0
# Time for which a connection to a stuttering upstream is idle before it is
# used again, so that copies arrive while no request waits.
REST_SECONDS = 1.0
# Connections to a stuttering upstream that are kept idle.
MAX_RESTING = 4
# Connections that are kept idle otherwise. Requests that bear the same id may
# not share a connection, so they open one each.
MAX_IDLE = 64


class _IdleConnection(NamedTuple):
    connection: ClientConnection
    idle_since: float


class ConnectionPool:
    """Idle and open connections; new ones are opened on demand.

    Connections to an upstream that stutters rest between two requests.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        open_connection: Callable[[], Awaitable[ClientConnection]],
        note_loss: Callable[[], None],
        stutter: StutterMemory,
    ) -> None:
        """Create an empty pool.

        ``note_loss`` is called when the upstream ends an idle connection, and
        when a connection is opened while there is none: the upstream may have
        restarted.
        """
        self._clock = clock
        self._open_connection = open_connection
        self._note_loss = note_loss
        self._stutter = stutter
        self._idle: list[_IdleConnection] = []
        self._connections: set[ClientConnection] = set()

    async def acquire(self, request_id: bytes) -> ClientConnection:
        """Return an idle connection, or a new one; raise ConnectionFailed.

        An idle one has not carried an earlier attempt at the same request,
        whose response could not be told from the new one.
        """
        connection = self._take_idle(request_id)
        return connection or await self.open()

    async def open(self) -> ClientConnection:
        """Return a new connection; raise ConnectionFailed if none opens."""
        self._connections = {
            connection for connection in self._connections if connection.is_open
        }
        if not self._connections:
            self._note_loss()
        connection = await self._open_connection()
        connection.opened_at = self._clock.monotonic()
        self._connections.add(connection)
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection that is fit for another request."""
        if not connection.is_reusable:
            return
        if self._stutter.is_active and len(self._idle) >= MAX_RESTING:
            connection.close()
            return
        if len(self._idle) >= MAX_IDLE:
            self._idle.pop(0).connection.close()
        now = self._clock.monotonic()
        self._idle.append(_IdleConnection(connection, now))
        connection.on_idle_lost = self._note_loss

    def close_idle(self) -> None:
        """Close idle connections, as the upstream may have been replaced."""
        idle, self._idle = self._idle, []
        for idle_connection in idle:
            idle_connection.connection.close()

    def _take_idle(self, request_id: bytes) -> ClientConnection | None:
        """Return the connection that was idle for the shortest time, if any."""
        now = self._clock.monotonic()
        self._idle = [idle for idle in self._idle if _keep(idle, now)]
        rest_seconds = REST_SECONDS if self._stutter.is_active else 0
        rested = [
            idle
            for idle in self._idle
            if now - idle.idle_since >= rest_seconds
            and not idle.connection.has_sent(request_id)
        ]
        if not rested:
            return None
        self._idle.remove(rested[-1])
        return rested[-1].connection


def _keep(idle: _IdleConnection, now: float) -> bool:
    """Return whether a connection is fit for use; close it otherwise."""
    limit = idle.connection.keep_alive_timeout_seconds
    if limit is None:
        limit = IDLE_LIMIT_SECONDS + _IDLE_MARGIN_SECONDS
    is_fresh = now - idle.idle_since < limit - _IDLE_MARGIN_SECONDS
    if is_fresh and idle.connection.is_reusable:
        return True
    idle.connection.close()
    return False
