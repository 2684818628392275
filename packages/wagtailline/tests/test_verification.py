"""Tests that the gate verifies each call against its own snapshot."""

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
_OBJECTS = (
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


class _Freshness:
    def __init__(self, *, is_ready=True, age=0.0):
        self.is_ready = is_ready
        self.age = age
        self.on_request = lambda: None
        self.requested_versions = []

    async def wait_ready(self, seconds):
        await asyncio.sleep(seconds)
        return Err(seconds)

    def age_seconds(self):
        return self.age

    def request_version(self, endpoint, version):
        self.requested_versions.append((endpoint, version))
        self.on_request()


def _store(version, *objects):
    store = SnapshotStore()
    store.install(_snapshot(version, *objects)).unwrap()
    return store


def _snapshot(version, *objects):
    by_id = {object_id(entry): entry for entry in objects or _OBJECTS}
    return Snapshot(version, bytes([version]), by_id)


def _verify(store, freshness=None, request=_REQUEST, **options):
    verifier = CallVerifier(
        'desk-0', store, freshness or _Freshness(), **options
    )
    return run_virtual(verifier.verify(request))


def _without(*names):
    return tuple(entry for entry in _OBJECTS if entry.name not in names)


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
    """A sender with an older snapshot still admits a withdrawn object."""
    verdict = _verify(_store(3, *objects))
    assert verdict == Err(Refusal(reason, 'no', 500))


def test_gate_with_older_snapshot_fetches_the_version_of_the_sender():
    """A gate must not decide by a snapshot older than the sender's."""
    store = _store(1)
    freshness = _Freshness()
    freshness.on_request = lambda: store.install(_snapshot(2))
    assert isinstance(_verify(store, freshness), Ok)
    assert freshness.requested_versions == [('desk-1', 2)]


def test_gate_with_older_snapshot_refuses_after_the_timeout():
    """A gate that can't get the sender's version must not run the call."""
    verdict = _verify(_store(1))
    assert verdict.unwrap_err().reason == 'snapshot_behind'


def test_gate_refuses_until_its_snapshot_is_confirmed():
    """A process that was paused may hold keys that were withdrawn since."""
    verdict = _verify(_store(2), _Freshness(is_ready=False))
    assert verdict.unwrap_err() == Refusal('not_confirmed', 'no', 500)


@pytest.mark.parametrize(('age', 'admitted'), [(9.0, True), (11.0, False)])
def test_snapshot_age_is_limited_only_if_configured(age, admitted):
    """A data centre that is cut off from the source must keep working.

    Only a configured maximum age makes it refuse calls.
    """
    freshness = _Freshness(age=age)
    assert isinstance(_verify(_store(2), freshness), Ok)
    bounded = _verify(_store(2), freshness, max_age_seconds=10.0)
    assert isinstance(bounded, Ok) is admitted


def test_call_for_another_endpoint_is_refused():
    """The address of an endpoint may be reused by the vm of another one."""
    request = _REQUEST._replace(endpoint='desk-7')
    verdict = _verify(_store(2), request=request)
    assert verdict.unwrap_err().reason == 'wrong_endpoint'
