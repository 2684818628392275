"""Tests of attempts at endpoints and of retries."""

import asyncio
from random import Random

import pytest
from _fixtures import (
    FakeClock,
    make_endpoint,
    make_policy,
    make_route,
    make_snapshot,
)
from result import Err, Ok

from wagtailline.calls import Answer, BodyTruncated, Refusal, WholeBody
from wagtailline.ports import Address
from wagtailline.routing import RetryBudget
from wagtailline_sidecar.admission import Admitted
from wagtailline_sidecar.forwarder import Forwarder
from wagtailline_sidecar.forwarding_state import (
    ForwardingState,
    OutgoingRequest,
)
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import find_header
from wagtailline_sidecar.model import RequestKind
from wagtailline_sidecar.retry_policy import MAX_GATE_REFUSALS
from wagtailline_sidecar.selection import RemoteCost, Selector

SUCCESS = Ok(Answer(200, (), WholeBody(b'fine')))
FAILED = Ok(Answer(500, (), WholeBody(b'broken')))
NOT_RUN = Err(Refusal('gate_unreachable', 'no'))
SHED = Err(Refusal('upstream_shed', 'no'))
UNKNOWN = Err(Refusal('connection_lost', 'unknown'))


class FakeGates:
    """Fake of the gates that returns given outcomes and records calls."""

    def __init__(self, *outcomes) -> None:
        self.outcomes = list(outcomes)
        self.calls: list = []

    async def __call__(self, request, body):
        self.calls.append(request)
        outcome = self.outcomes.pop(0)
        if callable(outcome):
            return outcome()
        return outcome


async def truncated_body():
    yield b'half'
    raise BodyTruncated


def forward(
    gates,
    *,
    kind=RequestKind.SAFE,
    max_attempts=2,
    retry_ratio=0.2,
    slack=1,
    endpoint_count=6,
    is_nested=False,
):
    clock = FakeClock()
    selector = Selector(clock, Random(1), 'oslo-a', RemoteCost())
    forwarder = Forwarder(
        selector,
        gates,
        clock,
        make_policy(clock, lambda: RetryBudget(clock, retry_ratio, slack)),
        HeaderNames(),
        lambda event: None,
    )
    endpoints = tuple(
        make_endpoint(f'e{number}', address=Address(f'10.0.0.{number}', 80))
        for number in range(endpoint_count)
    )
    route = make_route(kind=kind, max_attempts=max_attempts)
    snapshot = make_snapshot(*endpoints)
    admitted = Admitted(
        snapshot, route, None, 'id', 1, clock.now + 1, 0, is_nested
    )
    state = ForwardingState(admitted, 'desk')
    outgoing = OutgoingRequest('GET', '/status/', (), WholeBody())
    return state, forwarder.forward(state, outgoing)


async def test_successful_response_is_returned_without_retry():
    """Guards against a request that is sent again after success."""
    gates = FakeGates(SUCCESS)
    state, forwarding = forward(gates)
    assert (await forwarding).ok_value.status == 200
    assert len(gates.calls) == 1
    assert gates.calls[0].instance in state.tried


@pytest.mark.parametrize('kind', list(RequestKind))
async def test_request_that_did_not_run_is_retried_elsewhere(kind):
    """Guards against a failed request while another endpoint is free."""
    gates = FakeGates(NOT_RUN, NOT_RUN, SUCCESS)
    _, forwarding = forward(gates, kind=kind)
    assert (await forwarding).ok_value.status == 200
    assert len({call.instance for call in gates.calls}) == 3


async def test_unsafe_request_that_may_have_run_is_not_retried():
    """Guards against a payment that runs twice."""
    gates = FakeGates(UNKNOWN, SUCCESS)
    _, forwarding = forward(gates, kind=RequestKind.UNSAFE)
    assert (await forwarding).err_value.executed == 'unknown'
    assert len(gates.calls) == 1


async def test_error_response_to_unsafe_request_is_returned():
    """Guards against a retry of an unsafe request after status 500."""
    gates = FakeGates(FAILED, SUCCESS)
    _, forwarding = forward(gates, kind=RequestKind.UNSAFE)
    assert (await forwarding).ok_value.status == 500


@pytest.mark.parametrize('first_outcome', [UNKNOWN, FAILED])
async def test_safe_request_is_retried(first_outcome):
    """Guards against failures that a retry elsewhere would avoid."""
    gates = FakeGates(first_outcome, SUCCESS)
    _, forwarding = forward(gates)
    assert (await forwarding).ok_value.status == 200


async def test_truncated_response_is_retried_and_not_returned():
    """Guards against a truncated body returned as the upstream's."""
    gates = FakeGates(lambda: Ok(Answer(200, (), truncated_body())), SUCCESS)
    _, forwarding = forward(gates)
    answer = (await forwarding).ok_value
    assert answer.body.content == b'fine'


async def test_attempts_at_endpoints_are_bounded():
    """Guards against more attempts than the route allows."""
    gates = FakeGates(UNKNOWN, UNKNOWN, SUCCESS)
    _, forwarding = forward(gates, max_attempts=2)
    assert (await forwarding).is_err()
    assert len(gates.calls) == 2


async def test_shed_requests_count_as_attempts():
    """Guards against a request sent to every endpoint of a service.

    Each overloaded upstream refuses the request, so it did not run.
    """
    gates = FakeGates(SHED, SHED, SUCCESS)
    _, forwarding = forward(gates, max_attempts=2)
    assert (await forwarding).err_value.reason == 'upstream_shed'
    assert len(gates.calls) == 2


async def test_gate_refusals_are_bounded():
    """Guards against a request that tries every gate of a busy service."""
    gates = FakeGates(*[NOT_RUN] * 10)
    _, forwarding = forward(gates, endpoint_count=10)
    assert (await forwarding).err_value.executed == 'no'
    assert len(gates.calls) == MAX_GATE_REFUSALS + 1


async def test_missing_endpoint_means_not_executed():
    """Guards against a request without endpoint reported as executed."""
    state, forwarding = forward(FakeGates(), endpoint_count=0)
    refusal = (await forwarding).err_value
    assert (refusal.reason, refusal.executed) == ('no_endpoint', 'no')
    assert not state.is_sent


async def test_retries_stay_within_the_budget():
    """Guards against retries that multiply the load of a failing service."""
    clock = FakeClock()
    gates = FakeGates(*[UNKNOWN, UNKNOWN] * 400)
    selector = Selector(clock, Random(1), 'oslo-a', RemoteCost())
    forwarder = Forwarder(
        selector,
        gates,
        clock,
        make_policy(clock, lambda: RetryBudget(clock, 0.1, 0)),
        HeaderNames(),
        lambda event: None,
    )
    endpoints = tuple(make_endpoint(f'e{number}') for number in range(3))
    for _ in range(200):
        admitted = Admitted(
            make_snapshot(*endpoints),
            make_route(),
            None,
            'id',
            1,
            clock.now + 1,
            0,
        )
        state = ForwardingState(admitted, 'desk')
        outgoing = OutgoingRequest('GET', '/status/', (), WholeBody())
        await forwarder.forward(state, outgoing)
        clock.now += 0.01
    assert len(gates.calls) - 200 <= 200 * 0.1


@pytest.mark.parametrize('is_nested', [True, False])
async def test_nested_request_has_depth_one(is_nested):
    """Guards against nested calls that are queued like new requests."""
    gates = FakeGates(SUCCESS)
    _, forwarding = forward(gates, is_nested=is_nested)
    await forwarding
    assert gates.calls[0].depth == int(is_nested)


async def test_calls_of_upstreams_do_not_add_to_the_budget():
    """Guards against a bound of clients' requests that calls exceed."""
    gates = FakeGates(Ok(Answer(500, (), WholeBody())))
    _, forwarding = forward(gates, retry_ratio=1, slack=0, is_nested=True)
    await forwarding
    assert len(gates.calls) == 1


async def test_calls_per_run_are_not_passed_on():
    """Guards against a header between daemons that callers get to see."""
    header = HeaderNames().calls_per_run, b'{"vault":1.0}'
    gates = FakeGates(Ok(Answer(200, (header, (b'a', b'b')), WholeBody())))
    _, forwarding = forward(gates)
    assert (await forwarding).ok_value.headers == ((b'a', b'b'),)


async def send_each(*outcomes):
    """Send a request for each outcome of one endpoint.

    Return the calls that reached its gate, and the events.
    """
    gates = FakeGates(*outcomes)
    events = []
    clock = FakeClock()
    forwarder = Forwarder(
        Selector(clock, Random(1), 'oslo-a', RemoteCost()),
        gates,
        clock,
        make_policy(clock, lambda: RetryBudget(clock, 0)),
        HeaderNames(),
        events.append,
    )
    snapshot = make_snapshot(make_endpoint())
    admitted = Admitted(
        snapshot, make_route(), None, 'id', 1, clock.now + 1, 0, False
    )
    for _ in outcomes:
        outgoing = OutgoingRequest('GET', '/status/', (), WholeBody())
        await forwarder.forward(ForwardingState(admitted, 'desk'), outgoing)
    return gates.calls, events


async def known_limits(*outcomes) -> list[bytes | None]:
    """Return the limit that each of some requests to one endpoint names."""
    calls, _ = await send_each(*outcomes)
    name = HeaderNames().known_rate_limit
    return [find_header(call.headers, name) for call in calls]


def limited(field: bytes, *, is_sealed: bool = True):
    names = HeaderNames()
    headers = ((names.rate_limit, field),)
    if is_sealed:
        headers = (*headers, (names.seal, b'1'))
    return Ok(Answer(200, headers, WholeBody(b'fine')))


SEALED = Ok(Answer(200, ((HeaderNames().seal, b'1'),), WholeBody(b'fine')))


async def test_sender_tells_the_gate_the_limit_that_it_passed_on():
    """Guards against a restarted gate that has forgotten a limit (LIMIT)."""
    known = await known_limits(limited(b'2.5'), limited(b'-1'), SEALED, SEALED)
    assert known == [None, b'2.5', b'2.5', None]


async def test_unsealed_response_names_no_limit():
    """Guards against a limit that the endpoint never named."""
    unsealed = limited(b'2.5', is_sealed=False)
    assert await known_limits(unsealed, SEALED) == [None, None]


@pytest.mark.parametrize(('is_sealed', 'calls'), [(False, 2), (True, 1)])
async def test_answer_that_says_its_endpoint_leaves_is_the_last_one(
    is_sealed, calls
):
    """Guards against requests to an endpoint that says it leaves (DRAIN).

    A response without a seal may be of anyone, and proves nothing.
    """
    names = HeaderNames()
    headers = ((names.leaving, b'1'),)
    if is_sealed:
        headers = (*headers, (names.seal, b'1'))
    outcome = Ok(Answer(200, headers, WholeBody(b'fine')))
    sent, events = await send_each(outcome, outcome)
    assert len(sent) == calls
    assert len(events) == 2 - calls


@pytest.mark.parametrize('waits_ms', [(9000, 300, 5000, 7000), (0, 0, 300, 0)])
async def test_refusal_names_the_shortest_wait(waits_ms):
    """Guards against callers that stay away while another endpoint is free.

    The endpoint that was tried last may have the lowest limit.
    """
    outcomes = [
        Err(Refusal('rate_limited', 'no', wait_ms)) for wait_ms in waits_ms
    ]
    _, forwarding = forward(FakeGates(*outcomes))
    assert (await forwarding).err_value.retry_after_ms == 300


async def test_answer_that_is_given_up_while_it_is_buffered_is_closed():
    """Guards against upstreams at work on answers that nobody reads."""
    closed = asyncio.Event()

    class SilentBody:
        def __aiter__(self):
            return self

        async def __anext__(self) -> bytes:
            await asyncio.Event().wait()

        async def aclose(self) -> None:
            closed.set()

    gates = FakeGates(Ok(Answer(200, (), SilentBody())))
    _, forwarding = forward(gates)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await forwarding
    assert closed.is_set()


@pytest.mark.parametrize('first_outcome', [UNKNOWN, FAILED])
async def test_refused_retry_of_a_request_that_may_have_run_is_unknown(
    first_outcome,
):
    """Guards against the word of a daemon that a request did not run.

    The refusal of its retry alone went to the client, which got its token
    back as well.
    """
    gates = FakeGates(first_outcome, *[NOT_RUN] * 10)
    _, forwarding = forward(gates, max_attempts=3)
    assert (await forwarding).err_value.executed == 'unknown'
