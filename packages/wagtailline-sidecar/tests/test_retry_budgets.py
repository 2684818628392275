"""Tests of the retries of a whole fleet, on a clock that the test sets."""

from random import Random

import pytest
from _fixtures import FakeClock
from result import Ok

from wagtailline.calls import Answer, CallRequest, WholeBody
from wagtailline.routing import RetryBudget
from wagtailline_sidecar._compose_retries import RETRY_BUDGET_FRACTION
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import find_header
from wagtailline_sidecar.nested_calls import (
    CallRatios,
    CallReporter,
    NestedCalls,
)
from wagtailline_sidecar.retry_budgets import RetryBudgets
from wagtailline_sidecar.retry_shares import RetryLimits, RetryShares

WINDOW_SECONDS = 10
RATIO = 0.2
SLACK = 60
SERVICE = 'desk'
STEP_SECONDS = 0.1


class RetryFleet:
    """Daemons of which each retries whatever its budget allows."""

    def __init__(self, size: int, seed: int = 1, fraction: float = 1) -> None:
        self.fraction = fraction
        self.clock = FakeClock()
        self.random = Random(seed)
        self.size = size
        self.known = [0] * size
        self.shares: dict[int, RetryShares] = {}
        self.budgets = [self.make_budgets(number) for number in range(size)]
        self.requests: list[float] = []
        self.retries: list[float] = []

    def make_budgets(self, number: int) -> RetryBudgets:
        ratio = RATIO * self.fraction
        limits = RetryLimits(ratio, SLACK * self.fraction, WINDOW_SECONDS)
        self.shares[number] = RetryShares(
            self.clock, limits, lambda: self.known[number]
        )
        return RetryBudgets(
            lambda: RetryBudget(self.clock, ratio, 0, WINDOW_SECONDS),
            self.shares[number],
            CallRatios(),
            lambda event: None,
        )

    def restart(self, number: int) -> None:
        self.budgets[number] = self.make_budgets(number)

    def send_one(self) -> None:
        self.random.choice(self.budgets).record_request(SERVICE)
        self.requests.append(self.clock.now)

    def fail_all(self) -> None:
        for budgets in self.budgets:
            while budgets.try_acquire(SERVICE, 'id', '500'):
                self.retries.append(self.clock.now)

    def run(self, seconds: float, *, is_failing: bool) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            for shares in self.shares.values():
                shares.follow_daemons()
            self.send_one()
            if is_failing:
                self.fail_all()

    def find_worst(self) -> float:
        """Return the largest part of its bound that a window holds."""
        return max(
            (self.use(start) for start in self.retries), default=float(0)
        )

    def use(self, start: float) -> float:
        end = start + WINDOW_SECONDS
        retries = sum(start <= at <= end for at in self.retries)
        requests = max(
            sum(start - shift <= at <= end - shift for at in self.requests)
            for shift in (0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )
        return retries / (RATIO * requests + SLACK)


@pytest.mark.parametrize('size', [12, 85])
def test_daemons_asked_before_endpoints_are_known_share_the_slack(size):
    """Guards against daemons that keep the slack of the whole fleet for ever.

    The first request came when they knew no endpoint or only a few.
    """
    fleet = RetryFleet(size)
    for budgets in fleet.budgets:
        budgets.record_request(SERVICE)
        budgets.try_acquire(SERVICE, 'id', '500')
    fleet.run(5, is_failing=True)
    fleet.known = [size] * size
    fleet.run(40, is_failing=True)
    assert fleet.retries
    assert fleet.find_worst() <= 1


@pytest.mark.parametrize('is_failing', [True, False])
def test_daemons_that_forget_others_do_not_share_the_slack_anew(is_failing):
    """Guards against slack that grows while a data centre is cut off.

    The daemons may have made no retry before; then their unequal load costs up
    to the part of the bound that is not used.
    """
    size = 12
    fraction = 1 if is_failing else RETRY_BUDGET_FRACTION
    fleet = RetryFleet(size, fraction=fraction)
    fleet.known = [size] * size
    fleet.run(12, is_failing=is_failing)
    fleet.known = [size // 3] * size
    fleet.run(30, is_failing=True)
    assert fleet.find_worst() <= 1


@pytest.mark.parametrize('seed', range(5))
def test_restarts_mint_no_slack(seed):
    """Guards against restarts that let the same retries be spent again."""
    size = 12
    fleet = RetryFleet(size, seed)
    fleet.known = [size] * size
    fleet.run(12, is_failing=True)
    for number in range(60):
        fleet.restart(number % size)
        fleet.run(0.5, is_failing=True)
    assert fleet.find_worst() <= 1


def test_daemon_that_knows_no_other_has_no_slack():
    """Guards against a daemon that takes itself for the whole fleet."""
    fleet = RetryFleet(1)
    fleet.clock.now += WINDOW_SECONDS
    assert not fleet.budgets[0].try_acquire(SERVICE, 'id', '500')


def test_retries_of_a_caller_stay_within_the_bound_of_the_called_service():
    """Guards against calls of retried runs that the called service bears."""
    fleet = RetryFleet(12)
    fleet.known = [12] * 12
    upstream_calls = NestedCalls(fleet.clock)
    for _ in range(10):
        upstream_calls.record_run()
        upstream_calls.record_call('vault')
        upstream_calls.record_call('vault')
    for budgets in fleet.budgets:
        budgets.record_calls_per_run(SERVICE, upstream_calls.report())
    fleet.run(40, is_failing=True)
    # Each retry makes two calls to a service that no client asks for anything.
    calls = 2 * len([at for at in fleet.retries if at > fleet.clock.now - 10])
    assert 0 < calls <= SLACK


def test_calls_per_run_are_those_of_lately():
    """Guards against retries that cost what an old version of a run called."""
    clock = FakeClock()
    calls = NestedCalls(clock)
    for _ in range(4):
        calls.record_run()
        calls.record_call('vault')
    assert calls.report() == b'{"vault":1.0}'
    for _ in range(120):
        clock.now += 1
        calls.record_run()
        calls.report()
    assert calls.report() == b''


@pytest.mark.parametrize(
    'report',
    [b'', b'{', b'[1]', b'{"vault":"1"}', b'{"vault":-1}', b'{"vault":1e300}'],
)
def test_malformed_report_is_ignored(report):
    """Guards against a daemon that fails over the header of another one."""
    ratios = CallRatios()
    ratios.record(SERVICE, report)
    assert not ratios.find(SERVICE)


@pytest.mark.parametrize('depth', [0, 1])
async def test_answers_to_clients_name_the_calls_per_run(depth):
    """Guards against retries of runs whose calls no daemon knows."""
    calls = NestedCalls(FakeClock())
    calls.record_call('vault')
    reporter = CallReporter(answer_all, calls, HeaderNames())
    request = CallRequest(
        1, 'host', 'status', '', '', 'GET', '/', (), 1000, depth=depth
    )
    answer = (await reporter(request, WholeBody())).ok_value
    report = find_header(answer.headers, HeaderNames().calls_per_run)
    assert report == (None if depth else b'{"vault":1.0}')


@pytest.mark.parametrize('depth', [0, 1])
async def test_upstreams_name_no_calls_per_run(depth):
    """Guards against an upstream that sets what retries cost others."""
    name = HeaderNames().calls_per_run

    async def answer(request, body):
        return Ok(Answer(200, ((name, b'{"vault":9}'),), WholeBody()))

    reporter = CallReporter(answer, NestedCalls(FakeClock()), HeaderNames())
    request = CallRequest(
        1, 'host', 'status', '', '', 'GET', '/', (), 1000, depth=depth
    )
    answered = (await reporter(request, WholeBody())).ok_value
    assert find_header(answered.headers, name) is None


async def answer_all(request, body):
    return Ok(Answer(200, (), WholeBody()))
