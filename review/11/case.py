"""A key that was taken away after a drill of the store stays valid."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

from fleet import (  # noqa: E402
    Fleet,
    make_configuration,
    make_route,
    run_case,
)

# The bound of the rule, `revokeMs`.
REVOKE_S = 5.0
COPY_AGE_S = 4.0
AWAY_S = 1.0
STORM_CHANGES = 4
STORM_GAP_S = 0.3
LATEST_PROBE_S = 20.0
TAKEN, KEPT = 'key-that-is-taken-away', 'key-that-stays'


class Operator:
    """Writes configurations; each has the next version."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.version = 5
        self.keys = [TAKEN, KEPT]
        self.timeout_ms = 1000

    def write(self) -> None:
        """Write the configuration in full; the answer acknowledges it."""
        revision = self.fleet.store.put(
            'op/config',
            make_configuration(
                self.version,
                {
                    'status': make_route('desk', '/status/')
                    | {'timeoutMs': self.timeout_ms}
                },
                ('desk', 'orders'),
                {
                    'studio': {
                        'apiKeys': self.keys,
                        'priority': 1,
                        'ratePerS': 100,
                        'burst': 100,
                    }
                },
            ),
        )
        self.fleet.note('store', revision, 'config', self.version, self.keys)

    def change(self) -> None:
        """Publish a version with another time-out."""
        self.version += 2
        self.timeout_ms += 10
        self.write()


async def play(fleet: Fleet, is_troubled: bool) -> bool:
    operator = Operator(fleet)
    operator.write()
    for number, zone, service in (
        (1, 'oslo-a', 'desk'),
        (2, 'oslo-a', 'orders'),
        (3, 'oslo-b', 'desk'),
        (4, 'oslo-b', 'desk'),
    ):
        await fleet.add(number, zone, service)
    await fleet.wait_ready()
    await asyncio.sleep(COPY_AGE_S + 2)
    first = await fleet.send(
        fleet.machines['sidecar-1'], '/status/1', key=TAKEN
    )
    if first.status != 200:
        raise RuntimeError('the key was not valid at first')
    for _ in range(STORM_CHANGES):
        operator.change()
        await asyncio.sleep(STORM_GAP_S)
    if is_troubled:
        await hold_drill(fleet, operator)
    # The store is stable again for longer than `contactMs`.
    await asyncio.sleep(4)
    operator.keys = [KEPT]
    operator.change()
    acknowledged_at = time.monotonic()
    release = asyncio.ensure_future(replace_endpoint(fleet))
    late_runs = await probe(fleet, acknowledged_at)
    await release
    kept = await fleet.send(fleet.machines['sidecar-2'], '/status/1', key=KEPT)
    fleet.note('late requests with the key that ran:', late_runs)
    fleet.note('the other key gets', kept.status)
    return late_runs > 0


async def hold_drill(fleet: Fleet, operator: Operator) -> None:
    """The store is away for a moment and back from a copy."""
    fleet.note('store', fleet.store.revision, 'goes away')
    fleet.store.leave()
    await asyncio.sleep(AWAY_S)
    lost = fleet.store.come_back_from_copy(COPY_AGE_S)
    fleet.note('store', fleet.store.revision, 'is back, lost', len(lost))
    # What the operator and the endpoints wrote is written again.
    if any(write.key != 'op/config' for write in lost):
        raise RuntimeError('more was lost than configurations')
    operator.write()


async def replace_endpoint(fleet: Fleet) -> None:
    """One endpoint of three is replaced: the new one starts first."""
    old = fleet.machines['sidecar-4']
    new = await fleet.add(5, 'oslo-b', 'desk', warm_ms=3000)
    await asyncio.sleep(1)
    old.endpoint.is_leaving = True
    fleet.register(old, 'draining')
    await asyncio.sleep(2.5)
    fleet.unregister(old)
    fleet.register(new)
    await fleet.stop_machine(old)


async def probe(fleet: Fleet, acknowledged_at: float) -> int:
    """Send requests with the key; return how many late ones ran."""
    late_ids = set()
    while (age_s := time.monotonic() - acknowledged_at) < LATEST_PROBE_S:
        for name in ('sidecar-1', 'sidecar-2', 'sidecar-3'):
            answer = await fleet.send(
                fleet.machines[name], '/status/1', key=TAKEN
            )
            if age_s > REVOKE_S:
                late_ids.add(answer.fields['id'])
        await asyncio.sleep(0.5)
    ran = {
        fields['x-attempt-id']
        for machine in fleet.machines.values()
        for _, fields, _, _ in machine.endpoint.runs
    }
    return len(late_ids & ran)


if __name__ == '__main__':
    run_case(FOLDER, play)
