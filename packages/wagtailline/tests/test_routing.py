"""Tests of gate selection and of the limits on retries, in virtual time."""

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
    LocalEndpoint,
    RouteIndex,
    Router,
    find_key_owner,
)
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_lab.virtual import run_virtual

_REQUEST = CallRequest(1, '', 'r', 'a', '', 'GET', '/', (), 5000)
_ANSWERED = Ok(Answer(200, (), WholeBody()))
_UPSTREAM_RESET = Err(Refusal('upstream_reset', 'unknown'))
_OVERLOADED = Err(Refusal('overload', 'no'))


def _snapshot(near_count=3, far_count=3, **options):
    objects = [
        DataCentre('near', 'oslo'),
        DataCentre('far', 'oslo', options.get('far_in_service', True)),
        Service('s'),
        Route('r', '/', 's'),
    ]
    for name, count in (('near', near_count), ('far', far_count)):
        objects += [
            Endpoint(f'{name}-{number}', 's', name, 6, 120)
            for number in range(count)
        ]
    return Snapshot(1, b'', {object_id(entry): entry for entry in objects})


def _router(handler, snapshot=None, local_endpoint='near-0'):
    store = SnapshotStore()
    store.install(snapshot or _snapshot())
    return Router(
        store,
        LocalEndpoint(local_endpoint, 'near'),
        Handlers(handler, handler),
        LoopClock(),
        Random(1),
    )


@pytest.mark.parametrize('refusal', [_UPSTREAM_RESET, _OVERLOADED])
def test_retry_budget_holds_when_every_gate_fails(refusal):
    """Without a budget, retries triple the load of a failing service."""
    attempt_times = []

    async def handler(request, body):
        attempt_times.append(asyncio.get_running_loop().time())
        return refusal

    async def scenario():
        router = _router(handler)
        for _ in range(2500):
            await router(_REQUEST, WholeBody())
            await asyncio.sleep(0.01)

    run_virtual(scenario())
    # 100 calls per second; the budget adds 10% of them and one retry per
    # second.
    for second in range(10, 25):
        window = [
            started
            for started in attempt_times
            if second - 10 <= started < second
        ]
        assert 1000 <= len(window) <= 1000 * 1.1 + 10 + 1


@pytest.mark.parametrize('refusal', [_UPSTREAM_RESET, _OVERLOADED])
def test_retries_do_not_multiply_along_a_chain(refusal):
    """Three tries at each of 11 levels would make 177,147 calls."""
    calls_at_depth = Counter()
    routers = []

    async def handler(request, body):
        calls_at_depth[request.depth] += 1
        if request.depth == 10:
            return refusal
        nested = request._replace(depth=request.depth + 1)
        outcome = await routers[nested.depth](nested, WholeBody())
        # The upstream at this level has run, whatever the nested call
        # returned.
        return _UPSTREAM_RESET if isinstance(outcome, Err) else outcome

    async def scenario():
        routers.extend(_router(handler) for _ in range(11))
        for _ in range(1600):
            await routers[0](_REQUEST, WholeBody())
            await asyncio.sleep(0.005)

    run_virtual(scenario())
    # The calls last 8 s, so that one budget window of 10 s covers them: each
    # level that retries adds 10% of its calls and 10 retries. Depths 0 and 1
    # retry every failure; depth 10 retries its refusal if it is "not run".
    max_calls = ((1600 * 1.1 + 10) * 1.1 + 10) * 1.1 + 10
    assert calls_at_depth[10] <= max_calls


def test_non_idempotent_call_is_not_retried_if_it_may_have_run():
    """A retry could run a call twice, such as a payment."""
    tried_endpoints = []

    async def handler(request, body):
        tried_endpoints.append(request.endpoint)
        return _OVERLOADED if len(tried_endpoints) == 1 else _UPSTREAM_RESET

    request = _REQUEST._replace(method='POST')
    outcome = run_virtual(_call_once(handler, request))
    assert outcome == _UPSTREAM_RESET
    assert len(set(tried_endpoints)) == len(tried_endpoints) == 2


def test_refusal_is_unknown_if_any_attempt_was_unknown():
    """A last "not run" must not hide that an earlier attempt may have run."""
    outcomes = [_UPSTREAM_RESET, _OVERLOADED, _OVERLOADED]

    async def handler(request, body):
        return outcomes.pop(0)

    refusal = run_virtual(_call_once(handler, _REQUEST)).unwrap_err()
    assert refusal == Refusal('overload', 'unknown')


async def _call_once(handler, request):
    return await _router(handler)(request, WholeBody())


def test_nested_call_is_retried_only_if_it_did_not_run():
    """Retries of failed calls at depth 2 would multiply along the chain."""

    async def count_attempts(refusal):
        attempts = []

        async def handler(request, body):
            attempts.append(request)
            return refusal

        await _call_once(handler, _REQUEST._replace(depth=2))
        return len(attempts)

    assert run_virtual(count_attempts(_UPSTREAM_RESET)) == 1
    assert run_virtual(count_attempts(_OVERLOADED)) == 3


def test_call_with_idempotency_key_goes_only_to_the_owner_of_the_key():
    """Another gate has no record of the key and would run the call again."""
    snapshot = _snapshot()
    owners = set()

    async def scenario():
        async def handler(request, body):
            expected = find_key_owner(
                snapshot, 's', 'a', request.idempotency_key
            )
            assert request.endpoint == expected
            owners.add(request.endpoint)
            return _OVERLOADED

        router = _router(handler, snapshot)
        for number in range(60):
            request = _REQUEST._replace(
                method='POST', idempotency_key='k' * 70 + str(number)
            )
            await router(request, WholeBody())

    run_virtual(scenario())
    assert len(owners) == 6


def _count_calls(outcome_for, calls=400, pause=0.01, **options):
    calls_by_endpoint = Counter()

    async def scenario():
        async def handler(request, body):
            calls_by_endpoint[request.endpoint] += 1
            return outcome_for(request.endpoint)

        router = _router(handler, **options)
        for _ in range(calls):
            await router(_REQUEST, WholeBody())
            await asyncio.sleep(pause)

    run_virtual(scenario())
    return calls_by_endpoint


def test_calls_stay_in_the_local_data_centre():
    """A call to another data centre takes a millisecond or more longer."""
    calls_by_endpoint = _count_calls(
        lambda endpoint: _ANSWERED, local_endpoint='elsewhere'
    )
    assert set(calls_by_endpoint) == {'near-0', 'near-1', 'near-2'}


def test_sender_backs_off_from_an_unreachable_gate():
    """Without backoff every third call would be sent to that gate."""
    unreachable = Err(Refusal('gate_unreachable', 'no'))
    calls_by_endpoint = _count_calls(
        lambda name: unreachable if name == 'near-1' else _ANSWERED
    )
    assert calls_by_endpoint['near-1'] < 30


def test_loaded_gate_gets_fewer_calls():
    """Reported load must shift calls away before the gate refuses any."""
    loaded = Ok(Answer(200, (), WholeBody(), load=1))
    calls_by_endpoint = _count_calls(
        lambda name: loaded if name == 'near-1' else _ANSWERED,
        local_endpoint='elsewhere',
    )
    assert calls_by_endpoint['near-1'] < calls_by_endpoint['near-0'] / 2


def test_data_centre_out_of_service_gets_no_calls():
    """Spillover must not send calls to a drained data centre."""
    calls_by_endpoint = _count_calls(
        lambda endpoint: _OVERLOADED, snapshot=_snapshot(far_in_service=False)
    )
    assert not any(name.startswith('far') for name in calls_by_endpoint)


def test_spillover_is_limited_while_the_other_data_centre_refuses():
    """Calls of a failed data centre must not overload the next one."""
    peak = Counter()
    running = Counter()

    async def handler(request, body):
        if request.endpoint.startswith('near'):
            return Err(Refusal('gate_unreachable', 'no'))
        running['far'] += 1
        peak['far'] = max(peak['far'], running['far'])
        await asyncio.sleep(1)
        running['far'] -= 1
        return _OVERLOADED

    async def scenario():
        router = _router(handler)
        calls = [router(_REQUEST, WholeBody()) for _ in range(200)]
        outcomes = await asyncio.gather(*calls)
        assert all(
            outcome.unwrap_err().executed == 'no' for outcome in outcomes
        )

    run_virtual(scenario())
    assert 0 < peak['far'] <= 4


def test_body_is_complete_after_a_cancelled_attempt():
    """Cancelling a read of the body generator would end the body early."""
    received = []

    async def body():
        for chunk in (b'a', b'b', b'c'):
            await asyncio.sleep(0.1)
            yield chunk

    async def handler(request, body):
        if not received:
            received.append('first')
            task = asyncio.ensure_future(anext(body))
            await asyncio.sleep(0.05)
            task.cancel()
            return _OVERLOADED
        received.append(b''.join([chunk async for chunk in body]))
        return _ANSWERED

    async def scenario():
        return await _router(handler)(_REQUEST, body())

    assert run_virtual(scenario()) == _ANSWERED
    assert received == ['first', b'abc']


def test_body_longer_than_the_buffer_is_not_sent_again():
    """Only 64 KiB are buffered; a retry would send an incomplete body."""
    received_bytes = []

    async def body():
        for _ in range(3):
            yield bytes(40_000)

    async def handler(request, body):
        received_bytes.append(sum([len(chunk) async for chunk in body]))
        return _OVERLOADED

    async def scenario():
        return await _router(handler)(_REQUEST, body())

    assert run_virtual(scenario()) == _OVERLOADED
    assert received_bytes == [120_000]


def test_every_attempt_sees_that_the_body_is_truncated():
    """Without the exception an attempt takes the body for complete."""

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
        return _OVERLOADED

    async def scenario():
        return await _router(handler)(_REQUEST, body())

    assert run_virtual(scenario()) == _OVERLOADED


_PATHS = st.lists(st.sampled_from(('a', 'b', '', 'ab')), max_size=4).map(
    lambda parts: '/' + '/'.join(parts)
)


@given(st.sets(_PATHS, max_size=8), _PATHS)
@settings(deadline=None, derandomize=True)
def test_index_matches_the_same_route_as_a_scan(prefixes, path):
    """A wrong match could admit a call without a key that it requires."""
    objects = [Service('s')]
    objects += [
        Route(f'r{number}', prefix, 's')
        for number, prefix in enumerate(prefixes)
    ]
    snapshot = Snapshot(1, b'', {object_id(entry): entry for entry in objects})
    assert RouteIndex(snapshot).match(path) == snapshot.match_route(path)
