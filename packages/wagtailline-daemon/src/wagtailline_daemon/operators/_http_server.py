"""Runs ASGI applications on uvicorn in the event loop of the daemon."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from functools import partial
from typing import Any

import uvicorn

from wagtailline.ports import Address
from wagtailline_daemon.ingress import IngressProtocol, IngressResources

LISTEN_BACKLOG = 1024


def operator_config(
    application: Any, resources: IngressResources
) -> uvicorn.Config:
    """Return the uvicorn configuration of the operator port.

    Its connections are bounded like those of the ingress, in ``resources``.
    """
    protocol: Any = partial(IngressProtocol, resources=resources)
    return uvicorn.Config(
        application,
        http=protocol,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
    )


class _SignalFreeServer(uvicorn.Server):
    """Server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServer:
    """Server of one ASGI application on one address.

    When it stops, it accepts no more connections, closes idle keep-alive
    connections and lets requests in progress finish.
    """

    def __init__(self, config: uvicorn.Config, address: Address) -> None:
        """Take the configuration and the address to listen on."""
        self._address = address
        self._server = _SignalFreeServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to serve; raise OSError if the address is in use."""
        listener = socket.create_server(
            self._address, backlog=LISTEN_BACKLOG, reuse_port=False
        )
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))

    async def stop(self) -> None:
        """Finish requests in progress and stop."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
