"""A process hangs on bytes that are no answer, which an endpoint sends."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import standins  # noqa: E402

MACHINES = (11, 12, 13)
ROUTES = {'status': standins.make_route('/status/', 'desk')}
TIMEOUT_S = ROUTES['status']['timeoutMs'] / 1000
WATCHED_S = 30
FAULTY_TARGET = '/status/faulty'


class FaultyEndpoint(standins.Endpoint):
    """An endpoint that goes on without end behind the body of one answer.

    The answer has no length. What follows its body is the begin of another
    head, and then blanks until the caller closes.
    """

    async def run(self, method, target, headers, body):
        """Run a request; leave out the length of the faulty answer."""
        answer = await super().run(method, target, headers, body)
        if target != FAULTY_TARGET or not standins.has_trouble():
            return answer
        head, _, content = answer.partition(b'\r\n\r\n')
        lines = [
            line
            for line in head.split(b'\r\n')
            if not line.startswith(b'Content-Length')
        ]
        return b'\r\n'.join(lines) + b'\r\n\r\n' + content

    async def send_more(self, target, headers, writer):
        """Send bytes that are no answer until the caller closes."""
        if target != FAULTY_TARGET or not standins.has_trouble():
            return
        self.record.write(f'{self.identity} sends bytes that are no answer')
        writer.write(b'HTTP/1.1 200 OK\r\nX-Attempt-Id: ')
        try:
            while True:
                writer.write(b' ' * 16384)
                await writer.drain()
        except ConnectionError:
            self.record.write(f'the caller of {self.identity} has closed')


async def ask_readiness(machine, record, answers):
    """Ask one machine once a second whether it is ready."""
    ends_at = time.monotonic() + WATCHED_S
    while time.monotonic() < ends_at:
        try:
            is_ready = await machine.is_ready()
        except TimeoutError:
            is_ready = False
        answers.append(is_ready)
        record.write(f'machine {machine.number} is ready: {is_ready}')
        await asyncio.sleep(1)


async def send_steadily(machine, record, outcomes):
    """Send requests that need no more than 20 ms, and wait for the answers.

    An answer may come half a second after the time of the route.
    """
    ends_at = time.monotonic() + WATCHED_S
    client = standins.Client(machine, record, f'c{machine.number}')
    while time.monotonic() < ends_at:
        deadline_ms = int(TIMEOUT_S * 1000) + 600
        try:
            _, _, answer = await client.request(
                '/status/1', deadline_ms=deadline_ms
            )
        except OSError:
            answer = None
        outcomes.append(answer is not None)
        await asyncio.sleep(0.1)


async def case(record, scratch, machines):
    """Let one endpoint give one faulty answer, and watch its machine."""
    store = standins.Store()
    ports = standins.find_ports((1, *MACHINES))
    await store.start('127.0.0.1', ports['store'])
    store.put('op/config', standins.make_configuration(3, ROUTES, ('desk',)))
    for number in MACHINES:
        machine = standins.Machine(
            number, ports, 'oslo-a', 'desk', store, scratch
        )
        machines.append(machine)
        await machine.start()
        # One of the three endpoints is faulty, as far as there is trouble.
        if number == MACHINES[0]:
            endpoint = faulty = FaultyEndpoint(machine, 'desk', record)
        else:
            endpoint = standins.Endpoint(machine, 'desk', record)
        await endpoint.start(store, 'oslo-a')
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(5)
    # Requests of one client, until the faulty endpoint has got one.
    client = standins.Client(machines[0], record, 'f')
    for _ in range(40):
        await client.request(FAULTY_TARGET, deadline_ms=1000)
        if faulty.runs:
            break
    if not faulty.runs:
        raise standins.CannotRun('the faulty endpoint got no request')
    ready, outcomes = [], []
    await asyncio.gather(
        ask_readiness(machines[0], record, ready),
        send_steadily(machines[0], record, outcomes),
    )
    client.leave()
    unanswered = outcomes.count(False)
    if unanswered * 2 <= len(outcomes):
        return []
    return [
        f'{unanswered} of {len(outcomes)} requests at machine 11 have no answer'
        f" half a second after their route's timeoutMs, in {WATCHED_S} s;"
        f' {ready.count(False)} of {len(ready)} questions for its readiness'
        ' have none either'
    ]


standins.run_case(case, FOLDER)
