"""Tests that the gate does not overload cold upstreams."""

import asyncio
from random import Random

import pytest
from result import Ok

from wagtailline.admission import Cancelled, Gate, GateIdentity, Ticket
from wagtailline.ports import LoopClock
from wagtailline_lab.upstream_model import (
    UpstreamModel,
    UpstreamRequest,
    UpstreamSettings,
)
from wagtailline_lab.virtual import run_virtual

_SLOTS = 6


class Fleet:
    """Upstreams with their gates, and senders that ignore refusals."""

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
        self.sent_count = 0

    async def send_request(self, index):
        loop = asyncio.get_running_loop()
        self.sent_count += 1
        name = str(self.sent_count)
        ticket = Ticket('a', 1, loop.time() + 1, name.encode())
        match await self.gates[index].admit(ticket):
            case Ok(slot):
                outcome = Cancelled()
                try:
                    outcome = await self.models[index].send(
                        UpstreamRequest(name)
                    )
                finally:
                    slot.release(outcome)

    async def run_sender(self):
        while True:
            await self.send_request(self.random.randrange(len(self.models)))
            await asyncio.sleep(0.1)

    async def run(self, senders, seconds):
        tasks = [asyncio.create_task(self.run_sender()) for _ in range(senders)]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def count_collapses(self):
        return sum(model.collapses for model in self.models)


@pytest.mark.parametrize('senders', [2, 200])
def test_cold_data_centre_survives_any_number_of_senders(senders):
    """All gates of a data centre start while its upstreams are cold.

    Load above the capacity of a cold upstream makes it collapse.
    """

    async def scenario():
        fleet = Fleet(3, warm=False, seed=11)
        await fleet.run(senders, 14)
        assert fleet.count_collapses() == 0
        for model, gate in zip(fleet.models, fleet.gates, strict=True):
            assert model.peak_overload <= 2
            if senders > 2 * _SLOTS:
                assert gate.limit > _SLOTS // 2

    run_virtual(scenario())


@pytest.mark.parametrize('mislead', [False, True])
def test_unannounced_cold_restart_causes_no_second_collapse(mislead):
    """A limit learned while warm overloads an upstream with cold caches.

    Requests in progress at the restart may be lost, but a second collapse
    means that the limit stayed too high, or that reports raised it.
    """

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


def test_restart_after_a_crash_causes_no_collapse():
    """A limit that survives a crash overloads the restarted upstream."""

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
    """The other tests prove nothing if the model never collapses."""

    async def scenario():
        model = UpstreamModel(Random(1), UpstreamSettings(slots=_SLOTS))
        await asyncio.gather(
            *(model.send(UpstreamRequest(str(number))) for number in range(6))
        )
        assert model.collapses == 1

    run_virtual(scenario())
