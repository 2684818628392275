"""Limits of client accounts over the whole fleet."""

import pytest
from _fixtures import FakeClock, make_account
from _quota_fleet import QuotaFleet

from wagtailline_sidecar.quotas import (
    ISSUER_START_SECONDS,
    MAX_WAIT_SECONDS,
    MEMBER_MEMORY_SECONDS,
    Members,
    Tolerance,
)

TOLERANCE = Tolerance(window_seconds=5, overage=0.25, slack=20)
STEP_SECONDS = 0.01


def bound(account) -> float:
    limit = account.rate * TOLERANCE.window_seconds + account.burst
    return limit * (1 + TOLERANCE.overage) + TOLERANCE.slack


async def run(fleet, seconds, rates, disturb=None):
    """Send each account's requests a second to random daemons."""
    end = fleet.clock.now + seconds
    step = 0
    while fleet.clock.now < end:
        for account, rate in rates.items():
            if fleet.random.random() < rate * STEP_SECONDS:
                host = fleet.random.choice(sorted(fleet.members))
                await fleet.request(host, account)
        if disturb is not None:
            disturb(fleet, step)
        fleet.step(STEP_SECONDS)
        step += 1


@pytest.mark.parametrize('seed', range(5))
async def test_hot_account_stays_within_its_limit(seed):
    """Guards against an account that gets a whole limit at each daemon."""
    hot = make_account('hot', rate=8, burst=8)
    fleet = QuotaFleet(12, (hot,), TOLERANCE, seed)
    await run(fleet, 10, {hot: 5})
    await run(fleet, 20, {hot: 60})
    assert fleet.most_in_window('hot', 5) <= bound(hot)


@pytest.mark.parametrize('seed', range(5))
async def test_account_within_its_rate_is_not_refused(seed):
    """Guards against equal shares that leave a daemon less than a token."""
    small = make_account('small', rate=5, burst=5)
    fleet = QuotaFleet(12, (small,), TOLERANCE, seed)
    await run(fleet, ISSUER_START_SECONDS + 2, {})
    await run(fleet, 30, {small: 3})
    refused = fleet.refused.get('small', 0)
    assert refused <= len(fleet.admitted['small']) / 100


@pytest.mark.parametrize('seed', range(10))
async def test_limit_holds_through_cuts_and_restarts(seed):
    """Guards against parts of a fleet that each hand out the whole limit."""
    hot = make_account('hot', rate=10, burst=10)
    fleet = QuotaFleet(12, (hot,), TOLERANCE, seed)

    def disturb(fleet, step):
        if step % 300 == 0:
            size = fleet.random.choice((0, 3, 6))
            fleet.cut = set(fleet.random.sample(sorted(fleet.members), size))
        if step % 170 == 0:
            fleet.restart(fleet.random.choice(sorted(fleet.members)))

    await run(fleet, 40, {hot: 80}, disturb)
    assert fleet.most_in_window('hot', 5) <= bound(hot)


async def test_daemons_join_and_leave_under_load():
    """Guards against issuers that move and lend twice."""
    hot = make_account('hot', rate=10, burst=10)
    fleet = QuotaFleet(12, (hot,), TOLERANCE, 1)

    def disturb(fleet, step):
        if step % 400 == 200:
            fleet.members.pop(fleet.random.choice(sorted(fleet.members)))
            fleet.follow()

    await run(fleet, 30, {hot: 80}, disturb)
    assert fleet.most_in_window('hot', 5) <= bound(hot)


async def test_lowered_limit_binds_after_one_window():
    """Guards against tokens that outlive the limit they came from."""
    hot = make_account('hot', rate=40, burst=40)
    fleet = QuotaFleet(12, (hot,), TOLERANCE, 1)
    await run(fleet, 10, {hot: 80})
    lowered = hot._replace(rate=4, burst=4)
    fleet.accounts = (lowered,)
    fleet.follow()
    await run(fleet, 5, {lowered: 80})
    fleet.admitted.clear()
    await run(fleet, 15, {lowered: 80})
    assert fleet.most_in_window('hot', 5) <= bound(lowered)


async def test_request_that_did_not_run_is_given_back():
    """Guards against accounts that pay for refusals."""
    account = make_account('one', rate=1, burst=1)
    fleet = QuotaFleet(1, (account,), Tolerance(), 1)
    fleet.step(10)
    quotas = next(iter(fleet.members.values())).quotas
    taken = 0
    while await quotas.take(account) == 0:
        taken += 1
    quotas.give_back(account)
    assert await quotas.take(account) == 0


async def test_wait_without_a_share_is_finite():
    """Guards against a wait that no clock can express.

    A small account is wholly at its issuer; while that is silent, this daemon
    has no tokens at all.
    """
    small = make_account('small', rate=1, burst=1)
    fleet = QuotaFleet(12, (small,), TOLERANCE, 1)
    for host, member in fleet.members.items():
        fleet.cut = {host}
        assert 0 < await member.quotas.take(small) <= MAX_WAIT_SECONDS


def test_host_that_was_present_for_long_keeps_its_share_when_it_leaves():
    """Guards against a share that is given away while it may still be used.

    Members are noted only when they change, so the last note may be old.
    """
    clock = FakeClock()
    members = Members(clock)
    members.note({'10.0.0.1', '10.0.0.2'})
    clock.now += 2 * MEMBER_MEMORY_SECONDS
    members.note({'10.0.0.1'})
    assert members.hosts == {'10.0.0.1', '10.0.0.2'}
    clock.now += MEMBER_MEMORY_SECONDS + 1
    members.note({'10.0.0.1'})
    assert members.hosts == {'10.0.0.1'}


def test_issuer_moves_when_its_host_leaves():
    """Guards against loans from a daemon that is gone."""
    members = Members(FakeClock())
    members.note({'10.0.0.1', '10.0.0.2'})
    issuer = members.issuer('studio')
    (other,) = {'10.0.0.1', '10.0.0.2'} - {issuer}
    members.note({other})
    assert members.issuer('studio') == other
