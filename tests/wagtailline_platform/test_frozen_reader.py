"""End-to-end tests of a daemon that reads for others and is frozen."""

import asyncio
import re
import signal

import pytest
from _daemons import Fleet, send_request

from wagtailline_sidecar.source_reader import READ_WAIT_SECONDS

# The deployments of the users freeze VMs for this time.
FREEZE_SECONDS = 3.5
# An endpoint gets no requests later than this after its entry was removed.
MAX_DRAIN_SECONDS = 2.0
MAX_POLLS = 200
CLIENTS = 4
REQUESTS_PER_CLIENT = 50


@pytest.fixture
async def fleet(tmp_path):
    running_fleet = Fleet(tmp_path)
    await running_fleet.start(4)
    yield running_fleet
    await running_fleet.stop()


def find_reader(fleet):
    """Return the VM from which all others have their snapshots, or None."""
    readers = set()
    for vm in fleet.vms:
        lines = re.findall(r'reader_changed reader=(\S+)', vm.log.read_text())
        readers.add(lines[-1] if lines else '')
    by_host = {vm.host: vm for vm in fleet.vms}
    return by_host.get(readers.pop()) if len(readers) == 1 else None


async def wait_for_reader(fleet):
    for _ in range(MAX_POLLS):
        reader = find_reader(fleet)
        if reader is not None:
            return reader
        await asyncio.sleep(0.1)
    raise TimeoutError('the daemons have no common reader')


async def wait_between_readings(platform) -> None:
    """Return while no reading waits at the platform.

    A freeze in the middle of a reading makes it fail.
    """
    reads = platform.reads
    for _ in range(MAX_POLLS):
        if platform.reads != reads:
            return await asyncio.sleep(READ_WAIT_SECONDS + 0.15)
        await asyncio.sleep(0.01)
    raise TimeoutError('nothing reads the platform')


def find_listed_counts(vm) -> list[int]:
    """Return how many endpoints each snapshot of a daemon has listed."""
    found = re.findall(
        r'picture_installed .*endpoints=(\d+)', vm.log.read_text()
    )
    return [int(count) for count in found]


def count_requests(vm) -> int:
    return sum(
        request.target.startswith('/status/')
        for request in vm.upstream.received
    )


async def send_steadily(vm) -> None:
    for number in range(REQUESTS_PER_CLIENT):
        status, _, _ = await send_request(vm, f'/status/{number}')
        assert status == 200
        await asyncio.sleep(0.05)


async def test_endpoint_that_left_during_a_freeze_stays_away(fleet):
    """Guards against requests to an endpoint that is gone (DRAIN).

    The daemon that reads the source took its own freeze for an outage of the
    source, listed what had left meanwhile again, and its peers adopted that.
    """
    await asyncio.sleep(2)
    reader = await wait_for_reader(fleet)
    calm = [vm for vm in fleet.vms if vm is not reader]
    leaving = calm[0]
    await wait_between_readings(fleet.platform)
    reader.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_SECONDS - MAX_DRAIN_SECONDS)
    fleet.platform.remove(f'servers/{leaving.upstream.instance}')
    await asyncio.sleep(MAX_DRAIN_SECONDS)
    reader.process.send_signal(signal.SIGCONT)
    before = count_requests(leaving)
    # Without some load, an endpoint that was just listed is seldom chosen.
    clients = [send_steadily(vm) for vm in calm for _ in range(CLIENTS)]
    await asyncio.gather(*clients)
    for vm in calm:
        counts = find_listed_counts(vm)
        assert counts[counts.index(len(calm)) :] == [len(calm)]
    assert count_requests(leaving) == before
