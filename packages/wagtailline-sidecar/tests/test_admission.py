"""Who may run what, and on which evidence."""

import pytest
from _fixtures import (
    HOST,
    FakeClock,
    make_account,
    make_configuration,
    make_route,
)

from wagtailline_sidecar._exchange import RequestBody
from wagtailline_sidecar.admission import FRESH_SECONDS, Admission
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.server_connection import IncomingRequest
from wagtailline_sidecar.snapshot import Reading, SnapshotStore

PROOF_SECONDS = 4.5


class FakeQuotas:
    def __init__(self, wait: float = 0) -> None:
        self.wait = wait

    async def take(self, account) -> float:
        return self.wait

    def describe(self, account) -> str:
        return 'share=1'


def make_admission(*routes, accounts=(), wait=0, snapshot=True):
    clock = FakeClock()
    snapshots = SnapshotStore(clock, lambda event: None)
    if snapshot:
        configuration = make_configuration(*routes, accounts=accounts)
        reading = Reading(1, configuration, (), frozenset())
        snapshots.apply(reading, clock.now)
    admission = Admission(
        snapshots, FakeQuotas(wait), HeaderNames(), lambda: PROOF_SECONDS
    )
    return admission, clock


def request(target='/status/1', key='', **headers) -> IncomingRequest:
    fields = [(b'host', HOST.encode())]
    if key:
        fields.append((b'authorization', f'Bearer {key}'.encode()))
    for name, field in headers.items():
        fields.append((name.replace('_', '-').encode(), field.encode()))
    body = RequestBody(lambda: None, lambda: None)
    return IncomingRequest('GET', target, tuple(fields), body, 100)


async def refusal(admission, sent):
    outcome = await admission.admit(sent)
    return outcome.err_value


async def test_nothing_runs_without_a_snapshot():
    """Guards against a 404 from a daemon that knows no configuration."""
    admission, _ = make_admission(snapshot=False)
    refused = await refusal(admission, request())
    assert (refused.reason, refused.executed) == ('no_picture', 'no')


async def test_key_is_needed_where_there_are_accounts():
    """Guards against requests without a key on a route for accounts."""
    admission, _ = make_admission(accounts=(make_account(),))
    assert (await refusal(admission, request())).reason == 'key_missing'
    unknown = await refusal(admission, request(key='other'))
    assert unknown.reason == 'key_unknown'
    admitted = (await admission.admit(request(key='studio-key'))).ok_value
    assert admitted.account.name == 'studio'


async def test_public_route_needs_no_key():
    """Guards against calls of upstreams that are asked for a key."""
    route = make_route(is_public=True)
    admission, _ = make_admission(route, accounts=(make_account(),))
    assert (await admission.admit(request())).ok_value.account is None


async def test_key_is_refused_without_a_current_snapshot():
    """Guards against a withdrawn key that goes on at a cut-off daemon."""
    admission, clock = make_admission(accounts=(make_account(),))
    clock.now += PROOF_SECONDS + 0.1
    refused = await refusal(admission, request(key='studio-key'))
    assert (refused.reason, refused.executed) == ('picture_stale', 'no')


@pytest.mark.parametrize('target', ['/other/1', '/status'])
async def test_unknown_route_is_denied_only_on_a_current_snapshot(target):
    """Guards against a final answer on old knowledge."""
    admission, clock = make_admission()
    assert (await refusal(admission, request(target))).reason == (
        'route_missing'
    )
    clock.now += FRESH_SECONDS + 0.1
    assert (await refusal(admission, request(target))).reason == (
        'picture_stale'
    )


async def test_quota_is_refused_with_its_wait_and_its_inputs():
    """Guards against a refusal that does not tell when to come back."""
    admission, _ = make_admission(accounts=(make_account(),), wait=0.4)
    refused = await refusal(admission, request(key='studio-key'))
    assert refused.reason == 'quota_exhausted'
    assert refused.retry_after_ms == 400
    assert 'share=1' in refused.limit


async def test_the_shorter_of_timeout_and_deadline_counts():
    """Guards against requests that are kept past either of them."""
    admission, _ = make_admission()
    plain = (await admission.admit(request())).ok_value
    assert plain.deadline == 101
    short = request(wagtailline_timeout_ms='300')
    assert (await admission.admit(short)).ok_value.deadline == 100.3


async def test_account_priority_goes_before_the_route():
    """Guards against an urgent account behind a less urgent one."""
    account = make_account(priority=0)
    admission, _ = make_admission(accounts=(account,))
    admitted = await admission.admit(request(key='studio-key'))
    assert admitted.ok_value.priority == 0


async def test_requests_of_upstreams_are_marked_as_nested():
    """Guards against calls of running requests that wait like new ones.

    Upstreams send no key, so their requests come on open routes.
    """
    open_route = make_route('open', prefix='/open/', is_public=True)
    admission, _ = make_admission(
        make_route(), open_route, accounts=(make_account(),)
    )
    call = (await admission.admit(request('/open/1'))).ok_value
    fresh = (await admission.admit(request(key='studio-key'))).ok_value
    assert call.is_nested
    assert not fresh.is_nested
