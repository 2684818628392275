"""State machine test that limits hold under any sequence of faults.

The oracle adds up the calls that all daemons admitted under a limit and
checks every time window against the largest rate and burst in force on any
daemon, without a tolerance.
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
    """Guard against excess calls under random faults.

    Two data centres of four daemons each run on simulated time, while faults
    and changes of the limit occur in any order.
    """

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

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def call_in_loop(self, function, *arguments):
        """Call a function in the running loop, whose time it reads."""

        async def coroutine():
            return function(*arguments)

        return self.run(coroutine())

    @initialize(seed=st.integers(0, 9))
    def start_fleet(self, seed):
        self.run(self._start_fleet(seed))

    async def _start_fleet(self, seed):
        self.fleet = Fleet(seed, _SETTINGS)
        self.fleet.publish(make_objects((4, 4), _LIMITS[:1]))
        for endpoint in endpoints_of(self.fleet.latest):
            await self.fleet.start(endpoint)
        await asyncio.sleep(3)

    @rule(index=_index, calls=st.integers(1, 30), timeout_seconds=_seconds)
    def call(self, index, calls, timeout_seconds):
        self.run(self._call([self._pick(index)], calls, timeout_seconds))

    @rule(calls=st.integers(1, 10), seconds=_seconds)
    def call_everywhere(self, calls, seconds):
        self.run(self._call(list(self.fleet.daemons), calls, 0.01))
        self.run(asyncio.sleep(seconds))

    async def _call(self, processes, calls, timeout_seconds):
        for _ in range(calls):
            for process in processes:
                self.fleet.spawn(process, LIMIT, timeout_seconds)
            await asyncio.sleep(0.005)

    @rule(seconds=_seconds)
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule(bitmask=st.integers(0, 255), by_data_centre=st.booleans())
    def partition(self, bitmask, by_data_centre):
        def side_of(process):
            if by_data_centre:
                return process.data_centre
            return bitmask >> process.incarnation % 8 & 1

        self.fleet.network.blocked = lambda sender, receiver: (
            side_of(sender) != side_of(receiver)
        )

    @rule()
    def heal(self):
        self.fleet.network.blocked = lambda sender, receiver: False

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
    def replace_running_process(self, index, unseen_by):
        """Start a second process at an endpoint, unseen by some daemons."""
        old = self._pick(index)
        observers = list(self.fleet.daemons)
        endpoint = self.fleet.latest.find_endpoint(old.endpoint)
        self.run(self.fleet.start(endpoint))
        for number, process in enumerate(observers):
            if unseen_by >> number & 1:
                self.fleet.network.views[process, old.endpoint] = old

    @rule(index=_index, frozen=st.booleans())
    def pause(self, index, frozen):
        process = self._pick(index)
        if self.fleet.is_running(process):
            self.call_in_loop(self.fleet.pause, process, frozen)

    @rule()
    def resume(self):
        for process in self.fleet.daemons:
            if not self.fleet.is_running(process):
                self.call_in_loop(self.fleet.resume, process)

    @rule(limit=st.sampled_from(_LIMITS), bitmask=st.integers(0, 255))
    def change_limit(self, limit, bitmask):
        """Publish another limit and install it at only some daemons."""
        self.fleet.publish(make_objects((4, 4), [limit]))
        updated_processes = [
            process
            for process in self.fleet.daemons
            if bitmask >> process.incarnation % 8 & 1
        ]
        self.call_in_loop(self.fleet.install, updated_processes)

    @rule()
    def install_everywhere(self):
        self.call_in_loop(self.fleet.install, list(self.fleet.daemons))

    @invariant()
    def admits_no_excess_calls(self):
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
