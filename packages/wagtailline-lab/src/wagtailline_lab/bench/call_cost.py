"""CPU time of the parts of a call, in a closed loop in one process.

Run by ``python -m wagtailline_lab.bench.call_cost``. On a busy machine these
figures vary far less than latencies do.
"""

import gc
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import uvloop
from result import Ok, Result

from wagtailline.calls import (
    Answer,
    Body,
    CallClient,
    CallRequest,
    Refusal,
    WholeBody,
)
from wagtailline.ports import Address, LoopClock
from wagtailline.routing import Handlers, LocalEndpoint, Router
from wagtailline_daemon.ingress import Ingress
from wagtailline_lab.bench import _latency_servers as parts
from wagtailline_lab.bench.latency import servers

CALLS = 5000
_ROUNDS = 3
_MICROSECONDS = 1e6
_HEADERS = (
    (b'host', b'mesh'),
    (b'user-agent', b'bench'),
    (b'accept', b'*/*'),
)
_REQUEST = CallRequest(
    1, 'far-0', 'far', 'account', '', 'GET', '/far/1', _HEADERS, 10_000
)
_ANSWER = Answer(
    200, ((b'content-length', b'400'),), WholeBody(bytes(parts.BODY_BYTES))
)


async def _answer(request: CallRequest, body: Body) -> Result[Answer, Refusal]:
    return Ok(_ANSWER)


async def _ignore(message: Any) -> None:
    """Stand in for the HTTP server."""


async def _measure(name: str, run: Callable[[], Awaitable[Any]]) -> None:
    found = []
    for _ in range(_ROUNDS):
        begin = time.process_time()
        for _ in range(CALLS):
            await run()
        found.append((time.process_time() - begin) / CALLS * _MICROSECONDS)
    rounds = ''.join(f'{one:9.1f}' for one in found)
    print(f'{name:34}{rounds}   (us of CPU time a call)')


async def _measure_local(app: Ingress) -> None:
    key = (b'authorization', b'Bearer %b' % parts.KEY)
    scope = {
        'type': 'http',
        'http_version': '1.1',
        'method': 'GET',
        'headers': [*_HEADERS, key],
        'raw_path': b'/far/1',
        'query_string': b'',
    }
    receive: Any = None
    await _measure('ingress', lambda: app(scope, receive, _ignore))


async def _measure_own(upstream: int) -> None:
    client = await parts.make_upstream_client(upstream)
    await _measure(
        'upstream client, with its traffic',
        lambda: client(_REQUEST, WholeBody()),
    )
    await client.stop()


async def _measure_remote(gate: int) -> None:
    client = CallClient(
        parts.make_transport(),
        parts.make_hello('near-0'),
        lambda endpoint: Address(parts.HOST, gate),
    )
    await _measure(
        'call client, with its traffic', lambda: client(_REQUEST, WholeBody())
    )
    await client.close()


async def _measure_all(upstream: int, gate: int) -> None:
    store = parts.make_store()
    handlers = Handlers(_answer, _answer)
    router = Router(
        store, LocalEndpoint('near-0', 'dc'), handlers, LoopClock(), Random(1)
    )
    await _measure_local(Ingress(store, parts.Unlimited(), _answer, Random(2)))
    await _measure('router', lambda: router(_REQUEST, WholeBody()))
    await _measure_own(upstream)
    await _measure_remote(gate)


def main() -> None:
    """Measure and print."""
    gc.freeze()
    with servers() as mesh:
        uvloop.run(_measure_all(mesh.upstream, mesh.gate))


if __name__ == '__main__':
    main()
