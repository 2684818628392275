"""Attempts at endpoints, and what may be repeated."""

from random import Random

import pytest
from _fixtures import (
    FakeClock,
    make_endpoint,
    make_route,
    make_snapshot,
)
from result import Err, Ok

from wagtailline.calls import Answer, BodyTruncated, Refusal, WholeBody
from wagtailline.ports import Address
from wagtailline_sidecar.admission import Admitted
from wagtailline_sidecar.forwarder import (
    MAX_REFUSALS,
    Content,
    Forwarder,
    Forwarding,
)
from wagtailline_sidecar.model import RequestKind
from wagtailline_sidecar.selection import Distance, Selector

OK = Ok(Answer(200, (), WholeBody(b'fine')))
FAILED = Ok(Answer(500, (), WholeBody(b'broken')))
NOT_RUN = Err(Refusal('gate_unreachable', 'no'))
SHED = Err(Refusal('upstream_shed', 'no'))
UNKNOWN = Err(Refusal('connection_lost', 'unknown'))


class Gates:
    """Gives the outcomes in order and keeps the calls."""

    def __init__(self, *outcomes) -> None:
        self.outcomes = list(outcomes)
        self.calls: list = []

    async def __call__(self, request, body):
        self.calls.append(request)
        outcome = self.outcomes.pop(0)
        if callable(outcome):
            return outcome()
        return outcome


async def cut():
    yield b'half'
    raise BodyTruncated


def forward(
    gates,
    *,
    kind=RequestKind.SAFE,
    attempts=2,
    ratio=0.2,
    size=6,
    is_nested=False,
):
    clock = FakeClock()
    selector = Selector(clock, Random(1), 'oslo-a', Distance())
    forwarder = Forwarder(selector, gates, clock, ratio, lambda: 1)
    endpoints = tuple(
        make_endpoint(f'e{number}', address=Address(f'10.0.0.{number}', 80))
        for number in range(size)
    )
    route = make_route(kind=kind, max_attempts=attempts)
    snapshot = make_snapshot(*endpoints)
    admitted = Admitted(
        snapshot, route, None, 'id', 1, clock.now + 1, 0, is_nested
    )
    state = Forwarding(admitted, 'desk')
    content = Content('GET', '/status/', (), WholeBody())
    return state, forwarder.forward(state, content)


async def test_answer_of_the_first_endpoint():
    """Guards against requests that run twice without need."""
    gates = Gates(OK)
    state, work = forward(gates)
    assert (await work).ok_value.status == 200
    assert len(gates.calls) == 1
    assert gates.calls[0].instance in state.tried


@pytest.mark.parametrize('kind', list(RequestKind))
async def test_what_did_not_run_goes_elsewhere(kind):
    """Guards against a lost request while another endpoint is free."""
    gates = Gates(NOT_RUN, NOT_RUN, OK)
    _, work = forward(gates, kind=kind)
    assert (await work).ok_value.status == 200
    assert len({call.instance for call in gates.calls}) == 3


async def test_unsafe_request_that_may_have_run_is_not_repeated():
    """Guards against a payment that runs twice."""
    gates = Gates(UNKNOWN, OK)
    _, work = forward(gates, kind=RequestKind.UNSAFE)
    assert (await work).err_value.executed == 'unknown'
    assert len(gates.calls) == 1


async def test_failed_unsafe_answer_is_passed_on():
    """Guards against a repeat after an upstream's own failure."""
    gates = Gates(FAILED, OK)
    _, work = forward(gates, kind=RequestKind.UNSAFE)
    assert (await work).ok_value.status == 500


@pytest.mark.parametrize('first', [UNKNOWN, FAILED])
async def test_safe_request_is_repeated(first):
    """Guards against failures that another endpoint could hide."""
    gates = Gates(first, OK)
    _, work = forward(gates)
    assert (await work).ok_value.status == 200


async def test_cut_answer_is_repeated_and_never_passed_on():
    """Guards against a body that is not the upstream's whole body."""
    gates = Gates(lambda: Ok(Answer(200, (), cut())), OK)
    _, work = forward(gates)
    answer = (await work).ok_value
    assert answer.body.content == b'fine'


async def test_attempts_at_endpoints_are_bounded():
    """Guards against more runs than the route allows."""
    gates = Gates(UNKNOWN, UNKNOWN, OK)
    _, work = forward(gates, attempts=2)
    assert (await work).is_err()
    assert len(gates.calls) == 2


async def test_endpoints_that_shed_count_as_attempts():
    """Guards against a request that is offered to every endpoint."""
    gates = Gates(SHED, SHED, OK)
    _, work = forward(gates, attempts=2)
    assert (await work).err_value.reason == 'upstream_shed'
    assert len(gates.calls) == 2


async def test_gates_asked_in_vain_are_bounded():
    """Guards against a request that circles through a busy service."""
    gates = Gates(*[NOT_RUN] * 10)
    _, work = forward(gates, size=10)
    assert (await work).err_value.executed == 'no'
    assert len(gates.calls) == MAX_REFUSALS + 1


async def test_no_endpoint_is_no_run():
    """Guards against an untrue answer when a service has no endpoint."""
    state, work = forward(Gates(), size=0)
    refusal = (await work).err_value
    assert (refusal.reason, refusal.executed) == ('no_endpoint', 'no')
    assert not state.is_sent


async def test_retries_stay_within_the_budget():
    """Guards against repeats that multiply the load of a failing service."""
    clock = FakeClock()
    gates = Gates(*[UNKNOWN, UNKNOWN] * 400)
    selector = Selector(clock, Random(1), 'oslo-a', Distance())
    forwarder = Forwarder(selector, gates, clock, 0.1, lambda: 0)
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
        state = Forwarding(admitted, 'desk')
        content = Content('GET', '/status/', (), WholeBody())
        await forwarder.forward(state, content)
        clock.now += 0.01
    assert len(gates.calls) - 200 <= 200 * 0.1


@pytest.mark.parametrize('is_nested', [True, False])
async def test_gate_learns_that_a_request_is_nested(is_nested):
    """Guards against calls of running requests that wait like new ones."""
    gates = Gates(OK)
    _, work = forward(gates, is_nested=is_nested)
    await work
    assert gates.calls[0].depth == int(is_nested)
