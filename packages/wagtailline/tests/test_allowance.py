"""Guards the bound of an account over all daemons under single failures.

Each test causes one failure and lets the exact oracle check every window.
"""

import asyncio

import pytest

from wagtailline.allowance import (
    AllowanceSettings,
)
from wagtailline.allowance._messages import Grant, GrantReturn, SpentReport
from wagtailline.objects import Limit
from wagtailline_lab.allowance_fleet import (
    FAR,
    NEAR,
    Fleet,
    endpoints_of,
    make_objects,
)
from wagtailline_lab.network import LinkQuality
from wagtailline_lab.simulation import run_simulation

_SETTLED_SECONDS = 9
_LIMITS = (Limit('a', 10, 20, {'dc0': 1}),)
# Borrowers that keep all they get and report nothing of their own accord.
_HOARD = AllowanceSettings(report_seconds=1000, prefetch_seconds=10)


async def _start(sizes=(4, 4, 4), limits=_LIMITS, **options):
    fleet = Fleet(options.pop('seed', 1), **options)
    fleet.publish(make_objects(sizes, limits))
    for endpoint in endpoints_of(fleet.latest):
        await fleet.start(endpoint)
    await asyncio.sleep(_SETTLED_SECONDS)
    return fleet, list(fleet.daemons)


async def _flood(fleet, processes, seconds, pause=0.01):
    for _ in range(round(seconds / pause)):
        for process in processes:
            fleet.spawn(process, 'a')
        await asyncio.sleep(pause)


async def _hoard(fleet, process):
    """Let a process take tokens from all homes without spending them."""
    await fleet.call(process, 'a')
    stock = _stock(fleet, process)
    for _ in range(3):
        lender = fleet.daemons[process].admission._lender
        await lender.borrow(stock, 8, 1000)
    assert stock.available > 5, 'the test needs tokens that are not spent'
    return stock


def _stock(fleet, process):
    return fleet.daemons[process].admission._borrower._stocks['a']


def _homes(fleet, processes):
    """Return the homes of the limit among the processes, by rank."""
    plan = fleet.daemons[processes[0]].admission._borrower._plans.current()
    names = plan.limit('a').homes['dc0']
    by_name = {process.endpoint: process for process in processes}
    return [by_name[name] for name in names]


def _outside(processes, *excluded):
    return [one for one in processes if one not in excluded]


def _check(fleet):
    assert fleet.oracle.excess('a', fleet.admitted['a']) == 0
    return len(fleet.admitted['a'])


def test_flood_gets_the_whole_rate_and_no_more():
    """Guards the sum of all homes and the use of what they generate."""

    async def scenario():
        fleet, processes = await _start()
        await _flood(fleet, processes, 10)
        assert _check(fleet) >= 0.9 * (20 + 10 * 10)

    run_simulation(scenario())


@pytest.mark.parametrize('seed', range(3))
def test_lost_duplicated_and_late_messages(seed):
    """Guards the debit before sending and the use of repeated replies."""

    async def scenario():
        quality = LinkQuality(0.0005, 0.4, loss=0.2, duplication=0.5)
        fleet, processes = await _start(seed=seed, near=quality, far=quality)
        await _flood(fleet, processes, 20, 0.05)
        assert _check(fleet) >= 0.3 * (20 + 10 * 20)

    run_simulation(scenario())


def test_duplicated_request_debits_once():
    """Guards the sequence: a second grant would be lost until it expires."""

    async def scenario():
        quality = NEAR._replace(duplication=1)
        fleet, processes = await _start(near=quality, far=quality)
        await _flood(fleet, processes, 10)
        assert _check(fleet) >= 0.9 * (20 + 10 * 10)

    run_simulation(scenario())


def test_reply_of_an_earlier_request_is_not_a_new_grant():
    """Guards against spending a grant once more when its reply is repeated."""

    async def scenario():
        fleet, processes = await _start()
        home = _homes(fleet, processes)[0]
        borrower = _outside(processes, *_homes(fleet, processes))[0]
        peers = fleet.daemons[borrower].peers
        send, last = peers.request, {}

        async def repeat(endpoint, message, seconds):
            reply = await send(endpoint, message, seconds)
            if isinstance(reply, Grant) and reply.tokens:
                return last.setdefault(endpoint, reply)
            return reply

        peers.request = repeat
        await _flood(fleet, [borrower, home], 10)
        _check(fleet)

    run_simulation(scenario())


def test_grant_that_arrives_after_its_time_is_not_spent():
    """Guards the lifetime, which counts from before the request was sent."""

    async def scenario():
        settings = AllowanceSettings(request_seconds=30)
        fleet, processes = await _start(settings=settings)
        homes = _homes(fleet, processes)
        borrower = _outside(processes, *homes)[0]
        fleet.network.far = LinkQuality(3.5, 3.6)
        for _ in range(20):
            fleet.spawn(borrower, 'a', 30)
        await asyncio.sleep(7)
        fleet.network.far = FAR
        await _flood(fleet, [homes[0]], 3)
        _check(fleet)

    run_simulation(scenario())


def test_report_about_an_earlier_home_frees_nothing():
    """Guards grant numbers, which begin again in a restarted home."""

    async def scenario():
        fleet, processes = await _start(settings=_HOARD)
        home = _homes(fleet, processes)[0]
        borrower = _outside(processes, home)[0]
        stock = await _hoard(fleet, borrower)
        reports = tuple(
            SpentReport(number, 0, True, 20, 20) for number in range(1, 20)
        )
        for process in _homes(fleet, processes):
            link = fleet.daemons[borrower].peers
            key = fleet.daemons[borrower].admission._lender._identity.key
            await link.post(
                process.endpoint,
                GrantReturn('a', key, 'earlier process', reports),
            )
        await asyncio.sleep(2)
        assert stock.available
        await _flood(fleet, processes, 1)
        _check(fleet)

    run_simulation(scenario())


def test_restarted_borrower_does_not_get_the_grants_of_its_predecessor():
    """Guards the identity of a borrower, whose sequence begins again."""

    async def scenario():
        fleet, processes = await _start()
        borrower = _outside(processes, *_homes(fleet, processes))[0]
        endpoint = fleet.latest.find_endpoint(borrower.endpoint)
        for _ in range(8):
            await asyncio.gather(*(fleet.call(borrower, 'a') for _ in range(3)))
            await fleet.kill(borrower)
            borrower = await fleet.start(endpoint)
        _check(fleet)

    run_simulation(scenario())


@pytest.mark.parametrize('everyone', (False, True))
def test_restarted_home_waits_for_the_grants_of_its_predecessor(everyone):
    """Guards the empty memory of a home, alone and after a mass restart."""

    async def scenario():
        fleet, processes = await _start(settings=_HOARD)
        borrower = _outside(processes, *_homes(fleet, processes))[0]
        await _hoard(fleet, borrower)
        gone = _homes(fleet, processes)
        if everyone:
            gone = _outside(processes, borrower)
        for process in gone:
            await fleet.kill(process)
        for process in gone:
            endpoint = fleet.latest.find_endpoint(process.endpoint)
            await fleet.start(endpoint)
        for _ in range(9):
            await _flood(fleet, _outside(fleet.daemons, borrower), 0.5, 0.1)
        await _flood(fleet, [borrower], 0.1)
        _check(fleet)

    run_simulation(scenario())


@pytest.mark.parametrize('frozen', (False, True))
def test_resumed_process_does_not_spend_old_grants(frozen):
    """Guards resumption, also where the clock stood still meanwhile."""

    async def scenario():
        fleet, processes = await _start(settings=_HOARD)
        homes = _homes(fleet, processes)
        borrower = _outside(processes, *homes)[0]
        await _hoard(fleet, borrower)
        fleet.pause(borrower, frozen)
        await asyncio.sleep(5.5)
        await _flood(fleet, _outside(processes, borrower), 2)
        fleet.resume(borrower)
        await _flood(fleet, [borrower], 0.2)
        _check(fleet)

    run_simulation(scenario())


def test_resumed_home_does_not_grant_by_an_old_lease():
    """Guards a home that was replaced while it and its clock stood still."""

    async def scenario():
        fleet, processes = await _start(limits=(Limit('a', 10, 4, {'dc0': 1}),))
        home = _homes(fleet, processes)[0]
        fleet.pause(home, frozen=True)
        await fleet.start(fleet.latest.find_endpoint(home.endpoint))
        await asyncio.sleep(9)
        await _flood(fleet, _outside(processes, home), 2)
        fleet.network.blocked = lambda one, other: home in (one, other)
        fleet.resume(home)
        await _flood(fleet, [home, *processes[-3:]], 1)
        _check(fleet)

    run_simulation(scenario())


def test_two_holders_of_a_position_do_not_both_generate():
    """Guards against a replaced home that lives on in a partition."""

    async def scenario():
        fleet, processes = await _start(limits=(Limit('a', 10, 4, {'dc0': 1}),))
        home = _homes(fleet, processes)[0]
        friends = [one for one in processes if one.data_centre == 'dc0']
        island = {home, _outside(friends, home)[0], processes[-1]}
        fleet.network.blocked = lambda one, other: (
            (one in island) != (other in island)
        )
        await fleet.start(fleet.latest.find_endpoint(home.endpoint))
        for process in island:
            fleet.network.views[process, home.endpoint] = home
        await _flood(fleet, list(fleet.daemons), 20, 0.05)
        assert _check(fleet) >= 4 + 10 * 9

    run_simulation(scenario())


def test_restarted_witnesses_do_not_confirm_a_second_holder():
    """Guards the empty memory of witnesses that confirmed the first one."""

    async def scenario():
        fleet, processes = await _start(limits=(Limit('a', 10, 4, {'dc0': 1}),))
        home = _homes(fleet, processes)[0]
        others = [
            one for one in processes if one.data_centre == 'dc0' and one != home
        ]
        for process in others:
            await fleet.kill(process)
        fleet.network.blocked = lambda one, other: home in (one, other)
        for process in (home, *others):
            endpoint = fleet.latest.find_endpoint(process.endpoint)
            await fleet.start(endpoint)
        await _flood(fleet, list(fleet.daemons), 12, 0.02)
        _check(fleet)

    run_simulation(scenario())
