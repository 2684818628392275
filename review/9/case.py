"""An endpoint that is gone gets requests again after another machine froze."""

import asyncio
import re
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import standins  # noqa: E402

MACHINES = (11, 12, 13, 14)
FREEZE_S = 3.5
# Without some load, an endpoint that was just listed is seldom chosen.
CLIENTS = 4
DRAIN_S = standins.BOUNDS['drainMs'] / 1000
ROUTES = {
    'status': standins.make_route('/status/', 'desk'),
    'loan': standins.make_route('/loan/', 'loans'),
}


def find_reader(machines):
    """Return the machine that reads the store, by the logs of the others."""
    hosts = []
    for machine in machines:
        found = re.findall(
            r'event=reader_changed reader=([0-9.]+)', machine.log.read_text()
        )
        hosts.append(found[-1] if found else '')
    for machine in machines:
        if hosts.count(machine.host) == len(machines):
            return machine
    return None


async def wait_for_reader(machines):
    """Wait until all machines agree on the reader."""
    ends_at = time.monotonic() + 25
    while time.monotonic() < ends_at:
        reader = find_reader(machines)
        if reader is not None:
            return reader
        await asyncio.sleep(0.2)
    raise standins.CannotRun('the machines agree on no reader')


async def send_steadily(machine, record, number, stop):
    """Send requests, 50 ms after each answer, from one machine."""
    client = standins.Client(machine, record, f'c{machine.number}-{number}')
    while not stop.is_set():
        try:
            await client.request('/status/1')
        except OSError:
            client.leave()
        await asyncio.sleep(0.05)


async def case(record, scratch, machines):
    """Freeze the reader, remove an endpoint, and watch who gets requests."""
    store = standins.Store()
    ports = standins.find_ports((1, *MACHINES))
    await store.start('127.0.0.1', ports['store'])
    store.put(
        'op/config', standins.make_configuration(3, ROUTES, ('desk', 'loans'))
    )
    endpoints = {}
    for number in MACHINES:
        machine = standins.Machine(
            number, ports, 'oslo-a', 'desk', store, scratch
        )
        machines.append(machine)
        await machine.start()
        endpoints[number] = standins.Endpoint(machine, 'desk', record)
        await endpoints[number].start(store, 'oslo-a')
    for machine in machines:
        await machine.wait_ready()
    reader = await wait_for_reader(machines)
    await asyncio.sleep(4)
    calm = [machine for machine in machines if machine is not reader]
    leaving = endpoints[calm[0].number]
    stop = asyncio.Event()
    tasks = [
        asyncio.ensure_future(send_steadily(machine, record, number, stop))
        for machine in calm
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(2)
    record.write(f'machine {reader.number} reads the store')
    # Nobody waits at the store for seven tenths of the time.
    await store.wait_unwatched()
    await asyncio.sleep(0.1)
    if standins.has_trouble():
        reader.send(signal.SIGSTOP)
        record.write(f'machine {reader.number} is frozen')
    await asyncio.sleep(1)
    store.delete(f'servers/{leaving.identity}')
    gone_at = record.now()
    record.write(f'the store acknowledges that {leaving.identity} is gone')
    await asyncio.sleep(FREEZE_S - 1)
    if standins.has_trouble():
        reader.send(signal.SIGCONT)
        record.write(f'machine {reader.number} runs again')
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*tasks)
    leaving.stop()
    late = [
        (at, request_id)
        for at, request_id in leaving.runs
        if at > gone_at + DRAIN_S
    ]
    if not late:
        return []
    return [
        f'{len(late)} requests reached {leaving.identity} later than'
        f' {DRAIN_S} s after the store had acknowledged that it is gone:'
        f' the first after {late[0][0] - gone_at:.2f} s, the last after'
        f' {late[-1][0] - gone_at:.2f} s'
    ]


standins.run_case(case, FOLDER)
