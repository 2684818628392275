"""Server processes of the latency benchmark.

Each sends the port that it listens on through a pipe, and serves until it is
terminated.
"""

import asyncio
import gc
import socket
from multiprocessing.connection import Connection
from random import Random
from typing import Any, NamedTuple

import aiohttp
import uvicorn
import uvloop
from falcon.asgi import App, Request, Response
from result import Ok, Result

from wagtailline.calls import (
    CALL_KINDS,
    CallClient,
    CallServer,
)
from wagtailline.codec import Codec
from wagtailline.messages import CONNECTION_KINDS, Hello
from wagtailline.objects import (
    ClientAccount,
    DataCentre,
    Endpoint,
    Key,
    Limit,
    Route,
    Service,
    object_id,
)
from wagtailline.ports import Address, LoopClock
from wagtailline.routing import Handlers, LocalEndpoint, Router
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline.streams import MAX_CALL_FRAME_BYTES, StreamTransport
from wagtailline_daemon.ingress import (
    AllowanceRefusal,
    Ingress,
    digest_key,
    ingress_config,
)
from wagtailline_daemon.upstream import UpstreamClient, UpstreamSettings

HOST = '127.0.0.1'
KEY = b'benchmark-key-0123456789abcdef'
BODY_BYTES = 400
_HEAD_END = b'\r\n\r\n'


class Ports(NamedTuple):
    """Ports of the servers that the ingress process forwards to."""

    upstream: int
    gate: int = 0


def run_upstream(port_pipe: Connection) -> None:
    """Answer every GET with 400 bytes that begin with the request target."""
    uvloop.run(_serve_upstream(port_pipe))


def run_proxy(port_pipe: Connection, upstream_port: int) -> None:
    """Run a proxy made of falcon, uvicorn and an aiohttp client."""
    gc.freeze()
    uvloop.run(_serve_proxy(port_pipe, upstream_port))


def run_gate(port_pipe: Connection, upstream_port: int) -> None:
    """Run the gate of the remote daemon, which serves call connections."""
    gc.freeze()
    uvloop.run(_serve_gate(port_pipe, upstream_port))


def run_ingress(port_pipe: Connection, ports: Ports) -> None:
    """Run the daemon that clients connect to, with its own upstream."""
    gc.freeze()
    uvloop.run(_serve_ingress(port_pipe, ports))


class _Upstream(asyncio.Protocol):
    """Minimal HTTP server, so that the upstream itself adds little latency."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._received = b''

    def data_received(self, data: bytes) -> None:
        self._received += data
        while _HEAD_END in self._received:
            head, _, self._received = self._received.partition(_HEAD_END)
            target = head.split(b' ', 2)[1]
            self._answer(target.ljust(BODY_BYTES, b'.'))

    def _answer(self, content: bytes) -> None:
        self._transport.write(  # type: ignore[attr-defined]
            b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(content), content)
        )


async def _serve_upstream(port_pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Upstream, HOST, 0)
    port_pipe.send(server.sockets[0].getsockname()[1])
    await server.serve_forever()


class _ForwardResource:
    """Falcon resource that forwards a request to the upstream."""

    def __init__(self, upstream_port: int) -> None:
        self._base = f'http://{HOST}:{upstream_port}'
        self._session: aiohttp.ClientSession | None = None

    async def on_get(
        self,
        request: Request,
        response: Response,
        **path: str,
    ) -> None:
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        async with self._session.get(
            self._base + request.relative_uri
        ) as upstream_response:
            response.status = str(upstream_response.status)
            response.content_type = upstream_response.content_type
            response.data = await upstream_response.read()


async def _serve_proxy(port_pipe: Connection, upstream_port: int) -> None:
    app: Any = App()
    app.add_route('/{service}/{name}', _ForwardResource(upstream_port))
    await _serve_http(
        port_pipe, uvicorn.Config(app, log_config=None, access_log=False)
    )


async def _serve_gate(port_pipe: Connection, upstream_port: int) -> None:
    client = await make_upstream_client(upstream_port)
    server = CallServer(client, make_hello('far-0'))
    transport = make_transport()
    listener = await transport.serve(Address(HOST, 0), server.accept)
    port_pipe.send(listener.address.port)
    await asyncio.Event().wait()


async def _serve_ingress(port_pipe: Connection, ports: Ports) -> None:
    local_client = await make_upstream_client(ports.upstream)
    address = Address(HOST, ports.gate)
    remote_client = CallClient(
        make_transport(),
        make_hello('near-0'),
        lambda endpoint: address,
    )
    store = make_store()
    router = Router(
        store,
        LocalEndpoint('near-0', 'dc'),
        Handlers(local_client, remote_client),
        LoopClock(),
        Random(1),
    )
    app = Ingress(store, UnlimitedAllowance(), router, Random(2))
    await _serve_http(port_pipe, ingress_config(app, HOST, 0))


async def _serve_http(port_pipe: Connection, config: uvicorn.Config) -> None:
    listener = socket.create_server((HOST, 0))
    port_pipe.send(listener.getsockname()[1])
    await uvicorn.Server(config).serve([listener])


async def make_upstream_client(port: int) -> UpstreamClient:
    """Return a started client of the benchmark's upstream."""
    client = UpstreamClient(UpstreamSettings(Address(HOST, port), 120))
    await client.start()
    return client


class UnlimitedAllowance:
    """Allowance that admits every request."""

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Admit one request immediately."""
        return Ok(None)


def make_store() -> SnapshotStore:
    """Return a store whose snapshot has one service for each daemon."""
    objects = (
        DataCentre('dc', 'region'),
        Service('near'),
        Service('far'),
        Endpoint('near-0', 'near', 'dc', 64, 120),
        Endpoint('far-0', 'far', 'dc', 64, 120),
        Limit('limit', 1000, 1000),
        ClientAccount('account', 'limit'),
        Key('key', 'account', digest_key(KEY)),
        Route('near', '/near', 'near'),
        Route('far', '/far', 'far'),
    )
    store = SnapshotStore()
    store.install(
        Snapshot(
            1, b'', {object_id(published): published for published in objects}
        )
    )
    return store


def make_hello(endpoint: str) -> Hello:
    """Return the Hello message with which this endpoint opens a connection."""
    return Hello(1, endpoint, endpoint, 'dc', 1, 'calls')


def make_transport() -> StreamTransport:
    """Return a transport for call connections."""
    codec = Codec({**CONNECTION_KINDS, **CALL_KINDS})
    return StreamTransport(codec, max_frame_bytes=MAX_CALL_FRAME_BYTES)
