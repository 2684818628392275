"""Measurement of the CPU time of admitting a request and releasing its slot."""

import asyncio
from random import Random
from statistics import median
from time import process_time

from wagtailline.admission import Answered, Gate, GateIdentity, Ticket
from wagtailline.ports import LoopClock
from wagtailline_lab.bench._gate_baselines import AdmissionGate, FixedLimit
from wagtailline_lab.virtual import run_virtual

_SLOTS = 9
_ADMISSIONS = 5000
_ROUNDS = 7
_MICROSECONDS = 1_000_000
_ANSWER = Answered(0.01, 200)
_TICKET = Ticket('a', 1, 1000, b'fingerprint')


async def _measure_free_slot(gate: AdmissionGate) -> float:
    """Return the microseconds of an admission to a free slot and a release."""
    started = process_time()
    for _ in range(_ADMISSIONS):
        admitted = await gate.admit(_TICKET)
        admitted.unwrap().release(_ANSWER)
    return (process_time() - started) / _ADMISSIONS * _MICROSECONDS


async def _admit_and_release(gate: AdmissionGate, account: int) -> None:
    admitted = await gate.admit(
        _TICKET._replace(client_account=str(account % 8))
    )
    if admitted.is_ok():
        await asyncio.sleep(0)
        admitted.unwrap().release(_ANSWER)


async def _measure_queued(gate: AdmissionGate) -> float:
    """Return the microseconds of both while eight accounts queue for slots."""
    started = process_time()
    for _ in range(_ADMISSIONS // _SLOTS):
        await asyncio.gather(
            *(
                _admit_and_release(gate, account_number)
                for account_number in range(_SLOTS * 3)
            )
        )
    admissions = _ADMISSIONS // _SLOTS * _SLOTS * 3
    return (process_time() - started) / admissions * _MICROSECONDS


async def _measure() -> str:
    free: dict[str, list[float]] = {'gate': [], 'fixed': []}
    queued: dict[str, list[float]] = {'gate': [], 'fixed': []}
    for _ in range(_ROUNDS):
        gates: dict[str, AdmissionGate] = {
            'gate': Gate(
                GateIdentity('e0', 1), _SLOTS, LoopClock(0), Random(1)
            ),
            'fixed': FixedLimit(_SLOTS),
        }
        for name, gate in gates.items():
            free[name].append(await _measure_free_slot(gate))
            queued[name].append(await _measure_queued(gate))
    lines = []
    for kind, times in free.items():
        queued_median = median(queued[kind])
        lines.append(
            f'{kind}: {median(times):.1f} us with a free slot, '
            f'{queued_median:.1f} us in a queue of eight accounts'
        )
    return '\n'.join(lines)


def measure_cost() -> str:
    """Return lines with the CPU time of the gate and of the fixed limit."""
    return run_virtual(_measure())


if __name__ == '__main__':
    print(measure_cost())
