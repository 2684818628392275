"""What the daemon believes of the upstream beside it."""

import asyncio

from _fixtures import FakeClock, make_endpoint, make_snapshot

from wagtailline.ports import Address
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.local_upstream import LocalUpstream, UpstreamParts
from wagtailline_sidecar.upstream import HealthReport
from wagtailline_sidecar.warm_up import WarmUp

ADDRESS = Address('10.0.0.1', 8000)


class FakeUpstream:
    """Upstream that answers health checks with a given warm-up."""

    def __init__(self) -> None:
        self.warm_up_seconds = float(0)
        self.checks = 0

    async def check_health(self, path: str) -> HealthReport:
        self.checks += 1
        return HealthReport('e1', True, self.warm_up_seconds)

    def close_idle(self) -> None:
        """Keep no connection."""


class World:
    """A local upstream, its warm-up and a clock."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.warm_up = WarmUp(self.clock)
        self.upstream = FakeUpstream()
        gate = Gate(self.clock, self.warm_up)
        self.local = LocalUpstream(
            ADDRESS,
            'oslo-a',
            UpstreamParts(self.upstream, gate, self.warm_up),
            lambda event: None,
        )

    def register(self, warm_up_left_seconds: float) -> None:
        endpoint = make_endpoint(
            address=ADDRESS, warm_up_left_seconds=warm_up_left_seconds
        )
        self.local.follow(make_snapshot(endpoint))

    async def confirm(self, warm_up_seconds: float) -> None:
        self.upstream.warm_up_seconds = warm_up_seconds
        await self.local.start()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await self.local.stop()


async def test_repeated_registration_does_not_prolong_the_warm_up():
    """Guards against an upstream that counts as cold for ever.

    A peer passes on the entry as it was when it last differed, so the rest
    of the warm-up in it may be many seconds old.
    """
    world = World()
    world.register(3.0)
    await world.confirm(2.5)
    for _ in range(10):
        world.clock.now += 0.5
        world.register(3.0)
    assert not world.warm_up.is_cold


async def test_cold_registration_of_a_warm_upstream_is_checked():
    """Guards against full load on an upstream that turned cold unannounced."""
    world = World()
    world.register(0)
    await world.confirm(0)
    assert not world.warm_up.is_cold
    world.register(3.0)
    assert world.warm_up.is_cold
    await world.confirm(2.8)
    assert world.upstream.checks == 2
    assert world.warm_up.is_cold
    world.clock.now += 2.9
    assert not world.warm_up.is_cold


async def test_registration_counts_while_no_health_check_answers():
    """Guards against a warm upstream before the first health answer."""
    world = World()
    world.register(3.0)
    assert world.warm_up.is_cold


async def test_registration_prolongs_the_warm_up():
    """Guards against an older health answer that ends a new warm-up."""
    world = World()
    world.register(0)
    await world.confirm(0.5)
    world.register(3.0)
    world.clock.now += 1
    assert world.warm_up.is_cold
