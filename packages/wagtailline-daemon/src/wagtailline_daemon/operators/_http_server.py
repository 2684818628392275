"""Runs ASGI applications on uvicorn inside a loop that is not its own."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

from wagtailline.ports import Address

BACKLOG = 1024


def operator_config(application: Any) -> uvicorn.Config:
    """Return the configuration of the server for operators."""
    return uvicorn.Config(
        application,
        http='httptools',
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
    )


class _QuietServer(uvicorn.Server):
    """Leaves the signals of the process to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServer:
    """One listening address that serves one ASGI application.

    Stopping it accepts no more connections, closes kept connections between
    requests and lets requests in progress end.
    """

    def __init__(self, config: uvicorn.Config, address: Address) -> None:
        """Serve on the address."""
        self._address = address
        self._server = _QuietServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; raise OSError when the address is taken."""
        listening = socket.create_server(
            self._address, backlog=BACKLOG, reuse_port=False
        )
        self._task = asyncio.create_task(
            self._server.serve(sockets=[listening])
        )

    async def stop(self) -> None:
        """Finish requests in progress and end."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
