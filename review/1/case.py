"""An entry of another writer that can't be read stops all daemons' updates."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from mesh import (  # noqa: E402
    APPLY_MS,
    CONTACT_MS,
    CannotRun,
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
# An entry whose bytes can't be read: brackets that are never closed.
UNREADABLE = b'{"service":"ledger","notes":' + b'[' * 20_000


async def answer(
    endpoint: Endpoint, request: Request, connection: Connection
) -> bytes:
    await asyncio.sleep(0.02)
    return seal_answer(request, endpoint.service.encode())


def config(version: int, service: str) -> dict:
    routes = {
        'r-open': make_route(HOST, '/open/', 'safe', service, public=True),
        'r-keyed': make_route(HOST, '/keyed/', 'safe', service),
    }
    return make_config(version, routes, ['alpha', 'beta'])


async def ask(mesh: Mesh, path: str, key: bool) -> list[tuple[str, float]]:
    """Send a request to each daemon; return who ran it or the status."""
    outcomes = []
    for machine in mesh.machines:
        attempt = new_attempt()
        headers = client_headers(HOST, attempt, 2000)
        if not key:
            headers.pop('Authorization')
        sent_at = time.monotonic()
        mesh.record.write(f'sent: GET {path} {attempt} to {machine.name}')
        got = await fetch(machine.address('outbound'), 'GET', path, headers)
        ran = got.body.decode() if got.status == 200 else str(got.status)
        mesh.record.write(f'answered: {attempt} {got} by {ran}')
        outcomes.append((ran, sent_at))
    return outcomes


async def case(mesh: Mesh) -> bool:
    await mesh.start({'alpha': 3, 'beta': 3}, answer, config(7, 'alpha'))
    before = await ask(mesh, '/open/1', False)
    mesh.record.say(f'before: {[ran for ran, _ in before]}')
    if any(ran != 'alpha' for ran, _ in before):
        raise CannotRun('the mesh does not serve')
    if is_trouble():
        mesh.store.put('servers/ledger-notes', UNREADABLE)
    await asyncio.sleep(CONTACT_MS / 1000 + 0.5)
    acknowledged_at = mesh.put_config(config(9, 'beta'))
    await asyncio.sleep(APPLY_MS / 1000 + 0.5)
    late = 0
    for number in range(10):
        for ran, sent_at in await ask(mesh, f'/open/{number}', False):
            is_due = sent_at > acknowledged_at + APPLY_MS / 1000
            late += is_due and ran == 'alpha'
    keyed = await ask(mesh, '/keyed/1', True)
    mesh.record.say(
        f'{late} of 60 requests that were sent more than {APPLY_MS} ms after'
        ' the acknowledgement were run by the service of the older version'
    )
    mesh.record.say(f'requests with a key get: {[ran for ran, _ in keyed]}')
    return late > 0


run_case(FOLDER, case)
