"""What clients and upstreams of a soak saw, and what was done meanwhile."""

import asyncio
from collections import Counter
from typing import NamedTuple

# A process that waits longer for a processor counts as disturbed.
MAX_WAIT_SECONDS = 0.5


class Sent(NamedTuple):
    """Request of a client or, with ``is_call``, of a run at an upstream.

    ``is_repeat`` is set for calls of a run that was itself a repeat.
    """

    request_id: str
    service: str
    at: float
    ends_at: float
    max_attempts: int
    is_unsafe: bool = False
    is_call: bool = False
    is_repeat: bool = False


class Arrival(NamedTuple):
    """Request as it came to an upstream; ``ends_at`` is None if untold."""

    request_id: str
    service: str
    instance: str
    at: float
    ends_at: float | None
    is_run: bool


class Given(NamedTuple):
    """Answer that an upstream gave, known by its seal."""

    request_id: str
    status: int
    body: bytes


class Outcome(NamedTuple):
    """What became of a request; status 0 means that no answer came."""

    request_id: str
    is_unsafe: bool
    vm: str
    sent_at: float
    ends_at: float
    ended_at: float
    status: int
    is_whole: bool


class Work(NamedTuple):
    """What was done to the daemon or upstream of a VM.

    A fault is an unplanned end or pause.
    """

    vm: str
    at: float
    kind: str
    is_fault: bool


class Record:
    """All that the checks of a soak look at.

    ``resident_kib`` is the largest resident memory of each VM's daemon,
    ``endless`` names the requests whose answers never end, and
    ``most_lag_seconds`` is how long the soak itself once stood still,
    ``waited_seconds`` how long each process has waited for a processor.
    """

    def __init__(self) -> None:
        self.sent: dict[str, Sent] = {}
        self.arrivals: list[Arrival] = []
        self.runs: Counter[str] = Counter()
        self.given: dict[str, Given] = {}
        self.outcomes: list[Outcome] = []
        self.work: list[Work] = []
        self.endless: set[str] = set()
        self.most_lag_seconds = float(0)
        self.waited_seconds: dict[int, float] = {}
        self.problems: list[str] = []
        self.resident_kib: Counter[str] = Counter()

    @property
    def faults(self) -> list[Work]:
        return [work for work in self.work if work.is_fault]

    def note_work(self, vm: str, kind: str, *, is_fault: bool) -> None:
        now = asyncio.get_running_loop().time()
        self.work.append(Work(vm, now, kind, is_fault))

    def note_resident(self, vm: str, kib: int) -> None:
        self.resident_kib[vm] = max(self.resident_kib[vm], kib)

    def note_waited(self, vm: str, pid: int, seconds: float) -> None:
        """Note as a fault that a process was kept from running for long."""
        waited_seconds = seconds - self.waited_seconds.get(pid, seconds)
        self.waited_seconds[pid] = seconds
        if waited_seconds > MAX_WAIT_SECONDS:
            kind = f'had no processor for {waited_seconds:.2f} s'
            self.note_work(vm, kind, is_fault=True)

    def describe_arrivals(self, request_id: str) -> str:
        """Return where a request arrived, and which answers it was given."""
        arrivals = [
            f'{arrival.instance} at {arrival.at:.3f}'
            for arrival in self.arrivals
            if arrival.request_id == request_id
        ]
        statuses = [
            given.status
            for given in self.given.values()
            if given.request_id == request_id
        ]
        return f'arrived at {arrivals}, given {statuses}'

    def note_arrival(self, arrival: Arrival) -> None:
        self.arrivals.append(arrival)
        if arrival.is_run:
            self.runs[arrival.request_id] += 1
