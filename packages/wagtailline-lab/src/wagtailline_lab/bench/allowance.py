"""Benchmark of the allowance: wrongful refusals, fairness and cost.

Run it as ``python -m wagtailline_lab.bench.allowance [part ...]``; the parts
are ``loads``, ``homes``, ``grants``, ``split`` and ``cost``. All results but
the CPU times are in virtual time and the same in every run.
"""

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from wagtailline.allowance import DEFAULT_SETTINGS, Allowance
from wagtailline_lab.allowance_baselines import Coordinator, EqualShares
from wagtailline_lab.bench import allowance_cost
from wagtailline_lab.bench.allowance_load import (
    LOADS,
    SHAPES,
    Mechanism,
    Outcome,
    run_load,
)

_ALLOWANCE = Mechanism('homes', Allowance, DEFAULT_SETTINGS)
_MECHANISMS = (
    _ALLOWANCE,
    Mechanism('equal shares', EqualShares, DEFAULT_SETTINGS),
    Mechanism('coordinator', Coordinator, DEFAULT_SETTINGS),
)
_WORKER_PROCESSES = 8
_COMMON_LOADS = ('even', 'skewed', 'bursts', 'small accounts', 'restart')


Case = tuple[str, str, Mechanism]


def _list_load_cases() -> Iterator[Case]:
    """Yield cases that compare the mechanisms under every load and shape."""
    for shape in SHAPES:
        for load in LOADS:
            for mechanism in _MECHANISMS:
                yield shape, load, mechanism


def _list_issuer_cases() -> Iterator[Case]:
    """Yield cases that compare numbers of issuers for each limit."""
    for tokens in (1, 4, 16, 1000):
        settings = DEFAULT_SETTINGS._replace(tokens_per_issuer=tokens)
        mechanism = Mechanism(f'{tokens} a home', Allowance, settings)
        for load in ('even', 'skewed', 'bursts', 'dead home'):
            yield '200 in 4', load, mechanism


def _list_grant_cases() -> Iterator[Case]:
    """Yield cases that compare lifetimes of grants."""
    for seconds in (1, 2, 5, 10):
        settings = DEFAULT_SETTINGS._replace(grant_seconds=seconds)
        mechanism = Mechanism(f'grant {seconds} s', Allowance, settings)
        for load in (*_COMMON_LOADS, 'dead home', 'lossy'):
            yield '17 in 4', load, mechanism


def _list_split_cases() -> Iterator[Case]:
    """Yield cases that compare the least share of a limit in a data centre."""
    for tokens in (1, 2, 4, 8):
        settings = DEFAULT_SETTINGS._replace(tokens_per_data_centre=tokens)
        mechanism = Mechanism(f'{tokens} a centre', Allowance, settings)
        for shape in ('17 in 4', '200 in 4'):
            for load in ('small accounts', 'even', 'centre cut off'):
                yield shape, load, mechanism


_PARTS = {
    'loads': _list_load_cases,
    'homes': _list_issuer_cases,
    'grants': _list_grant_cases,
    'split': _list_split_cases,
}


def _print_outcome(case: Case, outcome: Outcome) -> None:
    shape, load, mechanism = case
    print(
        f'{shape:9} {load:15} {mechanism.name:13} '
        f'refused {outcome.wrongly_refused:6.2f}%  '
        f'worst {outcome.worst_share:6.2f}%  '
        f'best {outcome.best_share:6.2f}%  '
        f'used {outcome.admitted_over_allowed:6.2f}%  '
        f'excess {outcome.excess:7.2f}  '
        f'wait ms p50 {outcome.median_wait_ms:5.2f} '
        f'p99 {outcome.p99_wait_ms:6.2f}  '
        f'msg/s {outcome.messages:6.1f}  B/s {outcome.octets:7.0f}',
        flush=True,
    )


def _run_case(case: Case) -> Outcome:
    return run_load(*case)


def main() -> None:
    """Run the parts named on the command line, or all, and print results."""
    with ProcessPoolExecutor(_WORKER_PROCESSES) as pool:
        for part in sys.argv[1:] or (*_PARTS, 'cost'):
            print(f'# {part}')
            if part == 'cost':
                allowance_cost.print_cost()
                continue
            cases = list(_PARTS[part]())
            for case, outcome in zip(
                cases, pool.map(_run_case, cases), strict=True
            ):
                _print_outcome(case, outcome)


if __name__ == '__main__':
    main()
