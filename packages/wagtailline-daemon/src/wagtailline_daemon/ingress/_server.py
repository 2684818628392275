"""Configuration of the HTTP server that runs the ingress."""

from functools import partial
from typing import Any

import uvicorn

from wagtailline_daemon.ingress._protocol import IngressProtocol
from wagtailline_daemon.ingress._resources import IngressResources

# A new connection costs a caller about 1 ms, so idle ones stay open.
KEEP_ALIVE_SECONDS = 30
# Connections that the system queues. All of them may be accepted before any
# connection makes room for them.
_BACKLOG = 128


def ingress_config(
    app: Any, host: str, port: int, resources: IngressResources | None = None
) -> uvicorn.Config:
    """Return the configuration of the server that runs the ingress.

    Its connections share ``resources``; without them, each has its own. Access
    logging is off because a target may contain confidential data.
    """
    protocol: Any = IngressProtocol
    if resources is not None:
        protocol = partial(IngressProtocol, resources=resources)
    return uvicorn.Config(
        app,
        host=host,
        port=port,
        loop='uvloop',
        http=protocol,
        ws='none',
        lifespan='off',
        interface='asgi3',
        access_log=False,
        log_config=None,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
        backlog=_BACKLOG,
    )
