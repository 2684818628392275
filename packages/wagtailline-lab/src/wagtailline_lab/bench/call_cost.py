"""Benchmark of the CPU time of the parts of a call, in a closed loop.

Run it as ``python -m wagtailline_lab.bench.call_cost``. All measured parts
run in one process. On a busy machine CPU times vary far less than latencies.
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
from wagtailline_lab.bench import _latency_servers as latency_servers
from wagtailline_lab.bench.latency import run_servers

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
    200,
    ((b'content-length', b'400'),),
    WholeBody(bytes(latency_servers.BODY_BYTES)),
)


async def _return_answer(
    request: CallRequest, body: Body
) -> Result[Answer, Refusal]:
    return Ok(_ANSWER)


async def _discard(message: Any) -> None:
    """Discard a message that the ingress sends to its HTTP server."""


async def _measure(name: str, call: Callable[[], Awaitable[Any]]) -> None:
    microseconds = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        for _ in range(CALLS):
            await call()
        microseconds.append(
            (time.process_time() - started) / CALLS * _MICROSECONDS
        )
    rounds = ''.join(f'{cost:9.1f}' for cost in microseconds)
    print(f'{name:34}{rounds}   (us of CPU time a call)')


async def _measure_ingress(ingress: Ingress) -> None:
    authorization = (b'authorization', b'Bearer %b' % latency_servers.KEY)
    scope = {
        'type': 'http',
        'http_version': '1.1',
        'method': 'GET',
        'headers': [*_HEADERS, authorization],
        'raw_path': b'/far/1',
        'query_string': b'',
    }
    receive: Any = None
    await _measure('ingress', lambda: ingress(scope, receive, _discard))


async def _measure_upstream_client(upstream_port: int) -> None:
    client = await latency_servers.make_upstream_client(upstream_port)
    await _measure(
        'upstream client, with its traffic',
        lambda: client(_REQUEST, WholeBody()),
    )
    await client.stop()


async def _measure_call_client(gate_port: int) -> None:
    client = CallClient(
        latency_servers.make_transport(),
        latency_servers.make_hello('near-0'),
        lambda endpoint: Address(latency_servers.HOST, gate_port),
    )
    await _measure(
        'call client, with its traffic', lambda: client(_REQUEST, WholeBody())
    )
    await client.close()


async def _measure_all(upstream_port: int, gate_port: int) -> None:
    store = latency_servers.make_store()
    handlers = Handlers(_return_answer, _return_answer)
    router = Router(
        store, LocalEndpoint('near-0', 'dc'), handlers, LoopClock(), Random(1)
    )
    await _measure_ingress(
        Ingress(
            store,
            latency_servers.UnlimitedAllowance(),
            _return_answer,
            Random(2),
        )
    )
    await _measure('router', lambda: router(_REQUEST, WholeBody()))
    await _measure_upstream_client(upstream_port)
    await _measure_call_client(gate_port)


def main() -> None:
    """Run the benchmark and print its table."""
    gc.freeze()
    with run_servers() as running_servers:
        uvloop.run(
            _measure_all(
                running_servers.upstream_port, running_servers.gate_port
            )
        )


if __name__ == '__main__':
    main()
