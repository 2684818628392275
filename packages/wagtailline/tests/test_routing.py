"""Guards the choice of gates and the bounds of retries on virtual time."""

import asyncio
from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from wagtailline.calls import (
    Answer,
    BodyTruncated,
    CallRequest,
    Refusal,
    WholeBody,
)
from wagtailline.objects import DataCentre, Endpoint, Route, Service, object_id
from wagtailline.ports import LoopClock
from wagtailline.routing import (
    Handlers,
    Position,
    RouteIndex,
    Router,
    key_position,
)
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_lab.virtual import run_virtual

_REQUEST = CallRequest(1, '', 'r', 'a', '', 'GET', '/', (), 5000)
_OK = Ok(Answer(200, (), WholeBody()))
_LOST = Err(Refusal('upstream_reset', 'unknown'))
_BUSY = Err(Refusal('overload', 'no'))


def _snapshot(near=3, far=3, **changes):
    objects = [
        DataCentre('near', 'oslo'),
        DataCentre('far', 'oslo', changes.get('far_in_service', True)),
        Service('s'),
        Route('r', '/', 's'),
    ]
    for name, count in (('near', near), ('far', far)):
        objects += [
            Endpoint(f'{name}-{n}', 's', name, 6, 120) for n in range(count)
        ]
    return Snapshot(1, b'', {object_id(one): one for one in objects})


def _router(handler, snapshot=None, position='near-0'):
    store = SnapshotStore()
    store.install(snapshot or _snapshot())
    return Router(
        store,
        Position(position, 'near'),
        Handlers(handler, handler),
        LoopClock(),
        Random(1),
    )


@pytest.mark.parametrize('refusal', [_LOST, _BUSY])
def test_budget_holds_when_every_gate_fails(refusal):
    """Retries without a bound triple the load of a failing service."""
    attempts = []

    async def handler(request, body):
        attempts.append(asyncio.get_running_loop().time())
        return refusal

    async def scenario():
        router = _router(handler)
        for _ in range(2500):
            await router(_REQUEST, WholeBody())
            await asyncio.sleep(0.01)

    run_virtual(scenario())
    # 100 calls a second: 10% of them and one retry a second.
    for second in range(10, 25):
        window = [at for at in attempts if second - 10 <= at < second]
        assert 1000 <= len(window) <= 1000 * 1.1 + 10 + 1


@pytest.mark.parametrize('refusal', [_LOST, _BUSY])
def test_chain_does_not_multiply_load(refusal):
    """Three attempts at each of 11 levels would be 177,147 calls."""
    reached = Counter()
    routers = []

    async def handler(request, body):
        reached[request.depth] += 1
        if request.depth == 10:
            return refusal
        deeper = request._replace(depth=request.depth + 1)
        outcome = await routers[deeper.depth](deeper, WholeBody())
        # Its upstream has run, whatever the next level says.
        return _LOST if isinstance(outcome, Err) else outcome

    async def scenario():
        routers.extend(_router(handler) for _ in range(11))
        for _ in range(1600):
            await routers[0](_REQUEST, WholeBody())
            await asyncio.sleep(0.005)

    run_virtual(scenario())
    # 8 s with 10% and the retries of 10 s at depths 0 and 1; a refusal
    # "not run" of the last level is repeated once more.
    bound = ((1600 * 1.1 + 10) * 1.1 + 10) * 1.1 + 10
    assert reached[10] <= bound


def test_non_idempotent_call_is_not_repeated_after_unknown():
    """A payment that may have run must not run again."""
    seen = []

    async def handler(request, body):
        seen.append(request.endpoint)
        return _BUSY if len(seen) == 1 else _LOST

    request = _REQUEST._replace(method='POST')
    outcome = run_virtual(_once(handler, request))
    assert outcome == _LOST
    assert len(set(seen)) == len(seen) == 2


def test_refusal_after_attempts_is_unknown_if_one_was():
    """The last "not run" says nothing about the attempt before."""
    outcomes = [_LOST, _BUSY, _BUSY]

    async def handler(request, body):
        return outcomes.pop(0)

    refusal = run_virtual(_once(handler, _REQUEST)).unwrap_err()
    assert refusal == Refusal('overload', 'unknown')


async def _once(handler, request):
    return await _router(handler)(request, WholeBody())


def test_deep_call_repeats_only_what_did_not_run():
    """At depth 2 a repeated failure multiplies along the chain."""

    async def count(refusal):
        seen = []

        async def handler(request, body):
            seen.append(request)
            return refusal

        await _once(handler, _REQUEST._replace(depth=2))
        return len(seen)

    assert run_virtual(count(_LOST)) == 1
    assert run_virtual(count(_BUSY)) == 3


def test_keyed_call_goes_to_one_position():
    """Another gate has no record of the key and would run it again."""
    snapshot = _snapshot()
    owners = set()

    async def scenario():
        async def handler(request, body):
            expected = key_position(snapshot, 's', 'a', request.idempotency_key)
            assert request.endpoint == expected
            owners.add(request.endpoint)
            return _BUSY

        router = _router(handler, snapshot)
        for number in range(60):
            request = _REQUEST._replace(
                method='POST', idempotency_key='k' * 70 + str(number)
            )
            await router(request, WholeBody())

    run_virtual(scenario())
    assert len(owners) == 6


def _count(handler_of, calls=400, pause=0.01, **kwargs):
    seen = Counter()

    async def scenario():
        async def handler(request, body):
            seen[request.endpoint] += 1
            return handler_of(request.endpoint)

        router = _router(handler, **kwargs)
        for _ in range(calls):
            await router(_REQUEST, WholeBody())
            await asyncio.sleep(pause)

    run_virtual(scenario())
    return seen


def test_calls_stay_in_the_own_data_centre():
    """Crossing data centres costs each call a millisecond or more."""
    seen = _count(lambda endpoint: _OK, position='elsewhere')
    assert set(seen) == {'near-0', 'near-1', 'near-2'}


def test_failing_gates_are_avoided():
    """A gate that does not connect would cost every third call."""
    unreachable = Err(Refusal('gate_unreachable', 'no'))
    seen = _count(lambda one: unreachable if one == 'near-1' else _OK)
    assert seen['near-1'] < 30


def test_loaded_gate_gets_less():
    """Reported load has to shift calls before the gate refuses."""
    full = Ok(Answer(200, (), WholeBody(), load=1))
    seen = _count(
        lambda one: full if one == 'near-1' else _OK, position='elsewhere'
    )
    assert seen['near-1'] < seen['near-0'] / 2


def test_data_centre_out_of_service_gets_nothing():
    """A drained data centre must receive no spilled call."""
    seen = _count(
        lambda endpoint: _BUSY, snapshot=_snapshot(far_in_service=False)
    )
    assert not any(name.startswith('far') for name in seen)


def test_spill_over_follows_what_the_other_side_admits():
    """A failed data centre must not overload the next one at once."""
    most = Counter()
    running = Counter()

    async def handler(request, body):
        if request.endpoint.startswith('near'):
            return Err(Refusal('gate_unreachable', 'no'))
        running['far'] += 1
        most['far'] = max(most['far'], running['far'])
        await asyncio.sleep(1)
        running['far'] -= 1
        return _BUSY

    async def scenario():
        router = _router(handler)
        calls = [router(_REQUEST, WholeBody()) for _ in range(200)]
        outcomes = await asyncio.gather(*calls)
        assert all(one.unwrap_err().executed == 'no' for one in outcomes)

    run_virtual(scenario())
    assert 0 < most['far'] <= 4


def test_body_survives_an_attempt_that_was_cut_short():
    """A cancelled read of a generator would end the body early."""
    received = []

    async def body():
        for piece in (b'a', b'b', b'c'):
            await asyncio.sleep(0.1)
            yield piece

    async def handler(request, body):
        if not received:
            received.append('first')
            task = asyncio.ensure_future(anext(body))
            await asyncio.sleep(0.05)
            task.cancel()
            return _BUSY
        received.append(b''.join([piece async for piece in body]))
        return _OK

    async def scenario():
        return await _router(handler)(_REQUEST, body())

    assert run_virtual(scenario()) == _OK
    assert received == ['first', b'abc']


def test_long_body_is_not_sent_again_from_its_middle():
    """Only 64 KiB are kept; the rest can't be repeated."""
    seen = []

    async def body():
        for _ in range(3):
            yield bytes(40_000)

    async def handler(request, body):
        seen.append(sum([len(piece) async for piece in body]))
        return _BUSY

    async def scenario():
        return await _router(handler)(_REQUEST, body())

    assert run_virtual(scenario()) == _BUSY
    assert seen == [120_000]


def test_cut_body_is_cut_in_every_attempt():
    """An attempt that skips the cut would take the body for whole."""

    async def body():
        yield b'a'
        raise BodyTruncated

    async def handler(request, body):
        with pytest.raises(BodyTruncated):
            async for _ in body:
                pass
        with pytest.raises((BodyTruncated, StopAsyncIteration)) as caught:
            await anext(body)
        assert caught.type is BodyTruncated
        return _BUSY

    async def scenario():
        return await _router(handler)(_REQUEST, body())

    assert run_virtual(scenario()) == _BUSY


_PATHS = st.lists(st.sampled_from(('a', 'b', '', 'ab')), max_size=4).map(
    lambda parts: '/' + '/'.join(parts)
)


@given(st.sets(_PATHS, max_size=8), _PATHS)
@settings(deadline=None, derandomize=True)
def test_index_finds_the_route_of_the_scan(prefixes, path):
    """A faster lookup must not open a route that needs a key."""
    objects = [Service('s')]
    objects += [Route(f'r{n}', one, 's') for n, one in enumerate(prefixes)]
    snapshot = Snapshot(1, b'', {object_id(one): one for one in objects})
    assert RouteIndex(snapshot).match(path) == snapshot.match_route(path)
