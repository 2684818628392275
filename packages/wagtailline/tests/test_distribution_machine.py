"""Random sequences of faults in a small fleet, on virtual time.

No process may go back to an older version, only published versions may be in
force and never an invalid one. After the faults end, every process must reach
the newest valid version within the required time.
"""

import asyncio

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wagtailline.objects import Endpoint, Route
from wagtailline_lab.distribution_fleet import make_simulation
from wagtailline_lab.network import LinkQuality
from wagtailline_lab.sample_set import make_objects
from wagtailline_lab.virtual import new_virtual_loop

_DATA_CENTRES = 3
_MEMBERS_PER_DATA_CENTRE = 4
_FLEET_SIZE = _DATA_CENTRES * _MEMBERS_PER_DATA_CENTRE
# A join takes up to 15 s, the longest backoff of a reader up to 8 s.
_RECOVERY_SECONDS = 25
_POSITIONS = st.integers(0, _FLEET_SIZE - 1)


class DistributionMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = new_virtual_loop()
        asyncio.set_event_loop(self.loop)
        self.last_versions = {}
        self.paused_endpoints = set()
        self.newest_valid = 1
        self.slots = 0
        self.valid_objects = None
        self._run(self._start_fleet())

    def _run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _start_fleet(self):
        quality = LinkQuality(0.001, 0.2, loss=0.05, duplication=0.1)
        self.simulation = make_simulation(
            1, _DATA_CENTRES, _MEMBERS_PER_DATA_CENTRE, quality
        )
        self.simulation.publisher.publish(make_objects(12, 2, _DATA_CENTRES))
        self.valid_objects = self.simulation.publisher.objects
        await self.simulation.fleet.start_all()
        assert await self.simulation.converge(1, _RECOVERY_SECONDS)

    def _endpoint(self, position):
        return list(self.simulation.fleet.members)[position]

    @rule()
    def publish(self):
        self.slots += 1
        added = Endpoint('added', 'service0', 'dc0', self.slots, 9)
        release = self.simulation.publisher.publish(
            self.valid_objects | {('endpoints', 'added'): added}
        )
        self.valid_objects = self.simulation.publisher.objects
        self.newest_valid = release.head.version

    @rule()
    def publish_invalid(self):
        self.simulation.publisher.publish(
            self.valid_objects
            | {('routes', 'bad'): Route('bad', '/bad', 'missing')}
        )

    @rule(revision=st.integers(1, 5))
    def make_source_stale(self, revision):
        self.simulation.source.stale_revision = revision

    @rule(is_down=st.booleans(), is_hanging=st.booleans())
    def disturb_source(self, is_down, is_hanging):
        self.simulation.source.is_down = is_down
        self.simulation.source.is_hanging = is_hanging

    @rule(number=st.integers(0, _DATA_CENTRES - 1))
    def isolate_data_centre(self, number):
        isolated = {
            member.address
            for member in self.simulation.fleet.members.values()
            if member.data_centre == f'dc{number}'
        }
        self.simulation.network.partition(
            lambda local, remote: (local in isolated) != (remote in isolated)
        )
        self.simulation.source.reaches = lambda address: address not in isolated

    @rule(positions=st.sets(_POSITIONS, max_size=4))
    def restart(self, positions):
        for position in positions:
            endpoint = self._endpoint(position)
            self.paused_endpoints.discard(endpoint)
            self._run(self.simulation.fleet.kill(endpoint))
            self.last_versions.pop(endpoint, None)
        for position in positions:
            self._run(self.simulation.fleet.start(self._endpoint(position)))

    @rule(position=_POSITIONS)
    def pause(self, position):
        endpoint = self._endpoint(position)
        self.simulation.fleet.processes[endpoint].pause.begin()
        self.paused_endpoints.add(endpoint)

    @rule()
    def resume(self):
        for endpoint in self.paused_endpoints:
            self.simulation.fleet.processes[endpoint].pause.end()
        self.paused_endpoints.clear()

    @rule(seconds=st.sampled_from([0.05, 0.7, 3, 12]))
    def wait(self, seconds):
        self._run(asyncio.sleep(seconds))

    @rule()
    def heal(self):
        self._end_faults()
        assert self._run(
            self.simulation.converge(self.newest_valid, _RECOVERY_SECONDS)
        ), (
            self.newest_valid,
            self.simulation.fleet.versions(),
        )

    def _end_faults(self):
        self.resume()
        source = self.simulation.source
        source.is_down = source.is_hanging = False
        source.stale_revision = None
        source.reaches = lambda address: True
        self.simulation.network.heal()
        # Processes that missed the last valid version cannot get it while the
        # newest one is invalid, so another valid version is published.
        if self.simulation.publisher.head.version != self.newest_valid:
            self.publish()

    @invariant()
    def only_published_versions_and_never_back(self):
        for endpoint, process in self.simulation.fleet.processes.items():
            current = process.store.current
            if current is None:
                assert endpoint not in self.last_versions
                continue
            assert current.version >= self.last_versions.get(endpoint, 0)
            self.last_versions[endpoint] = current.version
            identity = current.version, current.digest
            assert identity in self.simulation.publisher.digests
            assert ('routes', 'bad') not in current.objects

    def teardown(self):
        self.heal()
        self._run(self.simulation.fleet.stop())
        self._run(asyncio.sleep(1))
        self.loop.close()
        asyncio.set_event_loop(None)


DistributionMachine.TestCase.settings = settings(
    max_examples=12,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestDistributionMachine = DistributionMachine.TestCase
