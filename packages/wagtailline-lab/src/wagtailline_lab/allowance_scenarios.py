"""Common steps of the tests of shared rate limits."""

import asyncio
from collections.abc import Iterable, Sequence
from typing import Any

from wagtailline.allowance import AllowanceSettings
from wagtailline.allowance._borrowed_limit import Waiter
from wagtailline.objects import Limit
from wagtailline_lab.allowance_fleet import (
    FAR,
    NEAR,
    Fleet,
    endpoints_of,
    make_objects,
)
from wagtailline_lab.allowance_peers import Process
from wagtailline_lab.network import LinkQuality

LIMIT = 'a'
# The tests depend on these durations, so they do not use the defaults.
SCENARIO_SETTINGS = AllowanceSettings(
    grant_seconds=5, lease_seconds=2, renew_seconds=0.5
)
_STARTUP_SECONDS = 9
_BORROW_ROUNDS = 6
_CALLERS_PER_ROUND = 20
_MIN_UNSPENT_TOKENS = 6
_LIMITS = (Limit(LIMIT, 10, 20, {'dc0': 1}),)


async def start_fleet(
    sizes: Sequence[int] = (4, 4, 4),
    limits: Sequence[Limit] = _LIMITS,
    seed: int = 1,
    settings: AllowanceSettings = SCENARIO_SETTINGS,
    near: LinkQuality = NEAR,
    far: LinkQuality = FAR,
) -> tuple[Fleet, list[Process]]:
    """Return a fleet, whose issuers generate tokens, and its processes."""
    fleet = Fleet(seed, settings, near=near, far=far)
    fleet.publish(make_objects(sizes, limits))
    for endpoint in endpoints_of(fleet.latest):
        await fleet.start(endpoint)
    await asyncio.sleep(_STARTUP_SECONDS)
    return fleet, list(fleet.daemons)


async def flood(
    fleet: Fleet,
    processes: Iterable[Process],
    seconds: float,
    interval_seconds: float = 0.01,
) -> None:
    """Make a call in every process at each interval."""
    callers = tuple(processes)
    for _ in range(round(seconds / interval_seconds)):
        for process in callers:
            fleet.spawn(process, LIMIT)
        await asyncio.sleep(interval_seconds)


async def hoard(fleet: Fleet, process: Process) -> Any:
    """Fill the limit of a process with unspent tokens and return it.

    Callers give up while the process borrows tokens for them.
    """
    service: Any = fleet.daemons[process].admission
    borrowed = service._borrower._find_limit(LIMIT)
    for _ in range(_BORROW_ROUNDS):
        borrowed.waiters.extend(Waiter(0) for _ in range(_CALLERS_PER_ROUND))
        borrowing = asyncio.ensure_future(
            service._issuer_client.request_tokens(borrowed, 1, 0)
        )
        await asyncio.sleep(0)
        borrowed.waiters.clear()
        await borrowing
    if borrowed.available < _MIN_UNSPENT_TOKENS:
        raise RuntimeError(
            'the limit holds fewer unspent tokens than the test needs'
        )
    return borrowed


def find_issuers(fleet: Fleet, processes: Iterable[Process]) -> list[Process]:
    """Return the issuers in the first data centre, by rank."""
    by_name = {process.endpoint: process for process in processes}
    service: Any = next(iter(fleet.daemons.values())).admission
    plan = service._borrower._plans.current()
    return [by_name[name] for name in plan.limit(LIMIT).issuers['dc0']]


def without(processes: Iterable[Process], *excluded: Process) -> list[Process]:
    """Return the processes without the excluded ones."""
    return [process for process in processes if process not in excluded]


def cut_off(fleet: Fleet, isolated: Iterable[Process]) -> None:
    """Drop messages between the given processes and all others."""
    isolated_set = frozenset(isolated)
    fleet.network.blocked = lambda sender, receiver: (
        (sender in isolated_set) != (receiver in isolated_set)
    )


def check_bound(fleet: Fleet) -> int:
    """Return the number of admitted calls.

    Raise AssertionError if they exceed the limit in any time window.
    """
    admitted = fleet.admitted[LIMIT]
    excess = fleet.oracle.excess(LIMIT, admitted)
    if excess:
        raise AssertionError(f'{float(excess):.3f} calls above the limit')
    return len(admitted)
