"""Tests of the questions to the keepers of crashes, on virtual time."""

import asyncio

import pytest
from _crash_fleet import CRASHING, CrashFleet

from wagtailline_sidecar.crash_keepers import NO_CRASHES_SECONDS
from wagtailline_sidecar.retry_guard import digest_request

pytestmark = pytest.mark.looptime

# Bound of the users' pages: time for a crash to be known.
CONTACT_SECONDS = 3.0
DIGEST = digest_request('desk', 'GET', CRASHING, b'')
OTHER = digest_request('desk', 'GET', '/desk/other', b'')


def find_keepers(fleet: CrashFleet, host: str):
    return fleet.forwarders[host]._policy._guard._keepers


async def crash(fleet: CrashFleet, host: str, digest: bytes, times: int):
    for _ in range(times):
        await find_keepers(fleet, host).report(digest, 0, is_crash=True)
        await asyncio.sleep(0.1)


async def test_keepers_without_crashes_are_asked_once_in_a_while():
    """Guards against three datagrams for each retry."""
    fleet = CrashFleet(12, 5)
    asking = find_keepers(fleet, fleet.hosts[0])
    assert await asking.count(DIGEST) == 0
    datagrams = fleet.datagrams
    for _ in range(20):
        assert await asking.count(DIGEST) == 0
    assert fleet.datagrams == datagrams
    await asyncio.sleep(NO_CRASHES_SECONDS)
    await asking.count(DIGEST)
    assert fleet.datagrams > datagrams


async def test_crash_is_known_in_time_after_a_question():
    """Guards against an old reply that hides later crashes."""
    fleet = CrashFleet(12, 5)
    asking = find_keepers(fleet, fleet.hosts[0])
    assert await asking.count(DIGEST) == 0
    await crash(fleet, fleet.hosts[1], DIGEST, 3)
    await asyncio.sleep(CONTACT_SECONDS - 1)
    assert await asking.count(DIGEST) == 3


async def test_keeper_with_crashes_is_asked_each_time():
    """Guards against a count that is as old as the last question."""
    fleet = CrashFleet(12, 5)
    asking = find_keepers(fleet, fleet.hosts[0])
    await crash(fleet, fleet.hosts[1], DIGEST, 1)
    assert await asking.count(DIGEST) == 1
    await crash(fleet, fleet.hosts[1], DIGEST, 2)
    assert await asking.count(DIGEST) == 3
    assert await asking.count(OTHER) == 0


async def test_told_crash_needs_no_reply():
    """Guards against a refusal that waits for silent keepers."""
    fleet = CrashFleet(12, 5)
    telling = find_keepers(fleet, fleet.hosts[0])
    began_at = fleet.clock.monotonic()
    assert telling.tell(DIGEST, 0.1) == 1
    assert fleet.clock.monotonic() == began_at
    await asyncio.sleep(1)
    assert await find_keepers(fleet, fleet.hosts[1]).count(DIGEST) == 1
