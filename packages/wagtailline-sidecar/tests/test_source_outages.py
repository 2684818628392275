"""Tests of what daemons take for an outage of the source."""

import asyncio

import pytest
from _fixtures import FakeClock, measure_no_pause
from _refresh_fleet import HOSTS, MAX_PROPAGATION_SECONDS, make_settled_fleet

from wagtailline_sidecar.source_outages import (
    OUTAGE_THRESHOLD_SECONDS,
    REGISTRATION_GRACE_SECONDS,
    OutageEnded,
    SourceOutages,
)

# Bounds hold again this long after the source has returned.
CONTACT_SECONDS = 3.0
FREEZE_SECONDS = OUTAGE_THRESHOLD_SECONDS + 0.5


def make_outages(paused_seconds: float = 0):
    clock = FakeClock()
    events: list = []
    outages = SourceOutages(clock, events.append, lambda moment: paused_seconds)
    outages.record_reading(clock.now)
    return outages, clock, events


def test_pause_of_the_daemon_is_no_outage():
    """Guards against endpoints that a daemon retains after its own freeze."""
    outages, clock, events = make_outages(paused_seconds=FREEZE_SECONDS)
    clock.now += FREEZE_SECONDS + 1
    outages.record_reading(clock.now)
    assert not outages.is_recent
    assert not events


def test_outage_beside_a_pause_is_noticed():
    """Guards against losing all endpoints after a freeze and an outage."""
    outages, clock, events = make_outages(paused_seconds=FREEZE_SECONDS)
    clock.now += FREEZE_SECONDS + OUTAGE_THRESHOLD_SECONDS + 1
    outages.record_reading(clock.now)
    assert outages.is_recent
    assert events == [
        OutageEnded(
            OUTAGE_THRESHOLD_SECONDS + 1,
            FREEZE_SECONDS,
            REGISTRATION_GRACE_SECONDS,
            False,
        )
    ]


def test_outage_ends_once_and_is_recent_for_the_grace():
    """Guards against endpoints that are retained for ever."""
    outages, clock, events = make_outages()
    clock.now += OUTAGE_THRESHOLD_SECONDS + 1
    outages.record_reading(clock.now)
    clock.now += REGISTRATION_GRACE_SECONDS
    outages.record_reading(clock.now)
    assert outages.is_recent
    clock.now += 0.1
    assert not outages.is_recent
    assert len(events) == 1


@pytest.mark.parametrize('has_contact', [True, False])
def test_reported_outage_counts_if_it_was_seen(has_contact):
    """Guards against adopting what one daemon alone retains."""
    outages, clock, _ = make_outages()
    clock.now += OUTAGE_THRESHOLD_SECONDS + 1
    if has_contact:
        outages.record_peer(clock.now - 1, is_after_outage=False)
    assert outages.has_seen(clock.now) != has_contact
    outages.record_peer(clock.now, is_after_outage=True)
    assert outages.is_recent != has_contact
    clock.now += 1
    assert outages.has_seen(clock.now) != has_contact


def test_daemon_that_has_just_started_believes_its_peers():
    """Guards against a daemon that starts after an outage and lacks all."""
    clock = FakeClock()
    outages = SourceOutages(clock, lambda event: None, measure_no_pause)
    assert outages.has_seen(clock.now)
    outages.record_peer(clock.now, is_after_outage=True)
    clock.now += 1
    assert outages.has_seen(clock.now)


async def find_late_hosts(fleet) -> set[str]:
    """Return the daemons that list an endpoint later than they may."""
    late: set[str] = set()
    for _ in range(60):
        await asyncio.sleep(0.05)
        late |= fleet.find_listing_hosts('leaving')
    return late


@pytest.mark.looptime
@pytest.mark.parametrize('phase', range(8))
async def test_reader_that_was_frozen_retains_nothing(phase):
    """Guards against requests to an endpoint that is gone (DRAIN).

    The reader took its freeze for an outage, and its peers adopted its list.
    """
    fleet = await make_settled_fleet()
    fleet.register('leaving')
    await asyncio.sleep(MAX_PROPAGATION_SECONDS + phase * 0.1)
    freeze = asyncio.ensure_future(fleet.freeze(HOSTS[0], FREEZE_SECONDS))
    await asyncio.sleep(FREEZE_SECONDS - MAX_PROPAGATION_SECONDS)
    fleet.remove('leaving')
    await freeze
    # The daemon that was frozen has to read the source first.
    await asyncio.sleep(0.5)
    assert not await find_late_hosts(fleet)


@pytest.mark.looptime
@pytest.mark.parametrize('phase', range(8))
async def test_reader_that_was_cut_off_passes_nothing_on(phase):
    """Guards against requests to an endpoint that is gone (DRAIN).

    A daemon that was cut off can't tell that from an outage. It retains what
    left meanwhile, unless a peer helps it first, but daemons that were in
    touch don't adopt that.
    """
    fleet = await make_settled_fleet()
    fleet.register('leaving')
    await asyncio.sleep(MAX_PROPAGATION_SECONDS + phase * 0.1)
    fleet.cut_hosts = {HOSTS[0]}
    await asyncio.sleep(FREEZE_SECONDS)
    fleet.remove('leaving')
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    fleet.cut_hosts = set()
    assert await find_late_hosts(fleet) <= {HOSTS[0]}


@pytest.mark.looptime
@pytest.mark.parametrize('phase', range(8))
async def test_all_daemons_retain_endpoints_after_an_outage(phase):
    """Guards against losing all endpoints after an outage of the source."""
    fleet = await make_settled_fleet()
    fleet.register('lapsed')
    await asyncio.sleep(MAX_PROPAGATION_SECONDS + phase * 0.1)
    fleet.rejected_hosts = set(HOSTS)
    await asyncio.sleep(FREEZE_SECONDS)
    fleet.remove('lapsed')
    await asyncio.sleep(1)
    fleet.rejected_hosts = set()
    for _ in range(20):
        await asyncio.sleep(0.1)
        assert fleet.find_listing_hosts('lapsed') == set(HOSTS)
    await asyncio.sleep(2 * REGISTRATION_GRACE_SECONDS)
    assert not fleet.find_listing_hosts('lapsed')


@pytest.mark.looptime
@pytest.mark.parametrize('phase', range(16))
async def test_endpoints_are_retained_no_longer_than_daemons_are_excused(phase):
    """Guards against requests to an endpoint that left before an outage.

    Daemons are in touch again this long after the source is back, but may have
    read it for the first time a second later.
    """
    fleet = await make_settled_fleet()
    fleet.register('left')
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    fleet.rejected_hosts = set(HOSTS)
    fleet.remove('left')
    await asyncio.sleep(FREEZE_SECONDS + phase * 0.1)
    fleet.rejected_hosts = set()
    await asyncio.sleep(CONTACT_SECONDS)
    assert not fleet.find_listing_hosts('left')
