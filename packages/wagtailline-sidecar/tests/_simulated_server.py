"""Simulated server behind the upstream client, on virtual time."""

import asyncio

from wagtailline.calls import WholeBody
from wagtailline_sidecar.client_connection import AnswerMissing, ClientResponse
from wagtailline_sidecar.header_names import HeaderNames


def now() -> float:
    return asyncio.get_running_loop().time()


class SimulatedServer:
    """Server whose connections all end when it restarts cold.

    The headers in ``notices`` are in all its responses, also to health checks.
    """

    def __init__(
        self, warm_up_seconds: float = 3, service_seconds: float = 0.05
    ) -> None:
        self.warm_up_seconds = warm_up_seconds
        self.service_seconds = service_seconds
        self.instance = 'e1'
        self.notices: tuple[tuple[bytes, bytes], ...] = ()
        self.connections: set[SimulatedConnection] = set()
        self.incarnation = 1
        self.cold_until = float('-inf')
        self.starts: list[float] = []

    async def open(self, address, timeout_seconds) -> 'SimulatedConnection':
        connection = SimulatedConnection(self)
        self.connections.add(connection)
        return connection

    def restart(self) -> None:
        self.incarnation += 1
        self.starts.clear()
        self.cold_until = now() + self.warm_up_seconds
        for connection in tuple(self.connections):
            connection.end()

    def most_starts_in_one_second(self) -> int:
        cold = [start for start in self.starts if start < self.cold_until]
        return max(
            (
                sum(first <= start < first + 1 for start in cold)
                for first in cold
            ),
            default=0,
        )


class SimulatedConnection:
    """Client side of a connection to the simulated server."""

    def __init__(self, server: SimulatedServer) -> None:
        self.server = server
        self.is_open = True
        self.is_busy = False
        self.opened_at = float('-inf')
        self.keep_alive_timeout_seconds = None
        self.on_idle_lost = None

    @property
    def is_reusable(self) -> bool:
        return self.is_open and not self.is_busy

    def has_sent(self, request_id: bytes) -> bool:
        """Return False: all requests of the simulation are different ones."""
        return False

    async def exchange(self, request, body) -> ClientResponse:
        self.is_busy = True
        if request.target != '/health':
            self.server.starts.append(now())
            await asyncio.sleep(self.server.service_seconds)
        if not self.is_open:
            raise AnswerMissing
        self.is_busy = False
        left_ms = max(self.server.cold_until - now(), 0) * 1000
        names = HeaderNames()
        headers = (
            (names.seal, b'1'),
            (names.instance, self.server.instance.encode()),
            (names.warm_up_ms, b'%d' % left_ms),
            *self.server.notices,
        )
        return ClientResponse(200, headers, WholeBody())

    def end(self) -> None:
        is_idle = self.is_reusable
        self.close()
        if is_idle and self.on_idle_lost is not None:
            self.on_idle_lost()

    def close(self) -> None:
        self.is_open = False
        self.server.connections.discard(self)
