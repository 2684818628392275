"""Tests of routes at all daemons once the store has acknowledged them.

Twelve daemons in three data centres, among restores of the store. CI plays
some of the scenarios; with ``CONFIRMED_CHANGES=all`` all of them are played.
"""

import asyncio
import os

import pytest
from _confirmed_changes import (
    CONTACT_SECONDS,
    DATA_CENTRES,
    MAX_CHANGE_SECONDS,
    Trial,
    describe,
)
from _daemons import Fleet
from test_store_drills import ask_all, give_own_way

pytestmark = pytest.mark.alone

KEY = 'studio-key'
DAEMONS = 12
CLIENTS = 20
COPY_AGE_SECONDS = 6.0
FRESH_COPY_AGE_SECONDS = 3.0
BEFORE_SECONDS = 6.5
AFTER_SECONDS = 5.5
DRILLS = int(os.environ.get('CONFIRMED_DRILLS', '1'))
by_hand = pytest.mark.skipif(
    os.environ.get('CONFIRMED_CHANGES') != 'all',
    reason='set CONFIRMED_CHANGES=all to play all scenarios',
)

UNSEEN_LOWER_VERSION = pytest.mark.xfail(
    strict=True, reason='KNOWN-RED.txt: lower version in the first answer'
)
LATE_GRACE = pytest.mark.xfail(reason='KNOWN-RED.txt: late grace period')
for_both_numberings = pytest.mark.parametrize('is_lower', [False, True])


@pytest.fixture
async def trial(tmp_path):
    fleet = Fleet(tmp_path)
    await fleet.start(DAEMONS, data_centres=DATA_CENTRES)
    yield Trial(fleet)
    await fleet.stop()


async def check(trial: Trial) -> None:
    """Require that no daemon refused a route that was acknowledged."""
    await trial.oracle.finish()
    print(describe(trial))
    assert trial.oracle.statuses[200] > 0
    assert trial.oracle.cases == []


async def test_routes_are_served_after_a_drill(trial):
    """Guards against routes that are refused since revisions went back."""
    await trial.publish_for(BEFORE_SECONDS)
    for _ in range(DRILLS):
        await trial.return_store(COPY_AGE_SECONDS)
        trial.write_again()
        trial.register_lost()
        await trial.publish_for(AFTER_SECONDS)
    await check(trial)


@pytest.mark.parametrize('pause_seconds', [1.5, pytest.param(0, marks=by_hand)])
async def test_routes_of_lower_versions_are_served(trial, pause_seconds):
    """Guards against an operator who is refused after a drill.

    The operator's own counter of versions went back with the store's copy.
    """
    await trial.publish_for(BEFORE_SECONDS)
    await trial.return_store(COPY_AGE_SECONDS)
    trial.operator.go_back_with_copy()
    await asyncio.sleep(pause_seconds)
    trial.register_lost()
    await trial.publish_for(AFTER_SECONDS)
    await check(trial)


@by_hand
@pytest.mark.parametrize(
    'pause_seconds', [1.5, pytest.param(0, marks=UNSEEN_LOWER_VERSION)]
)
async def test_routes_of_a_single_lower_version_are_served(
    trial, pause_seconds
):
    """Guards against a lower version that waits for the next one."""
    await trial.publish_for(BEFORE_SECONDS)
    await trial.return_store(COPY_AGE_SECONDS)
    trial.operator.go_back_with_copy()
    await asyncio.sleep(pause_seconds)
    trial.operator.add_route()
    trial.oracle.watch()
    await asyncio.sleep(AFTER_SECONDS)
    await check(trial)


@by_hand
async def test_routes_that_are_written_again_late_are_served(trial):
    """Guards against versions that come later than the grace period.

    Until then the last complete version stays in force, with its routes.
    """
    await trial.publish_for(BEFORE_SECONDS)
    *_, lost_route = trial.operator.routes
    await trial.return_store(COPY_AGE_SECONDS)
    trial.register_lost()
    await asyncio.sleep(4)
    assert await ask_all(trial.fleet, f'/{lost_route}/1', KEY) == {200}
    trial.write_again()
    await trial.publish_for(AFTER_SECONDS)
    await check(trial)


@by_hand
async def test_routes_are_served_if_lost_versions_return_in_order(trial):
    """Guards against the newest version that is refused behind older ones."""
    await trial.publish_for(BEFORE_SECONDS)
    await trial.return_store(COPY_AGE_SECONDS)
    for configuration in trial.operator.versions[-8:]:
        trial.operator.write(configuration)
        trial.oracle.watch()
        await asyncio.sleep(0.3)
    trial.register_lost()
    await trial.publish_for(AFTER_SECONDS)
    await check(trial)


@by_hand
async def test_routes_are_served_before_endpoints_and_closings_return(trial):
    """Guards against routes that wait for other items after a drill."""
    trial.register_all()
    trial.platform.put('op/evacuate/oslo-c', {})
    await trial.publish_for(BEFORE_SECONDS)
    await trial.return_store(BEFORE_SECONDS + 1)
    trial.write_again()
    await trial.publish_for(1)
    trial.platform.put('op/evacuate/oslo-c', {})
    trial.register_lost()
    await trial.publish_for(AFTER_SECONDS)
    await check(trial)


@by_hand
@for_both_numberings
async def test_daemons_that_start_after_a_return_serve_routes(trial, is_lower):
    """Guards against a daemon that keeps the copy as the present state."""
    await trial.publish_for(BEFORE_SECONDS)
    await trial.return_store(COPY_AGE_SECONDS)
    trial.register_lost()
    reader = trial.find_reader(DATA_CENTRES[0])
    for vm in {vm.name: vm for vm in (reader, *trial.fleet.vms[:4])}.values():
        await trial.restart(vm)
    await asyncio.sleep(4)
    trial.go_on(is_lower=is_lower)
    await trial.publish_for(AFTER_SECONDS)
    await check(trial)


@pytest.mark.parametrize(
    'starting',
    [
        pytest.param(slice(1), id='reader'),
        pytest.param(slice(1, 2), id='child', marks=by_hand),
        pytest.param(slice(None), id='data centre', marks=by_hand),
    ],
)
async def test_daemons_that_start_from_a_stale_page_serve_routes(
    trial, starting
):
    """Guards against a first reading of before a return, in its new era.

    The store has given out the revision of that page again, so the watch from
    it succeeds, and tells nothing of what was written earlier in the era.
    """
    await trial.publish_for(FRESH_COPY_AGE_SECONDS)
    trial.platform.freeze_stale_reads()
    stale_revision = trial.platform.revision
    await trial.return_store(FRESH_COPY_AGE_SECONDS)
    trial.operator.add_route()
    trial.oracle.watch()
    while trial.platform.revision <= stale_revision:
        trial.register_all()
    for vm in trial.rank_vms(DATA_CENTRES[0])[starting]:
        await trial.restart(vm)
    await asyncio.sleep(AFTER_SECONDS)
    await check(trial)


@by_hand
async def test_daemon_that_starts_from_a_stale_page_uses_no_lost_endpoint(
    trial,
):
    """Guards against requests to an endpoint that left with the copy.

    It registered in the lost time only. The daemon that starts reads for its
    data centre, so the others there take what it holds.
    """
    await trial.publish_for(BEFORE_SECONDS)
    reader, gone, *_ = trial.rank_vms(DATA_CENTRES[0])
    trial.platform.remove(f'servers/{gone.upstream.instance}')
    await asyncio.sleep(COPY_AGE_SECONDS)
    trial.fleet.register(gone)
    trial.operator.add_route()
    trial.platform.freeze_stale_reads()
    stale_revision = trial.platform.revision
    await trial.return_store(2)
    while trial.platform.revision <= stale_revision:
        trial.operator.add_route()
    await trial.restart(reader)
    await asyncio.sleep(CONTACT_SECONDS + MAX_CHANGE_SECONDS)
    received = len(gone.upstream.received)
    await asyncio.gather(
        *(ask_all(trial.fleet, key=KEY) for _ in range(CLIENTS))
    )
    print(describe(trial))
    assert len(gone.upstream.received) == received


@by_hand
async def test_route_that_is_withdrawn_and_added_again_is_served(trial):
    """Guards against a withdrawal in the grace period that stays in force."""
    await trial.publish_for(BEFORE_SECONDS)
    await trial.return_store(COPY_AGE_SECONDS)
    trial.write_again()
    trial.register_lost()
    name, route = trial.operator.routes.popitem()
    await asyncio.sleep(0.5)
    trial.operator.publish()
    await asyncio.sleep(1)
    trial.operator.routes[name] = route
    trial.operator.publish()
    trial.oracle.watch()
    await trial.publish_for(AFTER_SECONDS)
    await check(trial)


@by_hand
@for_both_numberings
async def test_routes_are_served_where_the_reader_was_frozen(trial, is_lower):
    """Guards against a daemon of an earlier era than those behind it."""
    reader = trial.find_reader(DATA_CENTRES[0])
    await trial.publish_for(BEFORE_SECONDS)
    trial.freeze(reader)
    await trial.return_store(COPY_AGE_SECONDS)
    trial.go_on(is_lower=is_lower)
    await trial.publish_for(3)
    trial.thaw(reader)
    await trial.publish_for(AFTER_SECONDS)
    await check(trial)


@by_hand
@pytest.mark.parametrize(
    'is_lower', [False, pytest.param(True, marks=LATE_GRACE)]
)
async def test_routes_are_served_where_the_reader_was_cut_off(trial, is_lower):
    """Guards against a daemon that gets a newer era from those behind it."""
    reader = trial.find_reader(DATA_CENTRES[0])
    await give_own_way(trial.fleet, reader)
    await trial.publish_for(BEFORE_SECONDS)
    trial.cut_off(reader)
    await trial.return_store(COPY_AGE_SECONDS)
    trial.go_on(is_lower=is_lower)
    await trial.publish_for(3)
    trial.connect(reader)
    await trial.publish_for(AFTER_SECONDS)
    await check(trial)
