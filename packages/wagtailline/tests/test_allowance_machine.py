"""Guards the bound of accounts under faults in any order and combination.

The oracle adds up what all daemons admitted of an account and checks every
window against the largest rate and burst in force, without a tolerance.
"""

import asyncio

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from wagtailline.allowance import AllowanceSettings
from wagtailline.objects import Limit
from wagtailline_lab.allowance_fleet import Fleet, endpoints_of, make_objects
from wagtailline_lab.allowance_scenarios import LIMIT
from wagtailline_lab.network import LinkQuality
from wagtailline_lab.simulation import SimulationLoop

_SETTINGS = AllowanceSettings(
    grant_seconds=1, lease_seconds=0.6, renew_seconds=0.15
)
_LIMITS = (
    Limit(LIMIT, 20, 8),
    Limit(LIMIT, 40, 16),
    Limit(LIMIT, 5, 5),
    Limit(LIMIT, 20, 8, {'dc0': 1}),
    Limit(LIMIT, 20, 8, {'dc1': 0.75, 'dc0': 0.25}),
    Limit('other', 20, 8),
)
_QUALITIES = (
    LinkQuality(0.0005, 0.0015),
    LinkQuality(0.001, 0.3, loss=0.1, duplication=0.3),
    LinkQuality(0.4, 0.9, duplication=0.5),
)
_index = st.integers(0, 99)
_seconds = st.sampled_from((0.01, 0.2, 0.6, 1.1, 2.5))


class AllowanceMachine(RuleBasedStateMachine):
    """Two data centres of four daemons each, and any fault."""

    def __init__(self):
        super().__init__()
        self.loop = SimulationLoop()
        self.loop.run_until_complete(asyncio.sleep(0))

    def teardown(self):
        self.run(self.fleet.stop())
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()

    def run(self, step):
        return self.loop.run_until_complete(step)

    def run_inside(self, action, *arguments):
        """Run a plain function while the loop runs, as it reads the time."""

        async def step():
            return action(*arguments)

        return self.run(step())

    @initialize(seed=st.integers(0, 9))
    def begin(self, seed):
        self.run(self._begin(seed))

    async def _begin(self, seed):
        self.fleet = Fleet(seed, _SETTINGS)
        self.fleet.publish(make_objects((4, 4), _LIMITS[:1]))
        for endpoint in endpoints_of(self.fleet.latest):
            await self.fleet.start(endpoint)
        await asyncio.sleep(3)

    @rule(index=_index, calls=st.integers(1, 30), patience=_seconds)
    def call(self, index, calls, patience):
        self.run(self._call([self._pick(index)], calls, patience))

    @rule(calls=st.integers(1, 10), seconds=_seconds)
    def call_everywhere(self, calls, seconds):
        self.run(self._call(list(self.fleet.daemons), calls, 0.01))
        self.run(asyncio.sleep(seconds))

    async def _call(self, processes, calls, patience):
        for _ in range(calls):
            for process in processes:
                self.fleet.spawn(process, LIMIT, patience)
            await asyncio.sleep(0.005)

    @rule(seconds=_seconds)
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule(bits=st.integers(0, 255), whole=st.booleans())
    def partition(self, bits, whole):
        def side(process):
            if whole:
                return process.data_centre
            return bits >> process.incarnation % 8 & 1

        self.fleet.network.blocked = lambda one, other: side(one) != side(other)

    @rule()
    def heal(self):
        self.fleet.network.blocked = lambda one, other: False

    @rule(quality=st.sampled_from(_QUALITIES))
    def change_links(self, quality):
        self.fleet.network.near = quality
        self.fleet.network.far = quality

    @rule(index=_index)
    def restart(self, index):
        self.run(self._restart([self._pick(index)]))

    @rule(data_centre=st.sampled_from(('dc0', 'dc1', None)))
    def restart_many(self, data_centre):
        self.run(
            self._restart(
                [
                    process
                    for process in self.fleet.daemons
                    if data_centre in (None, process.data_centre)
                ]
            )
        )

    async def _restart(self, processes):
        for process in processes:
            endpoint = self.fleet.latest.find_endpoint(process.endpoint)
            await self.fleet.kill(process)
            if not any(
                other.endpoint == process.endpoint
                for other in self.fleet.daemons
            ):
                await self.fleet.start(endpoint)

    @precondition(lambda self: len(self.fleet.daemons) == 8)
    @rule(index=_index, unseen_by=st.integers(0, 255))
    def replace_one_that_lives_on(self, index, unseen_by):
        """Start a second process on a position; some don't learn of it."""
        old = self._pick(index)
        known = list(self.fleet.daemons)
        endpoint = self.fleet.latest.find_endpoint(old.endpoint)
        self.run(self.fleet.start(endpoint))
        for number, process in enumerate(known):
            if unseen_by >> number & 1:
                self.fleet.network.views[process, old.endpoint] = old

    @rule(index=_index, frozen=st.booleans())
    def pause(self, index, frozen):
        process = self._pick(index)
        if self.fleet.is_running(process):
            self.run_inside(self.fleet.pause, process, frozen)

    @rule()
    def resume(self):
        for process in self.fleet.daemons:
            if not self.fleet.is_running(process):
                self.run_inside(self.fleet.resume, process)

    @rule(limit=st.sampled_from(_LIMITS), bits=st.integers(0, 255))
    def change_limit(self, limit, bits):
        """Publish another limit; some daemons keep the one they have."""
        self.fleet.publish(make_objects((4, 4), [limit]))
        chosen = [
            process
            for process in self.fleet.daemons
            if bits >> process.incarnation % 8 & 1
        ]
        self.run_inside(self.fleet.install, chosen)

    @rule()
    def install_everywhere(self):
        self.run_inside(self.fleet.install, list(self.fleet.daemons))

    @invariant()
    def holds_bound(self):
        if hasattr(self, 'fleet'):
            admitted = self.fleet.admitted[LIMIT]
            excess = self.fleet.oracle.excess(LIMIT, admitted)
            assert excess == 0, f'{float(excess)} calls above the limit'

    def _pick(self, index):
        processes = sorted(self.fleet.daemons)
        return processes[index % len(processes)]


TestAllowanceMachine = AllowanceMachine.TestCase
TestAllowanceMachine.settings = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
