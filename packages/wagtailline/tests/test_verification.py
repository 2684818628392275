"""Guards the gate's own check, whatever the sender believes."""

import asyncio

import pytest
from result import Err, Ok

from wagtailline.calls import CallRequest, Refusal
from wagtailline.objects import (
    ClientAccount,
    DataCentre,
    Endpoint,
    Key,
    Limit,
    Route,
    Service,
    object_id,
)
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline.verification import CallVerifier
from wagtailline_lab.virtual import run_virtual

_KEY = 'a' * 64
_SET = (
    DataCentre('osl1', 'oslo'),
    Service('desk'),
    Endpoint('desk-0', 'desk', 'osl1', 6, 120),
    Route('desk', '/desk', 'desk'),
    Limit('small', 5.0, 5),
    ClientAccount('studio', 'small'),
    Key('studio-1', 'studio', _KEY),
)
_REQUEST = CallRequest(
    version=2,
    endpoint='desk-0',
    route='desk',
    client_account='studio',
    key_digest=_KEY,
    method='GET',
    target='/desk/1',
    headers=(),
    timeout_ms=1000,
    sender='desk-1',
)


class _Currency:
    def __init__(self, *, is_ready=True, age=0.0):
        self.is_ready = is_ready
        self.age = age
        self.on_request = lambda: None
        self.requested = []

    async def wait_ready(self, seconds):
        await asyncio.sleep(seconds)
        return Err(seconds)

    def age_seconds(self):
        return self.age

    def request_version(self, endpoint, version):
        self.requested.append((endpoint, version))
        self.on_request()


def _store(version, *objects):
    store = SnapshotStore()
    store.install(_snapshot(version, *objects)).unwrap()
    return store


def _snapshot(version, *objects):
    named = {object_id(one): one for one in objects or _SET}
    return Snapshot(version, bytes([version]), named)


def _verify(store, currency=None, request=_REQUEST, **options):
    verifier = CallVerifier('desk-0', store, currency or _Currency(), **options)
    return run_virtual(verifier.verify(request))


def _without(*names):
    return tuple(one for one in _SET if one.name not in names)


@pytest.mark.parametrize(
    ('objects', 'reason'),
    [
        (_without('studio-1'), 'key_unknown'),
        ((*_without('desk'), Service('desk')), 'route_missing'),
        (
            (*_without('osl1'), DataCentre('osl1', 'oslo', False)),
            'endpoint_drained',
        ),
        (_without('desk-0'), 'wrong_endpoint'),
        (
            (
                *_without('studio-1'),
                ClientAccount('other', 'small'),
                Key('studio-1', 'other', _KEY),
            ),
            'key_unknown',
        ),
    ],
)
def test_newer_snapshot_of_the_gate_decides(objects, reason):
    """A sender that lags must not get a withdrawn object through."""
    verdict = _verify(_store(3, *objects))
    assert verdict == Err(Refusal(reason, 'no', 500))


def test_older_gate_catches_up_from_the_sender():
    """A gate that lags must not decide by what it has."""
    store = _store(1)
    currency = _Currency()
    currency.on_request = lambda: store.install(_snapshot(2))
    assert isinstance(_verify(store, currency), Ok)
    assert currency.requested == [('desk-1', 2)]


def test_older_gate_refuses_in_the_end():
    """Without the sender's version the call must not run."""
    verdict = _verify(_store(1))
    assert verdict.unwrap_err().reason == 'snapshot_behind'


def test_resumed_gate_refuses_until_confirmed():
    """A process that was paused may hold keys withdrawn meanwhile."""
    verdict = _verify(_store(2), _Currency(is_ready=False))
    assert verdict.unwrap_err() == Refusal('not_confirmed', 'no', 500)


@pytest.mark.parametrize(('age', 'passes'), [(9.0, True), (11.0, False)])
def test_operator_may_bound_the_age(age, passes):
    """A data centre cut off for long goes on unless told otherwise."""
    currency = _Currency(age=age)
    assert isinstance(_verify(_store(2), currency), Ok)
    bounded = _verify(_store(2), currency, max_age_seconds=10.0)
    assert isinstance(bounded, Ok) is passes


def test_call_for_another_endpoint_is_refused():
    """An address may have passed to another endpoint's vm."""
    request = _REQUEST._replace(endpoint='desk-7')
    verdict = _verify(_store(2), request=request)
    assert verdict.unwrap_err().reason == 'wrong_endpoint'
