"""A request that crashes its endpoints is retried again and again."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from mesh import (  # noqa: E402
    CONTACT_MS,
    Connection,
    Endpoint,
    Mesh,
    Request,
    client_headers,
    fetch,
    is_trouble,
    make_config,
    make_route,
    new_attempt,
    run_case,
    seal_answer,
)

HOST = 'calls.example'
POISON = '/desk/crashes'
BACK_AFTER_SECONDS = 2.0
POISON_PERIOD_SECONDS = 4.0
POISON_REQUESTS = 12
ORDER_PERIOD_SECONDS = 0.1
ALLOWED_RETRIES = 3


class Observations:
    """What the endpoints saw of the crashing requests and of the others."""

    def __init__(self) -> None:
        self.crashed_at: list[float] = []
        self.arrivals: list[tuple[float, str]] = []
        self.tasks: set[asyncio.Task] = set()
        self.lost_orders = 0
        self.orders = 0

    async def answer(
        self, endpoint: Endpoint, request: Request, connection: Connection
    ) -> bytes | None:
        now = time.monotonic()
        if request.target == POISON:
            self.arrivals.append((now, request.attempt))
            self.crashed_at.append(now)
            task = asyncio.ensure_future(
                endpoint.crash_and_return(BACK_AFTER_SECONDS)
            )
            self.tasks.add(task)
            return None
        await asyncio.sleep(0.2)
        return seal_answer(request, b'done')

    def count_retries(self) -> int:
        """Count the retries that the rule forbids."""
        if len(self.crashed_at) < 3:
            return 0
        bound = self.crashed_at[2] + CONTACT_MS / 1000
        seen: set[str] = set()
        retries = 0
        for arrived_at, attempt in self.arrivals:
            retries += attempt in seen and arrived_at > bound
            seen.add(attempt)
        return retries


async def send_orders(mesh: Mesh, seen: Observations) -> None:
    """Send requests that may run once, a few a second, until cancelled."""
    tasks: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        machine = mesh.machines[number % 3]
        tasks.add(asyncio.ensure_future(send_order(mesh, machine, seen)))
        await asyncio.sleep(ORDER_PERIOD_SECONDS)


async def send_order(mesh: Mesh, machine, seen: Observations) -> None:
    attempt = new_attempt()
    mesh.record.write(f'sent: POST /order/1 {attempt} to {machine.name}')
    got = await fetch(
        machine.address('outbound'),
        'POST',
        '/order/1',
        client_headers(HOST, attempt, 2000),
        b'order',
    )
    mesh.record.write(f'answered: {attempt} {got}')
    seen.orders += 1
    seen.lost_orders += got.status not in (200, 503)


async def case(mesh: Mesh) -> bool:
    seen = Observations()
    routes = {
        'r-desk': make_route(HOST, '/desk/', 'safe', 'desk'),
        'r-order': make_route(HOST, '/order/', 'unsafe', 'desk'),
    }
    await mesh.start(
        {'front': 3, 'desk': 4},
        seen.answer,
        make_config(7, routes, ['front', 'desk']),
    )
    orders = asyncio.ensure_future(send_orders(mesh, seen))
    for number in range(POISON_REQUESTS):
        await asyncio.sleep(POISON_PERIOD_SECONDS)
        if not is_trouble():
            continue
        machine = mesh.machines[number % 3]
        attempt = new_attempt()
        mesh.record.write(f'sent: GET {POISON} {attempt} to {machine.name}')
        got = await fetch(
            machine.address('outbound'),
            'GET',
            POISON,
            client_headers(HOST, attempt, 2000),
        )
        mesh.record.write(f'answered: {attempt} {got}')
    orders.cancel()
    await asyncio.sleep(1)
    retries = seen.count_retries()
    mesh.record.say(
        f'{len(seen.crashed_at)} crashes by {POISON_REQUESTS} requests;'
        f' {retries} retries reached endpoints more than {CONTACT_MS} ms after'
        f' the third crash ({ALLOWED_RETRIES} are allowed)'
    )
    mesh.record.say(
        f'{seen.lost_orders} of {seen.orders} other requests, which may run'
        ' once, were lost with the endpoints that ran them'
    )
    return retries > ALLOWED_RETRIES


run_case(FOLDER, case)
