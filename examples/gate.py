"""An example that limits the requests in progress at a server with a gate.

Run it with ``python examples/gate.py``.
"""

import asyncio
from random import SystemRandom

from result import Err, Ok

from wagtailline.admission import Answered, Gate, GateIdentity, Ticket
from wagtailline.ports import LoopClock

_REQUEST_COUNT = 40
_HANDLING_SECONDS = 0.01


async def handle_request(gate: Gate, number: int) -> str:
    """Handle a request if the gate admits it, and return its outcome."""
    loop = asyncio.get_running_loop()
    account = 'small' if number % 4 == 0 else 'large'
    ticket = Ticket(account, 1, loop.time() + 1, f'request {number}'.encode())
    match await gate.admit(ticket):
        case Ok(slot):
            await asyncio.sleep(_HANDLING_SECONDS)
            slot.release(Answered(_HANDLING_SECONDS, 200))
            return 'answered'
        case Err(refusal):
            return f'not run: {type(refusal).__name__}'
    raise AssertionError(number)


async def main() -> None:
    """Send requests concurrently and print how many had each outcome."""
    gate = Gate(GateIdentity('local', 1), 4, LoopClock(), SystemRandom())
    outcomes = await asyncio.gather(
        *(handle_request(gate, number) for number in range(_REQUEST_COUNT))
    )
    for outcome in sorted(set(outcomes)):
        print(outcome, outcomes.count(outcome))
    gate.close()


if __name__ == '__main__':
    asyncio.run(main())
