"""Soak of real daemons beside clients that do not behave.

CI plays one seed; ``SOAK_SEEDS`` and ``SOAK_SECONDS`` are those of
``test_soak``.
"""

import asyncio
import contextlib
from random import Random

import pytest
from _crowd import CROWDS, MACHINE_BYTES, Client, ask_until_answered
from _daemons import Fleet
from _soak_checks import find_lasting_problems
from _soak_clients import Manner
from test_soak import for_each_seed, read_seconds, start_soak

pytestmark = pytest.mark.alone

# Kinds whose clients never complete a request, so upstreams see nothing of
# them.
KINDS = (
    'incomplete heads of short lines',
    'header lines without end',
    'one header line without end',
    'odd header names',
    'target without end',
    'empty lines without end',
    'readiness without waiting, answers not read',
    'metrics without waiting, answers not read',
    'frames between daemons that stay incomplete',
)
CROWD_SIZE = 20
CROWD_SECONDS = 2.0
_KIBIBYTE = 1024


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    yield started
    await started.stop()


async def send_crowds(fleet, random: Random) -> None:
    """Let one crowd after another act at a daemon, until cancelled."""
    while True:
        vm = random.choice(fleet.vms)
        crowd = CROWDS[random.choice(KINDS)]
        clients = [
            asyncio.ensure_future(Client(crowd, vm).run())
            for _ in range(CROWD_SIZE)
        ]
        try:
            await asyncio.sleep(CROWD_SECONDS)
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)


@for_each_seed
async def test_work_goes_on_beside_clients_that_do_not_behave(fleet, seed):
    """Guards against promises that a crowd breaks for other clients.

    Daemons stop, start, drain and change meanwhile.
    """
    soak = await start_soak(fleet, seed, is_chaos=False)
    crowds = asyncio.ensure_future(send_crowds(fleet, Random(f'{seed}/crowd')))
    await soak.run(read_seconds(20), [Manner()])
    crowds.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await crowds
    assert find_lasting_problems(soak.record, fleet.vms) == []
    assert max(soak.record.resident_kib.values()) * _KIBIBYTE <= MACHINE_BYTES
    for vm in fleet.vms:
        assert await ask_until_answered(vm, '/status/1', content=None)
