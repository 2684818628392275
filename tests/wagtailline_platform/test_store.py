"""Tests of the client of the platform's store, over loopback."""

import asyncio
import json
import math

import pytest
from _daemons import make_configuration, make_large_configuration
from result import Err, Ok

from wagtailline_lab.registry_platform import RegistryPlatform
from wagtailline_platform.store import open_store
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.replicated_source import (
    ItemUnreadable,
    ReplicatedSource,
)
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.source_outages import SourceOutages
from wagtailline_sidecar.source_reader import READ_WAIT_SECONDS
from wagtailline_sidecar.source_replica import SourceReadEnded

LARGE_ROUTES = 1200
# A configuration of this size takes about 1 s on such a link.
SLOW_BYTES_PER_SECOND = 400_000
# Bound for a change to be in force on the users' platform.
MAX_CHANGE_SECONDS = 2.0


def make_entry(state: str = 'ready') -> dict:
    return {
        'service': 'desk',
        'address': '10.0.0.1:80',
        'zone': 'oslo-a',
        'maxConcurrency': 4,
        'state': state,
        'born': 1,
    }


@pytest.fixture
async def platform():
    platform = RegistryPlatform()
    platform.address = await platform.start()
    yield platform
    await platform.stop()


def make_snapshots(clock: BootClock) -> SnapshotStore:
    outages = SourceOutages(clock, lambda event: None, lambda moment: 0)
    return SnapshotStore(clock, lambda event: None, outages)


def is_written_in_era(reading) -> bool:
    return reading.configuration_revision > reading.era_start


async def read(store: ReplicatedSource):
    result = await store.read(MAX_CHANGE_SECONDS)
    assert isinstance(result, Ok), result
    return result.ok_value


async def test_large_configuration_is_read_over_a_slow_link(platform):
    """Guards against requests to a leaving endpoint after routes were added.

    A whole reading took longer than its timeout, and each retry began anew.
    """
    platform.bytes_per_second = SLOW_BYTES_PER_SECOND
    platform.put('op/config', make_large_configuration(1, LARGE_ROUTES))
    platform.put('servers/i-1', make_entry('draining'))
    store = open_store(platform.address, lambda event: None)
    result = await store.read(READ_WAIT_SECONDS)
    assert isinstance(result, Ok), result
    assert result.ok_value.configuration.version == 1
    assert not result.ok_value.endpoints[0].is_ready


async def test_unchanged_configuration_is_not_transferred_again(platform):
    """Guards against readings whose cost grows with the configuration."""
    platform.put('op/config', make_large_configuration(1, LARGE_ROUTES))
    platform.put('servers/i-1', make_entry())
    store = open_store(platform.address, lambda event: None)
    await read(store)
    platform.sent_bytes = 0
    platform.put('servers/i-1', make_entry('draining'))
    result = await store.read(0.05)
    assert not result.ok_value.endpoints[0].is_ready
    assert platform.sent_bytes < 5000


async def test_change_ends_the_wait_of_a_reading(platform):
    """Guards against a new version that waits for the next reading."""
    platform.put('op/config', make_configuration(1))
    store = open_store(platform.address, lambda event: None)
    await read(store)
    platform.put('op/config', make_configuration(2))
    platform.put('op/evacuate/oslo-b', {})
    reading = await read(store)
    assert reading.configuration.version == 2
    assert reading.closed_data_centres == {'oslo-b'}


async def test_reading_costs_one_call_however_many_endpoints(platform):
    """Guards against readings whose calls grow with the fleet.

    The store divides a range into pages, and each page is a call.
    """
    platform.page_items = 50
    platform.put('op/config', make_configuration(1))
    for number in range(195):
        platform.put(f'servers/i-{number}', make_entry())
    store = open_store(platform.address, lambda event: None)
    await read(store)
    platform.reads = 0
    for number in range(195):
        platform.put(f'servers/i-{number}', make_entry('draining'))
        if not number % 39:
            await read(store)
    reading = await read(store)
    assert not any(endpoint.is_ready for endpoint in reading.endpoints)
    assert len(reading.endpoints) == 195
    assert platform.reads == 6


async def test_item_that_was_removed_since_a_stale_read_stays_removed(platform):
    """Guards against a starting daemon that uses an endpoint that has left."""
    platform.put('op/config', make_configuration(1))
    platform.put('op/evacuate/oslo-b', {})
    platform.put('servers/i-1', make_entry())
    platform.put('servers/i-2', make_entry())
    platform.freeze_stale_reads()
    platform.remove('servers/i-1')
    platform.remove('op/evacuate/oslo-b')
    platform.put('op/config', make_configuration(2))
    reading = await read(open_store(platform.address, lambda event: None))
    assert [endpoint.identity for endpoint in reading.endpoints] == ['i-2']
    assert reading.closed_data_centres == set()
    assert reading.configuration.version == 2


async def test_stale_read_from_before_the_history_is_made_up_for(platform):
    """Guards against a start on old items after the history was dropped."""
    platform.put('op/config', make_configuration(1))
    platform.put('servers/i-1', make_entry())
    platform.freeze_stale_reads()
    platform.put('op/config', make_configuration(2))
    platform.remove('servers/i-1')
    platform.oldest_revision = platform.revision
    reading = await read(open_store(platform.address, lambda event: None))
    assert reading.configuration.version == 2
    assert not reading.endpoints


@pytest.mark.parametrize('written_again', [1, 12])
async def test_stale_page_of_before_a_return_is_not_used(
    platform, written_again
):
    """Guards against a start that mixes the items of two eras.

    The store has given out the revision of the stale page again, or not yet.
    The daemon kept lost items, ghosts of endpoints among them, and never heard
    of the version that was published again.
    """
    platform.put('op/config', make_configuration(1))
    await asyncio.sleep(0.05)
    for number in range(4):
        platform.put(f'servers/lost-{number}', make_entry())
    platform.put('op/config', make_configuration(2))
    platform.freeze_stale_reads()
    platform.return_from_copy(0.03)
    platform.put('op/config', make_configuration(3))
    for number in range(written_again):
        platform.put(f'servers/i-{number}', make_entry())
    store = open_store(platform.address, lambda event: None)
    for _ in range(2):
        reading = await read(store)
        assert reading.configuration.version == 3
        identities = {endpoint.identity for endpoint in reading.endpoints}
        assert identities == {f'i-{number}' for number in range(written_again)}
        platform.put('op/evacuate/oslo-b', {})


async def test_version_of_the_present_era_is_told_from_a_copied_one(platform):
    """Guards against a lower version whose origin is not known."""
    platform.put('op/config', make_configuration(1))
    store = open_store(platform.address, lambda event: None)
    assert not is_written_in_era(await read(store))
    await asyncio.sleep(0.05)
    platform.put('op/config', make_configuration(2))
    assert is_written_in_era(await read(store))
    platform.return_from_copy(0.03)
    assert not is_written_in_era(await read(store))
    platform.put('op/config', make_configuration(2))
    assert is_written_in_era(await read(store))


async def test_lost_history_leads_to_a_whole_reading(platform):
    """Guards against a missed version after the store dropped its history."""
    platform.put('op/config', make_configuration(1))
    store = open_store(platform.address, lambda event: None)
    await read(store)
    platform.put('op/config', make_configuration(2))
    platform.oldest_revision = platform.revision
    assert (await read(store)).configuration.version == 2


async def test_change_that_a_watch_did_not_hear_is_found_by_the_next(platform):
    """Guards against a version that is lost when a watch ends without it."""
    platform.put('op/config', make_configuration(1))
    store = open_store(platform.address, lambda event: None)
    await read(store)
    platform.is_mute = True
    platform.put('op/config', make_configuration(2))
    await store.read(0.05)
    platform.is_mute = False
    assert (await read(store)).configuration.version == 2


async def test_rejected_daemon_keeps_what_it_knows(platform):
    """Guards against a whole reading after each failure of the store."""
    platform.put('op/config', make_large_configuration(1, LARGE_ROUTES))
    store = open_store(platform.address, lambda event: None)
    await read(store)
    platform.refused_hosts.add('127.0.0.1')
    assert isinstance(await store.read(0.05), Err)
    platform.refused_hosts.clear()
    platform.sent_bytes = 0
    assert isinstance(await store.read(0.05), Ok)
    assert platform.sent_bytes < 5000


async def test_largest_configuration_is_read(platform):
    """Guards against a configuration that is published but never in force.

    A value may have 1 MiB, which is above the size that is buffered at once.
    """
    configuration = make_large_configuration(1, 6000)
    platform.put('op/config', configuration)
    store = open_store(platform.address, lambda event: None)
    assert (await read(store)).configuration.version == 1


async def test_answer_without_end_fails(platform):
    """Guards against a store whose answer fills the memory of the daemon."""
    platform.put('op/config', make_configuration(1))
    platform.put_bytes('servers/i-1', bytes(5_000_000))
    store = open_store(platform.address, lambda event: None)
    result = await store.read(0.05)
    assert result.err_value.reason.startswith('AnswerTooLarge')


async def test_versions_between_two_readings_are_not_transferred(platform):
    """Guards against a slow link that falls ever further behind a storm."""
    platform.bytes_per_second = SLOW_BYTES_PER_SECOND
    platform.put('op/config', make_large_configuration(1, LARGE_ROUTES))
    store = open_store(platform.address, lambda event: None)
    await read(store)
    platform.bytes_per_second = math.inf
    platform.sent_bytes = 0
    for version in range(2, 6):
        platform.put(
            'op/config', make_large_configuration(version, LARGE_ROUTES)
        )
    assert (await read(store)).configuration.version == 5
    size_bytes = len(json.dumps(make_large_configuration(5, LARGE_ROUTES)))
    assert platform.sent_bytes < 2 * size_bytes


async def test_reading_reports_its_bytes_and_times(platform):
    """Guards against a late snapshot of which no log line tells the cause.

    A slow link, a large configuration and a busy processor all make readings
    slow, and the remedies differ.
    """
    platform.bytes_per_second = SLOW_BYTES_PER_SECOND
    platform.put('op/config', make_large_configuration(1, LARGE_ROUTES))
    events: list = []
    await read(open_store(platform.address, events.append))
    (event,) = (event for event in events if isinstance(event, SourceReadEnded))
    assert event.outcome == 'ok'
    assert event.received_bytes > 100_000
    assert event.transfer_ms > 100


async def test_endpoint_counts_once_its_service_is_named(platform):
    """Guards against odd entries among those that issue tokens.

    The daemons of a service that isn't named were members like all others,
    so requests asked for tokens at addresses where nobody listens.
    """
    platform.put('op/config', make_configuration(1))
    platform.put('servers/i-1', make_entry())
    entry = {**make_entry(), 'address': '10.0.0.2:80', 'service': 'ledger'}
    platform.put('servers/i-2', entry)
    store = open_store(platform.address, lambda event: None)
    clock = BootClock()
    snapshots = make_snapshots(clock)
    snapshots.apply(await read(store), clock.boot())
    endpoints = snapshots.current.endpoints
    assert [endpoint.identity for endpoint in endpoints] == ['i-1']
    configuration = make_configuration(2)
    configuration['services']['ledger'] = configuration['services']['desk']
    platform.put('op/config', configuration)
    snapshots.apply(await read(store), clock.boot())
    identities = [endpoint.identity for endpoint in snapshots.current.endpoints]
    assert identities == ['i-1', 'i-2']


async def test_item_that_cannot_be_read_holds_up_no_other(platform):
    """Guards against a page that one odd item makes unreadable."""
    events = []
    platform.put('op/config', make_configuration(1))
    platform.put('servers/i-1', make_entry())
    platform.put('servers/odd-\ud800', make_entry())
    store = open_store(platform.address, events.append)
    reading = await read(store)
    assert [endpoint.identity for endpoint in reading.endpoints] == ['i-1']
    platform.put('servers/odd-\ud801', make_entry())
    platform.put('servers/i-1', make_entry('draining'))
    reading = await read(store)
    assert not reading.endpoints[0].is_ready
    assert any(isinstance(event, ItemUnreadable) for event in events)


@pytest.mark.parametrize(
    ('era', 'odd_era', 'problem'),
    [
        (None, '', 'answer of era 0 after era 4'),
        (3, '', 'answer of era 3 after era 4'),
        (4, 'x', 'malformed page'),
        (4, '-1', 'malformed page'),
    ],
)
async def test_answer_without_a_usable_era_is_not_used(
    platform, era, odd_era, problem
):
    """Guards against an order of answers that is guessed."""
    platform.era = 4
    platform.put('op/config', make_configuration(1))
    store = open_store(platform.address, lambda event: None)
    await read(store)
    platform.era, platform.odd_era = era, odd_era
    platform.put('op/config', make_configuration(2))
    result = await store.read(MAX_CHANGE_SECONDS)
    assert isinstance(result, Err)
    assert problem in result.err_value.reason
    platform.era, platform.odd_era = 5, ''
    assert (await read(store)).configuration.version == 2


async def test_store_that_names_no_era_is_followed(platform):
    """Guards against a store of an earlier release that can't be read."""
    platform.era = None
    platform.put('op/config', make_configuration(1))
    store = open_store(platform.address, lambda event: None)
    assert (await read(store)).revision == (0, 1)
    platform.put('op/config', make_configuration(2))
    assert (await read(store)).configuration.version == 2


@pytest.mark.parametrize(
    ('endpoints', 'pages'), [(12, 1), (195, 1), (8200, 17)]
)
async def test_calls_after_a_return_are_those_of_a_whole_reading(
    platform, endpoints, pages
):
    """Guards against a return that costs more than a start."""
    platform.put('op/config', make_large_configuration(1, 100))
    for number in range(endpoints):
        platform.put(f'servers/i-{number}', make_entry())
    store = open_store(platform.address, lambda event: None)
    assert isinstance(await store.read(0), Ok)
    sent_bytes = platform.sent_bytes
    platform.reads_by_prefix.clear()
    platform.return_from_copy(0)
    assert isinstance(await store.read(0), Ok)
    print(f'{endpoints} endpoints: {platform.sent_bytes - sent_bytes} bytes')
    # Besides the pages, a watch that tells the era. Those of endpoints alone
    # go on for as long as the reading takes.
    assert platform.reads_by_prefix[''] == pages + 1
    assert platform.sent_bytes < 2.1 * sent_bytes


async def test_return_from_a_copy_costs_one_whole_reading(platform):
    """Guards against a herd on a store that has just returned."""
    platform.put('op/config', make_configuration(1))
    platform.put('servers/i-1', make_entry())
    await asyncio.sleep(0.05)
    store = open_store(platform.address, lambda event: None)
    platform.put('op/config', make_configuration(2))
    platform.put('op/evacuate/oslo-b', {})
    await read(store)
    platform.leave()
    platform.return_from_copy(0.04)
    assert isinstance(await store.read(0.05), Err)
    platform.reads = 0
    reading = await read(store)
    assert reading.revision == (2, 2)
    assert reading.configuration.version == 1
    assert reading.closed_data_centres == frozenset()
    assert platform.reads == 2
