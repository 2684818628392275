"""Requests of one server connection, whose responses are sent in order."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wagtailline.memory_budget import Holding
from wagtailline.request_memory import RequestMemory
from wagtailline_sidecar._exchange import Connection, Exchange
from wagtailline_sidecar._request_head import IncomingRequest

# Requests of a connection that run at a time.
MAX_PIPELINED = 16
# Requests with these methods run concurrently with earlier pipelined ones.
_CONCURRENT_METHODS = frozenset(('GET', 'HEAD'))

Handler = Callable[[IncomingRequest, Exchange], Awaitable[None]]


class _QueuedRequest(NamedTuple):
    request: IncomingRequest
    holding: Holding


class RequestPipeline:
    """Requests in progress, and those that wait until they may start."""

    def __init__(
        self, connection: Connection, handler: Handler, memory: RequestMemory
    ) -> None:
        """Set up a pipeline that runs ``handler`` in a task per request.

        The heads of requests are held in ``memory`` until they have ended.
        """
        self._connection = connection
        self._handler = handler
        self._memory = memory
        self._exchanges: deque[Exchange] = deque()
        self._holdings: dict[Exchange, Holding] = {}
        self._queued: deque[_QueuedRequest] = deque()

    def __len__(self) -> int:
        """Return the number of requests in progress or queued."""
        return len(self._exchanges) + len(self._queued)

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no request follows that of an exchange."""
        return self._exchanges[-1] is exchange and not self._queued

    def add(self, request: IncomingRequest, size_bytes: int) -> None:
        """Queue a request whose head takes so many bytes; start what may."""
        holding = Holding(self._memory)
        holding.resize(size_bytes)
        self._queued.append(_QueuedRequest(request, holding))
        self.start_queued()

    def start_queued(self) -> None:
        """Start the queued requests that may run beside those in progress."""
        while self._queued and self._may_start(self._queued[0].request):
            request, holding = self._queued.popleft()
            exchange = Exchange(self._connection, request.method, request.body)
            exchange.is_concurrent = _is_concurrent(request)
            self._holdings[exchange] = holding
            self.run(exchange, self._handler(request, exchange))

    def run(self, exchange: Exchange, handler_call: Awaitable[None]) -> None:
        """Run an exchange, whose response follows those before it."""
        self._exchanges.append(exchange)
        if len(self._exchanges) == 1:
            exchange.allow_writing()
        exchange.run(handler_call)

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange that has ended; the next one may write."""
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)
        holding = self._holdings.pop(exchange, None)
        if holding is not None:
            holding.close()
        if self._exchanges:
            self._exchanges[0].allow_writing()

    def discard_queued(self) -> None:
        """Discard the requests that have not started."""
        for queued in self._queued:
            queued.holding.close()
            queued.request.body.discard()
        self._queued.clear()

    def cancel(self) -> None:
        """Cancel all requests, as the client has left."""
        self.discard_queued()
        for exchange in self._exchanges:
            exchange.cancel()
        self._exchanges.clear()
        for holding in self._holdings.values():
            holding.close()
        self._holdings.clear()

    def _may_start(self, request: IncomingRequest) -> bool:
        if not self._exchanges:
            return True
        return (
            _is_concurrent(request)
            and len(self._exchanges) < MAX_PIPELINED
            and all(running.is_concurrent for running in self._exchanges)
        )


def _is_concurrent(request: IncomingRequest) -> bool:
    return request.method in _CONCURRENT_METHODS
