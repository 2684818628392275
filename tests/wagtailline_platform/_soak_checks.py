"""What a soak must not see, found in the record of its run.

Bounds are those that the users state: see ``docs/platform.md``.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable

from _daemons import Vm
from _soak_record import Arrival, Outcome, Record, Sent

from wagtailline_sidecar.settings import SidecarSettings

# A fault may still cut requests that end so long after it.
FAULT_SECONDS = 3.0
# Largest resident memory of one daemon.
MAX_RESIDENT_KIB = 64 * 1024
MAX_EXTRA_DEADLINE_SECONDS = 0.5
# Time after its deadline by which each request has an end.
MAX_LATE_SECONDS = 0.5
# Requests with too long a deadline, of which more break the rule if they are
# also more than this share.
MAX_LONG_DEADLINES = 20
MAX_LONG_SHARE = 0.2
_DEFAULTS = SidecarSettings._field_defaults
RETRY_RATIO = _DEFAULTS['retry_ratio']
RETRY_SLACK = _DEFAULTS['retry_slack']
WINDOW_SECONDS = _DEFAULTS['retry_window_seconds']
_PROMISES = frozenset((408, 421, 429, 503))
_FAULT_LINES = ('event=task_failed', 'event=handler_failed', 'Traceback')


def find_problems(record: Record, vms: list[Vm]) -> list[str]:
    """Return what the soak must not see."""
    return [
        *record.problems,
        *_find_doubled(record),
        *_find_broken_promises(record),
        *_find_cut(record),
        *find_excess_repeats(record),
        *_find_excess_attempts(record),
        *_find_long_deadlines(record),
        *_find_unasked(record),
        *_find_large_daemons(record),
        *_find_faults_of_the_program(vms),
    ]


def find_lasting_problems(record: Record, vms: list[Vm]) -> list[str]:
    """Return what must not be seen beside clients that take all of a VM.

    They may slow down a daemon, and take more of its memory than others.
    """
    return [
        *record.problems,
        *_find_doubled(record),
        *_find_broken_promises(record),
        *find_excess_repeats(record),
        *_find_excess_attempts(record),
        *_find_unasked(record),
        *_find_faults_of_the_program(vms),
    ]


def _find_doubled(record: Record) -> list[str]:
    return [
        f'run twice: {outcome.request_id}'
        for outcome in record.outcomes
        if outcome.is_unsafe and record.runs[outcome.request_id] > 1
    ]


def _find_broken_promises(record: Record) -> list[str]:
    return [
        f'{outcome.status} after a run: {outcome.request_id}'
        for outcome in record.outcomes
        if outcome.status in _PROMISES
        and outcome.is_unsafe
        and record.runs[outcome.request_id]
    ]


def _find_cut(record: Record) -> list[str]:
    """Return requests that were run and got no answer without a fault."""
    return [
        f'run, but no answer: {outcome} '
        f'{record.describe_arrivals(outcome.request_id)}'
        for outcome in record.outcomes
        if not outcome.is_whole
        and outcome.request_id not in record.endless
        and record.runs[outcome.request_id]
        and not _is_cut_by_its_deadline(outcome)
        and not _is_excused(record, outcome)
    ]


def _is_cut_by_its_deadline(outcome: Outcome) -> bool:
    """Return whether its time was over; an answer then may end early."""
    late_seconds = outcome.ended_at - outcome.ends_at
    has_begun = outcome.status != 0
    return late_seconds >= 0 and (has_begun or late_seconds < MAX_LATE_SECONDS)


def _is_excused(record: Record, outcome: Outcome) -> bool:
    return any(
        outcome.sent_at - FAULT_SECONDS < fault.at < outcome.ended_at
        for fault in record.faults
    )


def describe_work(record: Record) -> str:
    """Return what was done, one line each."""
    return '\n'.join(
        f'{work.at:.3f} {work.vm} {work.kind}' for work in record.work
    )


def _find_unasked(record: Record) -> list[str]:
    return [
        f'unasked: {arrival.request_id}'
        for arrival in record.arrivals
        if arrival.request_id not in record.sent
    ]


def find_excess_repeats(record: Record) -> list[str]:
    """Return the services with more repeats in a window than allowed.

    The requests that count are those of clients, in the window, the one
    before it or the one half a window before it.
    """
    sent = defaultdict(list)
    for request in record.sent.values():
        if not request.is_call:
            sent[request.service].append(request.at)
    problems = []
    for service, repeats in _find_repeats(record).items():
        worst, at = max(
            (_measure_excess(repeats, sorted(sent[service]), at), at)
            for at in repeats
        )
        if worst > 0:
            problems.append(
                f'{worst:.0f} repeats too many at {service} until {at:.1f}, of '
                f'{_count_window(repeats, at)}'
            )
    return problems


def describe_repeats(record: Record) -> str:
    """Return the least room of each service below the allowed repeats."""
    sent = defaultdict(list)
    for request in record.sent.values():
        if not request.is_call:
            sent[request.service].append(request.at)
    rooms = {
        service: min(
            -_measure_excess(repeats, sorted(sent[service]), at)
            for at in repeats
        )
        for service, repeats in _find_repeats(record).items()
    }
    return ', '.join(
        f'{service}: {len(repeats)} repeats, room {rooms[service]:.0f}'
        for service, repeats in _find_repeats(record).items()
    )


def _find_repeats(record: Record) -> dict[str, list[float]]:
    """Return the times of repeats at each service, in order.

    These are the arrivals of a request after its first, and all of a call
    that a repeated run made.
    """
    repeats = defaultdict(list)
    seen = set()
    for arrival in sorted(record.arrivals, key=lambda arrival: arrival.at):
        request = record.sent.get(arrival.request_id)
        is_repeat = request is not None and request.is_repeat
        if is_repeat or arrival.request_id in seen:
            repeats[arrival.service].append(arrival.at)
        seen.add(arrival.request_id)
    return repeats


def _measure_excess(
    repeats: list[float], sent: list[float], at: float
) -> float:
    ends = (at, at - WINDOW_SECONDS / 2, at - WINDOW_SECONDS)
    requests = max(_count_window(sent, end) for end in ends)
    allowed = RETRY_RATIO * requests + RETRY_SLACK
    return _count_window(repeats, at) - allowed


def _count_window(times: list[float], at: float) -> int:
    return bisect_right(times, at) - bisect_right(times, at - WINDOW_SECONDS)


def _find_excess_attempts(record: Record) -> list[str]:
    instances = defaultdict(set)
    for arrival in record.arrivals:
        if arrival.is_run:
            instances[arrival.request_id].add(arrival.instance)
    return [
        f'run at {len(names)} upstreams: {request_id}'
        for request_id, names in instances.items()
        if request_id in record.sent
        and len(names) > record.sent[request_id].max_attempts
    ]


def _find_long_deadlines(record: Record) -> list[str]:
    known = [
        (record.sent[arrival.request_id], arrival)
        for arrival in record.arrivals
        if arrival.request_id in record.sent
    ]
    long = [
        arrival.request_id
        for request, arrival in known
        if _is_too_long(request, arrival)
    ]
    if len(long) > max(MAX_LONG_DEADLINES, MAX_LONG_SHARE * len(known)):
        return [f'{len(long)} of {len(known)} deadlines too long: {long[:5]}']
    return []


def _is_too_long(request: Sent, arrival: Arrival) -> bool:
    if arrival.ends_at is None:
        return True
    return arrival.ends_at > request.ends_at + MAX_EXTRA_DEADLINE_SECONDS


def _find_large_daemons(record: Record) -> list[str]:
    return [
        f'{vm}: {kib} KiB resident'
        for vm, kib in record.resident_kib.items()
        if kib > MAX_RESIDENT_KIB
    ]


def _find_faults_of_the_program(vms: Iterable[Vm]) -> list[str]:
    return [
        f'{vm.name}: {line}'
        for vm in vms
        for line in vm.log.read_text(errors='replace').splitlines()
        if any(text in line for text in _FAULT_LINES)
    ]


def describe(record: Record) -> str:
    """Return how many requests ended with each status, and the extremes."""
    statuses = Counter(outcome.status for outcome in record.outcomes)
    resident = max(record.resident_kib.values(), default=0)
    return (
        f'{dict(sorted(statuses.items()))}, {len(record.faults)} faults, '
        f'{resident} KiB, stood still for {record.most_lag_seconds:.2f} s; '
        f'{describe_repeats(record)}'
    )
