"""Processor time of an admission and its release."""

import asyncio
from random import Random
from statistics import median
from time import process_time

from wagtailline.admission import Answered, Gate, GateIdentity, Ticket
from wagtailline.ports import LoopClock
from wagtailline_lab.bench._gate_baselines import Admission, FixedLimit
from wagtailline_lab.virtual import run_virtual

_SLOTS = 9
_PAIRS = 5000
_ROUNDS = 7
_MICROSECONDS = 1_000_000
_ANSWER = Answered(0.01, 200)
_TICKET = Ticket('a', 1, 1000, b'fingerprint')


async def _time_free(gate: Admission) -> float:
    """Return microseconds of an admission to a free slot and a release."""
    begun = process_time()
    for _ in range(_PAIRS):
        admitted = await gate.admit(_TICKET)
        admitted.unwrap().release(_ANSWER)
    return (process_time() - begun) / _PAIRS * _MICROSECONDS


async def _hold(gate: Admission, account: int) -> None:
    admitted = await gate.admit(
        _TICKET._replace(client_account=str(account % 8))
    )
    if admitted.is_ok():
        await asyncio.sleep(0)
        admitted.unwrap().release(_ANSWER)


async def _time_queued(gate: Admission) -> float:
    """Return microseconds with eight accounts that wait for slots."""
    begun = process_time()
    for _ in range(_PAIRS // _SLOTS):
        await asyncio.gather(*(_hold(gate, one) for one in range(_SLOTS * 3)))
    pairs = _PAIRS // _SLOTS * _SLOTS * 3
    return (process_time() - begun) / pairs * _MICROSECONDS


async def _measure() -> str:
    free: dict[str, list[float]] = {'gate': [], 'fixed': []}
    queued: dict[str, list[float]] = {'gate': [], 'fixed': []}
    for _ in range(_ROUNDS):
        gates: dict[str, Admission] = {
            'gate': Gate(
                GateIdentity('e0', 1), _SLOTS, LoopClock(0), Random(1)
            ),
            'fixed': FixedLimit(_SLOTS),
        }
        for name, gate in gates.items():
            free[name].append(await _time_free(gate))
            queued[name].append(await _time_queued(gate))
    lines = []
    for kind, times in free.items():
        waited = median(queued[kind])
        lines.append(
            f'{kind}: {median(times):.1f} us with a free slot, '
            f'{waited:.1f} us in a queue of eight accounts'
        )
    return '\n'.join(lines)


def measure_cost() -> str:
    """Return the processor time of the gate and of the fixed limit."""
    return run_virtual(_measure())


if __name__ == '__main__':
    print(measure_cost())
