"""Guards the bound of an account over all daemons under single failures.

Each test causes one failure and lets the exact oracle check every window.
"""

import asyncio

import pytest

from wagtailline.allowance._messages import Grant, GrantReturn, SpentReport
from wagtailline.objects import Limit
from wagtailline_lab.allowance_fleet import NEAR
from wagtailline_lab.allowance_scenarios import (
    SCENARIO_SETTINGS,
    check_bound,
    cut_off,
    find_issuers,
    flood,
    hoard,
    start_fleet,
    without,
)
from wagtailline_lab.network import LinkQuality
from wagtailline_lab.simulation import run_simulation

# Borrowers that keep all they get and report nothing of their own accord.
_HOARD = SCENARIO_SETTINGS._replace(
    report_seconds=1000, prefetch_seconds=1e6, request_seconds=30
)
# An issuer that would fill its bucket while grants are out.
_FAST = (Limit('a', 40, 20, {'dc0': 1}),)
_FASTER = (Limit('a', 100, 20, {'dc0': 1}),)
_HOARD_OF_ONE = _HOARD._replace(tokens_per_issuer=100)
_ONE_ISSUER = (Limit('a', 10, 4, {'dc0': 1}),)


def test_flood_gets_the_whole_rate_and_no_more():
    """Guards the sum of all issuers and the use of what they generate."""

    async def scenario():
        fleet, processes = await start_fleet()
        await flood(fleet, processes, 10)
        assert check_bound(fleet) >= 0.9 * (20 + 10 * 10)

    run_simulation(scenario())


@pytest.mark.parametrize('seed', range(3))
def test_lost_duplicated_and_late_messages(seed):
    """Guards the debit before sending and the use of repeated replies."""

    async def scenario():
        quality = LinkQuality(0.0005, 0.4, loss=0.2, duplication=0.5)
        fleet, processes = await start_fleet(
            seed=seed, near=quality, far=quality
        )
        await flood(fleet, processes, 20, 0.05)
        assert check_bound(fleet) >= 0.3 * (20 + 10 * 20)

    run_simulation(scenario())


def test_duplicated_request_debits_once():
    """Guards the sequence: a second grant would be lost until it expires."""

    async def scenario():
        quality = NEAR._replace(duplication=1)
        fleet, processes = await start_fleet(near=quality, far=quality)
        await flood(fleet, processes, 10)
        assert check_bound(fleet) >= 0.9 * (20 + 10 * 10)

    run_simulation(scenario())


def test_reply_of_an_earlier_request_is_not_a_new_grant():
    """Guards against spending a grant once more when its reply is repeated."""

    async def scenario():
        fleet, processes = await start_fleet()
        issuer = find_issuers(fleet, processes)[0]
        borrower = without(processes, *find_issuers(fleet, processes))[0]
        peers = fleet.daemons[borrower].peers
        send, last = peers.request, {}

        async def repeat(endpoint, message, seconds):
            reply = await send(endpoint, message, seconds)
            if isinstance(reply, Grant) and reply.tokens:
                last.setdefault(endpoint, reply)
            return last.get(endpoint, reply)

        peers.request = repeat
        await flood(fleet, [borrower, issuer], 10)
        check_bound(fleet)

    run_simulation(scenario())


def test_grant_that_arrives_after_its_time_is_not_spent():
    """Guards the lifetime, which counts from before the request was sent."""

    async def scenario():
        fleet, processes = await start_fleet(limits=_FAST, settings=_HOARD)
        borrower = processes[-1]
        fleet.network.far = LinkQuality(3.5, 3.5)
        for _ in range(20):
            fleet.spawn(borrower, 'a', 0.1)
        await asyncio.sleep(9.5)
        await flood(fleet, processes, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


def test_report_about_an_earlier_issuer_frees_nothing():
    """Guards grant numbers, which begin again in a restarted issuer."""

    async def scenario():
        fleet, processes = await start_fleet(settings=_HOARD)
        issuer = find_issuers(fleet, processes)[0]
        borrower = without(processes, issuer)[0]
        stock = await hoard(fleet, borrower)
        reports = tuple(
            SpentReport(number, 0, True, 20) for number in range(1, 20)
        )
        for process in find_issuers(fleet, processes):
            link = fleet.daemons[borrower].peers
            key = fleet.daemons[borrower].admission._lender._identity.key
            await link.post(
                process.endpoint,
                GrantReturn('a', key, 'earlier process', reports),
            )
        await asyncio.sleep(2)
        assert stock.available
        await flood(fleet, processes, 1)
        check_bound(fleet)

    run_simulation(scenario())


def test_restarted_borrower_does_not_get_the_grants_of_its_predecessor():
    """Guards the identity of a borrower, whose sequence begins again."""

    async def scenario():
        fleet, processes = await start_fleet()
        borrower = without(processes, *find_issuers(fleet, processes))[0]
        endpoint = fleet.latest.find_endpoint(borrower.endpoint)
        for _ in range(8):
            await asyncio.gather(*(fleet.call(borrower, 'a') for _ in range(3)))
            await fleet.kill(borrower)
            borrower = await fleet.start(endpoint)
        check_bound(fleet)

    run_simulation(scenario())


@pytest.mark.parametrize('everyone', (False, True))
def test_restarted_issuer_waits_for_the_grants_of_its_predecessor(everyone):
    """Guards the empty memory of an issuer, alone and after a mass restart."""

    async def scenario():
        fleet, processes = await start_fleet(limits=_FAST, settings=_HOARD)
        issuers = find_issuers(fleet, processes)
        borrower = without(processes, *issuers)[0]
        await hoard(fleet, borrower)
        gone = without(processes, borrower) if everyone else issuers[:1]
        for process in gone:
            await fleet.kill(process)
            await fleet.start(fleet.latest.find_endpoint(process.endpoint))
        await asyncio.sleep(4.8)
        await flood(fleet, fleet.daemons, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


@pytest.mark.parametrize('frozen', (False, True))
def test_resumed_process_does_not_spend_old_grants(frozen):
    """Guards resumption, also where the clock stood still meanwhile."""

    async def scenario():
        fleet, processes = await start_fleet(limits=_FAST, settings=_HOARD)
        borrower = without(processes, *find_issuers(fleet, processes))[0]
        await hoard(fleet, borrower)
        fleet.pause(borrower, frozen)
        await asyncio.sleep(6)
        fleet.resume(borrower)
        await flood(fleet, processes, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


def test_wall_clock_that_is_set_back_prolongs_no_grant():
    """Guards the monotonic clock as the other measure of a lifetime."""

    async def scenario():
        fleet, processes = await start_fleet(limits=_FAST, settings=_HOARD)
        borrower = without(processes, *find_issuers(fleet, processes))[0]
        await hoard(fleet, borrower)
        fleet.daemons[borrower].clock.wall_start -= 100
        await asyncio.sleep(6)
        await flood(fleet, processes, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


def test_resumed_issuer_does_not_grant_by_an_old_lease():
    """Guards an issuer that was replaced while it and its clock stood still."""

    async def scenario():
        fleet, processes = await start_fleet(limits=_ONE_ISSUER)
        issuer = find_issuers(fleet, processes)[0]
        fleet.pause(issuer, frozen=True)
        await fleet.start(fleet.latest.find_endpoint(issuer.endpoint))
        await asyncio.sleep(9)
        await flood(fleet, without(processes, issuer), 2)
        cut_off(fleet, [issuer])
        fleet.resume(issuer)
        await flood(fleet, [issuer, *processes[-3:]], 1)
        check_bound(fleet)

    run_simulation(scenario())


def test_two_holders_of_a_position_do_not_both_generate():
    """Guards against a replaced issuer that lives on in a partition."""

    async def scenario():
        fleet, processes = await start_fleet(limits=_ONE_ISSUER)
        issuer = find_issuers(fleet, processes)[0]
        friends = [one for one in processes if one.data_centre == 'dc0']
        island = {issuer, without(friends, issuer)[0], processes[-1]}
        cut_off(fleet, island)
        await fleet.start(fleet.latest.find_endpoint(issuer.endpoint))
        for process in island:
            fleet.network.views[process, issuer.endpoint] = issuer
        await flood(fleet, fleet.daemons, 20, 0.05)
        assert check_bound(fleet) >= 4 + 10 * 9

    run_simulation(scenario())


def test_replacement_waits_while_the_lease_of_the_first_holder_lasts():
    """Guards the conflict of two holders at each witness."""

    async def scenario():
        fleet, processes = await start_fleet(
            limits=_FAST, settings=_HOARD_OF_ONE
        )
        issuers = find_issuers(fleet, processes)
        borrower = processes[-1]
        cut_off(fleet, [*issuers[:1], borrower])
        await asyncio.sleep(0.1)
        await fleet.start(fleet.latest.find_endpoint(issuers[0].endpoint))
        fleet.network.views[borrower, issuers[0].endpoint] = issuers[0]
        await asyncio.sleep(1)
        await hoard(fleet, borrower)
        await asyncio.sleep(4.8)
        await flood(fleet, fleet.daemons, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


def test_replacement_supersedes_a_first_holder_that_is_alive():
    """Guards against an old holder that renews its leases for ever."""

    async def scenario():
        fleet, processes = await start_fleet(limits=_ONE_ISSUER)
        issuer = find_issuers(fleet, processes)[0]
        await fleet.start(fleet.latest.find_endpoint(issuer.endpoint))
        await flood(fleet, without(fleet.daemons, issuer), 20, 0.05)
        assert check_bound(fleet) >= 4 + 10 * 10

    run_simulation(scenario())


def test_restarted_witnesses_do_not_confirm_a_second_holder():
    """Guards the empty memory of witnesses that confirmed the first one."""

    async def scenario():
        fleet, processes = await start_fleet(
            limits=_FASTER, settings=_HOARD_OF_ONE
        )
        issuer = find_issuers(fleet, processes)[0]
        borrower = processes[-1]
        cut_off(fleet, [issuer, borrower])
        for process in [one for one in processes if one.data_centre == 'dc0']:
            if process != issuer:
                await fleet.kill(process)
            await fleet.start(fleet.latest.find_endpoint(process.endpoint))
        fleet.network.views[borrower, issuer.endpoint] = issuer
        await asyncio.sleep(1.45)
        await hoard(fleet, borrower)
        await asyncio.sleep(4.9)
        await flood(fleet, fleet.daemons, 0.02, 0.001)
        check_bound(fleet)

    run_simulation(scenario())
