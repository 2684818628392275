"""End-to-end tests of requests that outlast a planned stop."""

import asyncio
import contextlib
import signal
from random import Random

import pytest
from _crowd import CROWDS, Client
from _daemons import Fleet, make_configuration, send_request

GRACE_SECONDS = 1
WORK_SECONDS = 30
CLIENTS = 60
# Clients that send probe after probe.
PROBERS = 20
PROBE = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
MAX_WAIT_SECONDS = 0.02


@pytest.fixture
async def fleet(tmp_path):
    running_fleet = Fleet(tmp_path)
    yield running_fleet
    await running_fleet.stop()


async def test_request_that_outlasts_the_stop_is_answered(fleet):
    """Guards against requests that are dropped with their process (LOST).

    The answer says that the request may have run.
    """
    await fleet.start(1)
    vm = fleet.vms[0]
    configuration = make_configuration(2)
    route = configuration['routes']['order']
    route |= {'timeoutMs': 20_000, 'sloMs': 20_000}
    fleet.platform.put('op/config', configuration)
    vm.write_settings(grace_seconds=GRACE_SECONDS)
    vm.process.send_signal(signal.SIGHUP)
    vm.upstream.service_seconds = WORK_SECONDS
    await asyncio.sleep(2.5)
    request = asyncio.ensure_future(
        send_request(vm, '/order/1', request_id='one', method='POST')
    )
    while not fleet.runs('one'):  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    vm.terminate()
    status, _, body = await request
    assert (status, b'"unknown"' in body) == (502, True)
    assert await vm.process.wait() == 0


async def send_until_refused(vm) -> None:
    """Send one request after the other, each on a new connection."""
    while True:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await send_request(vm, '/status/1')
        if vm.process.returncode is not None:
            return
        await asyncio.sleep(0.001)


async def test_requests_until_the_end_are_not_dropped(fleet):
    """Guards against requests that are read and end with the process (LOST).

    Connections were accepted until the process ended.
    """
    await fleet.start(1)
    vm = fleet.vms[0]
    clients = [
        asyncio.ensure_future(send_until_refused(vm)) for _ in range(CLIENTS)
    ]
    await asyncio.sleep(1)
    vm.terminate()
    assert await vm.process.wait() == 0
    await asyncio.gather(*clients)
    log = vm.log.read_text()
    assert 'requests_cut=0' in log
    assert 'handler_failed' not in log
    assert 'never awaited' not in log


@pytest.mark.parametrize('listener', ['readiness', 'metrics'])
async def test_probes_until_the_end_leave_no_errors(fleet, listener):
    """Guards against probes that are read while the process ends.

    The daemon logged ``handler_failed`` and "never awaited", as it does for a
    request that is lost.
    """
    await fleet.start(1)
    vm = fleet.vms[0]
    crowd = CROWDS[f'{listener} without waiting, answers not read']
    clients = [
        asyncio.ensure_future(Client(crowd, vm).run()) for _ in range(PROBERS)
    ]
    await asyncio.sleep(0.5)
    vm.terminate()
    assert await vm.process.wait() == 0
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    log = vm.log.read_text()
    assert 'handler_failed' not in log
    assert 'never awaited' not in log


async def open_connections(vm, random: Random) -> None:
    """Send a probe on one new connection after the other, after a moment."""
    address = vm.host, vm.ports['readiness']
    while vm.process.returncode is None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(random.uniform(0, MAX_WAIT_SECONDS))
            writer.write(PROBE)
            await asyncio.sleep(random.uniform(0, MAX_WAIT_SECONDS))
            writer.transport.abort()
        await asyncio.sleep(0.001)


async def test_probes_on_new_connections_leave_no_errors(fleet):
    """Guards against connections that are read while the process ends.

    One that was accepted, and not open yet, went on when all others had ended
    their reading.
    """
    await fleet.start(1)
    vm = fleet.vms[0]
    clients = [
        asyncio.ensure_future(open_connections(vm, Random(seed)))
        for seed in range(2 * CLIENTS)
    ]
    await asyncio.sleep(0.5)
    vm.terminate()
    assert await vm.process.wait() == 0
    await asyncio.gather(*clients)
    log = vm.log.read_text()
    assert 'handler_failed' not in log
    assert 'never awaited' not in log
