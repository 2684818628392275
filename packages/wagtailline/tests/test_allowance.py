"""Tests that limits hold over all daemons under single failures.

Each test causes one failure. An exact oracle then checks that no time window
holds more admitted calls than the burst plus the rate times its length.
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

# Borrowers keep all granted tokens and send no periodic reports.
_HOARDING = SCENARIO_SETTINGS._replace(
    report_seconds=1000, prefetch_seconds=1e6, request_seconds=30
)
# Limits whose issuers would refill their buckets before grants expire.
_FAST_LIMITS = (Limit('a', 40, 20, {'dc0': 1}),)
_FASTER_LIMITS = (Limit('a', 100, 20, {'dc0': 1}),)
_HOARDING_ONE_ISSUER = _HOARDING._replace(tokens_per_issuer=100)
_ONE_ISSUER_LIMITS = (Limit('a', 10, 4, {'dc0': 1}),)


def test_flood_gets_the_whole_rate_and_no_more():
    """Guard against shares that add up to more or much less than the limit."""

    async def scenario():
        fleet, processes = await start_fleet()
        await flood(fleet, processes, 10)
        assert check_bound(fleet) >= 0.9 * (20 + 10 * 10)

    run_simulation(scenario())


@pytest.mark.parametrize('seed', range(3))
def test_lost_duplicated_and_late_messages(seed):
    """Guard against tokens created by lost, repeated or delayed messages.

    An issuer must debit a grant before it sends the reply, and a borrower
    must not use a repeated reply twice.
    """

    async def scenario():
        quality = LinkQuality(0.0005, 0.4, loss=0.2, duplication=0.5)
        fleet, processes = await start_fleet(
            seed=seed, near=quality, far=quality
        )
        await flood(fleet, processes, 20, 0.05)
        assert check_bound(fleet) >= 0.3 * (20 + 10 * 20)

    run_simulation(scenario())


def test_duplicated_request_debits_once():
    """Guard against a second grant for a duplicated request.

    Its tokens would be lost until the grant expires.
    """

    async def scenario():
        quality = NEAR._replace(duplication=1)
        fleet, processes = await start_fleet(near=quality, far=quality)
        await flood(fleet, processes, 10)
        assert check_bound(fleet) >= 0.9 * (20 + 10 * 10)

    run_simulation(scenario())


def test_reply_of_an_earlier_request_is_not_a_new_grant():
    """Guard against spending a grant twice when an old reply is repeated."""

    async def scenario():
        fleet, processes = await start_fleet()
        issuer = find_issuers(fleet, processes)[0]
        borrower = without(processes, *find_issuers(fleet, processes))[0]
        peers = fleet.daemons[borrower].peers
        send_request, first_replies = peers.request, {}

        async def repeat_first_reply(endpoint, message, seconds):
            reply = await send_request(endpoint, message, seconds)
            if isinstance(reply, Grant) and reply.tokens:
                first_replies.setdefault(endpoint, reply)
            return first_replies.get(endpoint, reply)

        peers.request = repeat_first_reply
        await flood(fleet, [borrower, issuer], 10)
        check_bound(fleet)

    run_simulation(scenario())


def test_grant_that_arrives_after_its_time_is_not_spent():
    """Guard against spending a grant that was delayed beyond its lifetime.

    The lifetime must count from before the request was sent.
    """

    async def scenario():
        fleet, processes = await start_fleet(
            limits=_FAST_LIMITS, settings=_HOARDING
        )
        borrower = processes[-1]
        fleet.network.far = LinkQuality(3.5, 3.5)
        for _ in range(20):
            fleet.spawn(borrower, 'a', 0.1)
        await asyncio.sleep(9.5)
        await flood(fleet, processes, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


def test_report_about_an_earlier_issuer_frees_nothing():
    """Guard against reports that free grants of another issuer process.

    Grant numbers start again in a restarted issuer, so a report on an earlier
    process may name the number of a current grant.
    """

    async def scenario():
        fleet, processes = await start_fleet(settings=_HOARDING)
        issuer = find_issuers(fleet, processes)[0]
        borrower = without(processes, issuer)[0]
        borrowed = await hoard(fleet, borrower)
        reports = tuple(
            SpentReport(number, 0, True, 20) for number in range(1, 20)
        )
        for process in find_issuers(fleet, processes):
            peers = fleet.daemons[borrower].peers
            key = fleet.daemons[borrower].admission._issuer_client._identity.key
            await peers.post(
                process.endpoint,
                GrantReturn('a', key, 'earlier process', reports),
            )
        await asyncio.sleep(2)
        assert borrowed.available
        await flood(fleet, processes, 1)
        check_bound(fleet)

    run_simulation(scenario())


def test_restarted_borrower_does_not_get_the_grants_of_its_predecessor():
    """Guard against replies that were cached for an earlier borrower process.

    Request sequences start again in a restarted borrower.
    """

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


@pytest.mark.parametrize('restart_all', (False, True))
def test_restarted_issuer_waits_for_the_grants_of_its_predecessor(restart_all):
    """Guard against an issuer that grants while old grants are still valid.

    A restarted issuer does not know the grants of its predecessor. Either one
    issuer restarts, or all daemons but the borrower do.
    """

    async def scenario():
        fleet, processes = await start_fleet(
            limits=_FAST_LIMITS, settings=_HOARDING
        )
        issuers = find_issuers(fleet, processes)
        borrower = without(processes, *issuers)[0]
        await hoard(fleet, borrower)
        restarted = without(processes, borrower) if restart_all else issuers[:1]
        for process in restarted:
            await fleet.kill(process)
            await fleet.start(fleet.latest.find_endpoint(process.endpoint))
        await asyncio.sleep(4.8)
        await flood(fleet, fleet.daemons, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


@pytest.mark.parametrize('frozen', (False, True))
def test_resumed_process_does_not_spend_old_grants(frozen):
    """Guard against spending expired grants after a suspended process resumes.

    The monotonic clock of a frozen process does not count the suspension.
    """

    async def scenario():
        fleet, processes = await start_fleet(
            limits=_FAST_LIMITS, settings=_HOARDING
        )
        borrower = without(processes, *find_issuers(fleet, processes))[0]
        await hoard(fleet, borrower)
        fleet.pause(borrower, frozen)
        await asyncio.sleep(6)
        fleet.resume(borrower)
        await flood(fleet, processes, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


def test_wall_clock_that_is_set_back_prolongs_no_grant():
    """Guard against a grant that outlives a wall clock set back.

    The monotonic clock must limit the lifetime as well.
    """

    async def scenario():
        fleet, processes = await start_fleet(
            limits=_FAST_LIMITS, settings=_HOARDING
        )
        borrower = without(processes, *find_issuers(fleet, processes))[0]
        await hoard(fleet, borrower)
        fleet.daemons[borrower].clock.wall_start -= 100
        await asyncio.sleep(6)
        await flood(fleet, processes, 0.05, 0.001)
        check_bound(fleet)

    run_simulation(scenario())


def test_resumed_issuer_does_not_grant_by_an_old_lease():
    """Guard against a resumed issuer that grants under an expired lease.

    It was replaced while its process and monotonic clock were stopped.
    """

    async def scenario():
        fleet, processes = await start_fleet(limits=_ONE_ISSUER_LIMITS)
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
    """Guard against a replaced issuer that keeps generating in a partition."""

    async def scenario():
        fleet, processes = await start_fleet(limits=_ONE_ISSUER_LIMITS)
        issuer = find_issuers(fleet, processes)[0]
        local_processes = [
            member for member in processes if member.data_centre == 'dc0'
        ]
        isolated = {issuer, without(local_processes, issuer)[0], processes[-1]}
        cut_off(fleet, isolated)
        await fleet.start(fleet.latest.find_endpoint(issuer.endpoint))
        for process in isolated:
            fleet.network.views[process, issuer.endpoint] = issuer
        await flood(fleet, fleet.daemons, 20, 0.05)
        assert check_bound(fleet) >= 4 + 10 * 9

    run_simulation(scenario())


def test_replacement_waits_while_the_lease_of_the_first_holder_lasts():
    """Guard against a replacement issuer that overlaps the lease of the first.

    Each witness must refuse the replacement until that lease has ended.
    """

    async def scenario():
        fleet, processes = await start_fleet(
            limits=_FAST_LIMITS, settings=_HOARDING_ONE_ISSUER
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
    """Guard against an old process that renews its leases indefinitely.

    The replacement at its endpoint would then never generate tokens.
    """

    async def scenario():
        fleet, processes = await start_fleet(limits=_ONE_ISSUER_LIMITS)
        issuer = find_issuers(fleet, processes)[0]
        await fleet.start(fleet.latest.find_endpoint(issuer.endpoint))
        await flood(fleet, without(fleet.daemons, issuer), 20, 0.05)
        assert check_bound(fleet) >= 4 + 10 * 10

    run_simulation(scenario())


def test_restarted_witnesses_do_not_confirm_a_second_holder():
    """Guard against restarted witnesses that confirm a second issuer.

    They no longer know the lease that they confirmed for the first one.
    """

    async def scenario():
        fleet, processes = await start_fleet(
            limits=_FASTER_LIMITS, settings=_HOARDING_ONE_ISSUER
        )
        issuer = find_issuers(fleet, processes)[0]
        borrower = processes[-1]
        cut_off(fleet, [issuer, borrower])
        for process in [
            member for member in processes if member.data_centre == 'dc0'
        ]:
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
