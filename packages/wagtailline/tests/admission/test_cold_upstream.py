"""Guards fragile upstreams against more load than they can bear."""

import asyncio
from random import Random

import pytest
from result import Ok

from wagtailline.admission import Cancelled, Gate, GateIdentity, Ticket
from wagtailline.ports import LoopClock
from wagtailline_lab.upstream_model import (
    UpstreamModel,
    UpstreamSettings,
    Work,
)
from wagtailline_lab.virtual import run_virtual

_SLOTS = 6


class Fleet:
    """Upstreams with their gates, and senders that never hold back."""

    def __init__(self, size, warm, seed, **settings):
        self.models = [
            UpstreamModel(
                Random(seed + number),
                UpstreamSettings(slots=_SLOTS, **settings),
                warm,
            )
            for number in range(size)
        ]
        self.gates = [
            Gate(GateIdentity(f'e{number}', 1), _SLOTS, LoopClock(0), Random(2))
            for number in range(size)
        ]
        self.random = Random(seed)
        self.sent = 0

    async def send_one(self, at):
        loop = asyncio.get_running_loop()
        self.sent += 1
        name = str(self.sent)
        ticket = Ticket('a', 1, loop.time() + 1, name.encode())
        match await self.gates[at].admit(ticket):
            case Ok(slot):
                outcome = Cancelled()
                try:
                    outcome = await self.models[at].send(Work(name))
                finally:
                    slot.release(outcome)

    async def sender(self):
        while True:
            await self.send_one(self.random.randrange(len(self.models)))
            await asyncio.sleep(0.1)

    async def run(self, senders, seconds):
        tasks = [asyncio.create_task(self.sender()) for _ in range(senders)]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def collapses(self):
        return sum(model.collapses for model in self.models)


@pytest.mark.parametrize('senders', [2, 200])
def test_cold_data_centre_bears_any_number_of_senders(senders):
    """All gates of a data centre begin at once beside cold upstreams."""

    async def scenario():
        fleet = Fleet(3, warm=False, seed=11)
        await fleet.run(senders, 14)
        assert fleet.collapses() == 0
        for model, gate in zip(fleet.models, fleet.gates, strict=True):
            assert model.peak_overload <= 2
            if senders > 2 * _SLOTS:
                assert gate.limit > _SLOTS // 2

    run_virtual(scenario())


@pytest.mark.parametrize('mislead', [False, True])
def test_unannounced_cold_restart_is_not_made_worse(mislead):
    """What was in progress may be lost; later requests must not be."""

    async def scenario():
        fleet = Fleet(1, warm=True, seed=5, mislead=mislead)
        [model], [gate] = fleet.models, fleet.gates
        await fleet.run(80, 4)
        assert gate.limit == _SLOTS
        model.turn_cold()
        load = asyncio.create_task(fleet.run(80, 14))
        for _ in range(13):
            gate.report_health(await model.probe_health())
            gate.report_load(await model.probe_load())
            await asyncio.sleep(1)
        await load
        assert model.collapses <= 1
        assert gate.limit > _SLOTS // 2

    run_virtual(scenario())


def test_announced_restart_begins_at_one():
    async def scenario():
        fleet = Fleet(1, warm=True, seed=5)
        [model], [gate] = fleet.models, fleet.gates
        await fleet.run(80, 4)
        model.crash()
        await fleet.run(80, 14)
        assert model.collapses == 0
        assert model.crashes == 1
        assert gate.limit > _SLOTS // 2

    run_virtual(scenario())


def test_model_collapses_without_a_limit():
    """A model that bears everything proves nothing about the gate."""

    async def scenario():
        model = UpstreamModel(Random(1), UpstreamSettings(slots=_SLOTS))
        await asyncio.gather(*(model.send(Work(str(n))) for n in range(6)))
        assert model.collapses == 1

    run_virtual(scenario())
