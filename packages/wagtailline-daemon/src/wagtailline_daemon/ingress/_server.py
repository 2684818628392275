"""Configuration of the HTTP server that runs the ingress."""

from typing import Any

import uvicorn

from wagtailline_daemon.ingress._protocol import IngressProtocol

# A new connection costs a caller about 1 ms, so idle ones stay open.
KEEP_ALIVE_SECONDS = 30


def ingress_config(app: Any, host: str, port: int) -> uvicorn.Config:
    """Return the configuration of the server that runs the ingress.

    Access logging is off because a target may contain confidential data.
    """
    return uvicorn.Config(
        app,
        host=host,
        port=port,
        loop='uvloop',
        http=IngressProtocol,
        ws='none',
        lifespan='off',
        interface='asgi3',
        access_log=False,
        log_config=None,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
        backlog=1024,
    )
