"""Steps that the tests of the allowance are made of."""

import asyncio
from collections.abc import Iterable, Sequence
from typing import Any

from wagtailline.allowance import AllowanceSettings
from wagtailline.allowance._stock import Waiter
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
# The scenarios are timed for these; the defaults may change.
SCENARIO_SETTINGS = AllowanceSettings(
    grant_seconds=5, lease_seconds=2, renew_seconds=0.5
)
_SETTLED_SECONDS = 9
_HOARD_ROUNDS = 6
_HOARD_CALLERS = 20
_HOARD_TOKENS = 6
_LIMITS = (Limit(LIMIT, 10, 20, {'dc0': 1}),)


async def start_fleet(
    sizes: Sequence[int] = (4, 4, 4),
    limits: Sequence[Limit] = _LIMITS,
    seed: int = 1,
    settings: AllowanceSettings = SCENARIO_SETTINGS,
    near: LinkQuality = NEAR,
    far: LinkQuality = FAR,
) -> tuple[Fleet, list[Process]]:
    """Start a fleet and wait until its issuers generate tokens."""
    fleet = Fleet(seed, settings, near=near, far=far)
    fleet.publish(make_objects(sizes, limits))
    for endpoint in endpoints_of(fleet.latest):
        await fleet.start(endpoint)
    await asyncio.sleep(_SETTLED_SECONDS)
    return fleet, list(fleet.daemons)


async def flood(
    fleet: Fleet,
    processes: Iterable[Process],
    seconds: float,
    pause: float = 0.01,
) -> None:
    """Let every process try to admit a call after each pause."""
    callers = tuple(processes)
    for _ in range(round(seconds / pause)):
        for process in callers:
            fleet.spawn(process, LIMIT)
        await asyncio.sleep(pause)


async def hoard(fleet: Fleet, process: Process) -> Any:
    """Let callers give up just before the tokens for them arrive."""
    service: Any = fleet.daemons[process].admission
    stock = service._borrower._find_stock(LIMIT)
    for _ in range(_HOARD_ROUNDS):
        stock.waiters.extend(Waiter(0) for _ in range(_HOARD_CALLERS))
        asking = asyncio.ensure_future(service._lender.borrow(stock, 1, 0))
        await asyncio.sleep(0)
        stock.waiters.clear()
        await asking
    if stock.available < _HOARD_TOKENS:
        raise RuntimeError('the scenario needs tokens that are not spent')
    return stock


def find_issuers(fleet: Fleet, processes: Iterable[Process]) -> list[Process]:
    """Return the issuers in the first data centre, by rank."""
    by_name = {process.endpoint: process for process in processes}
    service: Any = next(iter(fleet.daemons.values())).admission
    plan = service._borrower._plans.current()
    return [by_name[name] for name in plan.limit(LIMIT).issuers['dc0']]


def without(processes: Iterable[Process], *excluded: Process) -> list[Process]:
    """Return the processes but the excluded ones."""
    return [process for process in processes if process not in excluded]


def cut_off(fleet: Fleet, island: Iterable[Process]) -> None:
    """Drop what goes between the island and all other processes."""
    inside = frozenset(island)
    fleet.network.blocked = lambda one, other: (
        (one in inside) != (other in inside)
    )


def check_bound(fleet: Fleet) -> int:
    """Return the calls admitted; fail when a window holds too many."""
    admitted = fleet.admitted[LIMIT]
    excess = fleet.oracle.excess(LIMIT, admitted)
    if excess:
        raise AssertionError(f'{float(excess):.3f} calls above the limit')
    return len(admitted)
