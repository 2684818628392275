"""HTTP handlers for the readiness and metrics of the daemon."""

from collections.abc import Callable

from wagtailline_sidecar._exchange import Exchange
from wagtailline_sidecar.server_connection import Handler, IncomingRequest

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_METRICS_HEADERS = ((b'content-type', b'text/plain; version=0.0.4'),)


def make_readiness_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return a handler that responds 200 when ready and 503 otherwise."""

    async def handle(request: IncomingRequest, exchange: Exchange) -> None:
        status = _OK if is_ready() else _UNAVAILABLE
        await exchange.respond(status, (), b'')

    return handle


def make_metrics_handler(render: Callable[[], bytes]) -> Handler:
    """Return a handler that serves the metrics at ``/metrics``."""

    async def handle(request: IncomingRequest, exchange: Exchange) -> None:
        if request.target == '/metrics':
            await exchange.respond(_OK, _METRICS_HEADERS, render())
        else:
            await exchange.respond(_NOT_FOUND, (), b'')

    return handle
