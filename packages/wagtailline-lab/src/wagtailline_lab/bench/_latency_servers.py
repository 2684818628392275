"""Processes of the latency benchmark; each runs until it is terminated."""

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
    """Ports of the processes that a process sends to."""

    upstream: int
    gate: int = 0


def run_upstream(ready: Connection) -> None:
    """Answer every GET with 400 bytes that begin with its target."""
    uvloop.run(_serve_upstream(ready))


def run_proxy(ready: Connection, upstream: int) -> None:
    """Forward with falcon on uvicorn and an aiohttp client."""
    gc.freeze()
    uvloop.run(_serve_proxy(ready, upstream))


def run_gate(ready: Connection, upstream: int) -> None:
    """Serve the call connections of the second daemon."""
    gc.freeze()
    uvloop.run(_serve_gate(ready, upstream))


def run_ingress(ready: Connection, ports: Ports) -> None:
    """Serve callers as the first daemon, with a gate of its own."""
    gc.freeze()
    uvloop.run(_serve_ingress(ready, ports))


class _Upstream(asyncio.Protocol):
    """The least that answers HTTP, so that it adds little of its own."""

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


async def _serve_upstream(ready: Connection) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Upstream, HOST, 0)
    ready.send(server.sockets[0].getsockname()[1])
    await server.serve_forever()


class _Forward:
    """Falcon resource that sends a request on."""

    def __init__(self, upstream: int) -> None:
        self._base = f'http://{HOST}:{upstream}'
        self._session: aiohttp.ClientSession | None = None

    async def on_get(
        self,
        request: Request,
        answer: Response,
        **path: str,
    ) -> None:
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        async with self._session.get(
            self._base + request.relative_uri
        ) as found:
            answer.status = str(found.status)
            answer.content_type = found.content_type
            answer.data = await found.read()


async def _serve_proxy(ready: Connection, upstream: int) -> None:
    app: Any = App()
    app.add_route('/{service}/{name}', _Forward(upstream))
    await _serve_http(
        ready, uvicorn.Config(app, log_config=None, access_log=False)
    )


async def _serve_gate(ready: Connection, upstream: int) -> None:
    client = await make_upstream_client(upstream)
    server = CallServer(client, make_hello('far-0'))
    transport = make_transport()
    listener = await transport.serve(Address(HOST, 0), server.accept)
    ready.send(listener.address.port)
    await asyncio.Event().wait()


async def _serve_ingress(ready: Connection, ports: Ports) -> None:
    own = await make_upstream_client(ports.upstream)
    address = Address(HOST, ports.gate)
    remote = CallClient(
        make_transport(),
        make_hello('near-0'),
        lambda endpoint: address,
    )
    store = make_store()
    router = Router(
        store,
        LocalEndpoint('near-0', 'dc'),
        Handlers(own, remote),
        LoopClock(),
        Random(1),
    )
    app = Ingress(store, Unlimited(), router, Random(2))
    await _serve_http(ready, ingress_config(app, HOST, 0))


async def _serve_http(ready: Connection, config: uvicorn.Config) -> None:
    listener = socket.create_server((HOST, 0))
    ready.send(listener.getsockname()[1])
    await uvicorn.Server(config).serve([listener])


async def make_upstream_client(port: int) -> UpstreamClient:
    """Return a started client of the upstream stand-in."""
    client = UpstreamClient(UpstreamSettings(Address(HOST, port), 120))
    await client.start()
    return client


class Unlimited:
    """Allowance that admits everything."""

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Take one request."""
        return Ok(None)


def make_store() -> SnapshotStore:
    """Return a snapshot with one service beside each daemon."""
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
    store.install(Snapshot(1, b'', {object_id(one): one for one in objects}))
    return store


def make_hello(endpoint: str) -> Hello:
    """Return the Hello of a call connection."""
    return Hello(1, endpoint, endpoint, 'dc', 1, 'calls')


def make_transport() -> StreamTransport:
    """Return the transport of call connections."""
    codec = Codec({**CONNECTION_KINDS, **CALL_KINDS})
    return StreamTransport(codec, max_frame_bytes=MAX_CALL_FRAME_BYTES)
