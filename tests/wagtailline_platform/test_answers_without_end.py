"""End-to-end tests of an upstream that sends bytes without end."""

import pytest
from _daemons import Fleet
from _endless import KINDS, resident_bytes, start_endless, watch

# A daemon takes no more, whatever its upstream sends.
MAX_RESIDENT_BYTES = 64 * 1000 * 1000
MAX_NOT_SERVED_FRACTION = 0.01


@pytest.fixture
async def fleet(tmp_path):
    running_fleet = Fleet(tmp_path)
    yield running_fleet
    await running_fleet.stop()


@pytest.mark.parametrize('kind', ['length', 'one-byte chunks', 'headers'])
async def test_bytes_without_end_stay_within_the_memory_of_a_daemon(
    fleet, kind
):
    """Guards against a daemon that a faulty upstream fills until it ends.

    Callers that read slowly made it hold an answer for each of them (LOST).
    """
    await start_endless(fleet, 3, KINDS[kind])
    at_start = max(resident_bytes(vm.process.pid) for vm in fleet.vms)
    outcome = await watch(fleet, 1)
    assert at_start + outcome.growth_bytes <= MAX_RESIDENT_BYTES
    assert outcome.served
    assert outcome.not_served <= outcome.served * MAX_NOT_SERVED_FRACTION
    assert all(vm.process.returncode is None for vm in fleet.vms)
