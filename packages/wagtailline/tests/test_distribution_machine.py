"""Compares random faults with a simple oracle, on virtual time.

The oracle: no process ever goes back, only published digests are in force,
an invalid set never is, and after healing all reach the newest good version
within the stated time.
"""

import asyncio

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wagtailline.objects import Endpoint, Route
from wagtailline_lab.distribution_fleet import make_scene
from wagtailline_lab.network import LinkQuality
from wagtailline_lab.sample_set import make_objects
from wagtailline_lab.virtual import new_virtual_loop

_CENTRES = 3
_MEMBERS = 4
_SIZE = _CENTRES * _MEMBERS
# A join takes up to 15 s, the largest backoff of a reader 8 s.
_HEALED_SECONDS = 25
_POSITIONS = st.integers(0, _SIZE - 1)


class DistributionMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = new_virtual_loop()
        asyncio.set_event_loop(self.loop)
        self.last = {}
        self.paused = set()
        self.good = 1
        self.slots = 0
        self.good_objects = None
        self._run(self._begin())

    def _run(self, work):
        return self.loop.run_until_complete(work)

    async def _begin(self):
        quality = LinkQuality(0.001, 0.2, loss=0.05, duplication=0.1)
        self.scene = make_scene(1, _CENTRES, _MEMBERS, quality)
        self.scene.publisher.publish(make_objects(12, 2, _CENTRES))
        self.good_objects = self.scene.publisher.objects
        await self.scene.fleet.start_all()
        assert await self.scene.converge(1, _HEALED_SECONDS)

    def _endpoint(self, position):
        return list(self.scene.fleet.members)[position]

    @rule()
    def publish(self):
        self.slots += 1
        added = Endpoint('added', 'service0', 'dc0', self.slots, 9)
        release = self.scene.publisher.publish(
            self.good_objects | {('endpoints', 'added'): added}
        )
        self.good_objects = self.scene.publisher.objects
        self.good = release.head.version

    @rule()
    def publish_invalid(self):
        self.scene.publisher.publish(
            self.good_objects
            | {('routes', 'bad'): Route('bad', '/bad', 'missing')}
        )

    @rule(revision=st.integers(1, 5))
    def make_source_stale(self, revision):
        self.scene.source.stale_revision = revision

    @rule(is_down=st.booleans(), is_hanging=st.booleans())
    def disturb_source(self, is_down, is_hanging):
        self.scene.source.is_down = is_down
        self.scene.source.is_hanging = is_hanging

    @rule(centre=st.integers(0, _CENTRES - 1))
    def cut_off(self, centre):
        inside = {
            one.address
            for one in self.scene.fleet.members.values()
            if one.data_centre == f'dc{centre}'
        }
        self.scene.network.partition(
            lambda local, remote: (local in inside) != (remote in inside)
        )
        self.scene.source.reaches = lambda address: address not in inside

    @rule(positions=st.sets(_POSITIONS, max_size=4))
    def restart(self, positions):
        for position in positions:
            endpoint = self._endpoint(position)
            self.paused.discard(endpoint)
            self._run(self.scene.fleet.kill(endpoint))
            self.last.pop(endpoint, None)
        for position in positions:
            self._run(self.scene.fleet.start(self._endpoint(position)))

    @rule(position=_POSITIONS)
    def pause(self, position):
        endpoint = self._endpoint(position)
        self.scene.fleet.processes[endpoint].pause.begin()
        self.paused.add(endpoint)

    @rule()
    def resume(self):
        for endpoint in self.paused:
            self.scene.fleet.processes[endpoint].pause.end()
        self.paused.clear()

    @rule(seconds=st.sampled_from([0.05, 0.7, 3, 12]))
    def wait(self, seconds):
        self._run(asyncio.sleep(seconds))

    @rule()
    def heal(self):
        self._heal()
        assert self._run(self.scene.converge(self.good, _HEALED_SECONDS)), (
            self.good,
            self.scene.fleet.versions(),
        )

    def _heal(self):
        self.resume()
        source = self.scene.source
        source.is_down = source.is_hanging = False
        source.stale_revision = None
        source.reaches = lambda address: True
        self.scene.network.heal()
        # An invalid version that hides the last good one from processes that
        # missed it is followed by a good one.
        if self.scene.publisher.head.version != self.good:
            self.publish()

    @invariant()
    def only_published_versions_and_never_back(self):
        for endpoint, process in self.scene.fleet.processes.items():
            current = process.store.current
            if current is None:
                assert endpoint not in self.last
                continue
            assert current.version >= self.last.get(endpoint, 0)
            self.last[endpoint] = current.version
            name = current.version, current.digest
            assert name in self.scene.publisher.digests
            assert ('routes', 'bad') not in current.objects

    def teardown(self):
        self.heal()
        self._run(self.scene.fleet.stop())
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
