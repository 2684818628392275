"""End-to-end tests with real sidecar processes."""

import asyncio

import pytest
from _daemons import (
    Fleet,
    is_ready,
    make_configuration,
    make_large_configuration,
    send_request,
)

# Maximum time that the platform allows from a publication to its effect.
MAX_PROPAGATION_SECONDS = 2.0
# A configuration with so many routes takes about 2.5 s on such a link.
LARGE_ROUTES = 1200
SLOW_BYTES_PER_SECOND = 160_000


@pytest.fixture
async def fleet(tmp_path):
    running_fleet = Fleet(tmp_path)
    await running_fleet.start(3)
    await asyncio.sleep(1.5)
    yield running_fleet
    await running_fleet.stop()


async def test_request_reaches_an_endpoint_and_its_answer_comes_back(fleet):
    """Guards against altered messages and keys forwarded to an endpoint."""
    status, headers, body = await send_request(
        fleet.vms[0], '/status/7?x=1', request_id='r1'
    )
    assert (status, body) == (200, b'sealed')
    assert headers['x-server-seal'] == 'seal'
    received = [request for vm in fleet.vms for request in vm.upstream.received]
    assert len(received) == 1
    assert received[0].target == '/status/7?x=1'
    assert received[0].headers['x-tenant'] == 'studio'
    assert received[0].headers['x-caller-service'] == 'desk'
    assert received[0].headers['x-attempt-id'] == 'r1'
    assert 'authorization' not in received[0].headers
    assert int(received[0].headers['x-deadline-ms']) <= 1000


async def test_unknown_keys_and_routes_are_denied(fleet):
    """Guards against executing requests without a valid key or route."""
    vm = fleet.vms[1]
    assert (await send_request(vm, '/status/1', key=''))[0] == 401
    assert (await send_request(vm, '/status/1', key='other'))[0] == 401
    assert (await send_request(vm, '/elsewhere/1'))[0] == 404


async def test_withdrawn_key_stops_everywhere_in_time(fleet):
    """Guards against a key that is still accepted after its withdrawal."""
    tenants = {'studio': {'apiKeys': ['new-key']}}
    fleet.platform.put('op/config', make_configuration(2, tenants=tenants))
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    for vm in fleet.vms:
        assert (await send_request(vm, '/status/1'))[0] == 401
        assert (await send_request(vm, '/status/1', key='new-key'))[0] == 200


async def test_faulty_configuration_changes_nothing(fleet):
    """Guards against a partly applied version when one route is invalid."""
    invalid = make_configuration(2)
    invalid['routes']['order']['service'] = 'missing'
    invalid['routes'].pop('status')
    fleet.platform.put('op/config', invalid)
    fleet.platform.put_bytes('servers/i-broken', b'\xff not json')
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    assert (await send_request(fleet.vms[0], '/status/1'))[0] == 200


async def test_draining_endpoint_gets_no_requests(fleet):
    """Guards against new requests to an endpoint that is draining."""
    draining_vm = fleet.vms[0]
    fleet.register(draining_vm, 'draining')
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    for vm in fleet.vms * 4:
        assert (await send_request(vm, '/status/1'))[0] == 200
    assert not draining_vm.upstream.received


async def test_leaving_is_known_while_a_configuration_arrives(fleet):
    """Guards against requests to a leaving endpoint beside large versions.

    The leaving waited behind a whole configuration on a slow link.
    """
    draining_vm = fleet.vms[0]
    fleet.platform.bytes_per_second = SLOW_BYTES_PER_SECOND
    large = make_large_configuration(2, LARGE_ROUTES)
    fleet.platform.put('op/config', large)
    await asyncio.sleep(1)
    fleet.register(draining_vm, 'draining')
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    for vm in fleet.vms * 4:
        assert (await send_request(vm, '/status/1'))[0] == 200
    assert not draining_vm.upstream.received


async def test_leaving_in_an_answer_is_known_while_the_store_is_away(fleet):
    """Guards against requests to an endpoint that says it leaves (DRAIN).

    The store calls it ready throughout, and the gate's daemon is restarted.
    """
    leaving_vm = fleet.vms[0]
    await fleet.platform.stop()
    leaving_vm.upstream.notices = {'Server-Leaving': '1'}
    for vm in fleet.vms * 4:
        assert (await send_request(vm, '/status/1'))[0] == 200
    told = len(leaving_vm.upstream.received)
    assert 1 <= told <= len(fleet.vms)
    for vm in fleet.vms * 4:
        assert (await send_request(vm, '/status/1'))[0] == 200
    assert len(leaving_vm.upstream.received) == told


async def test_limit_in_an_answer_is_kept(fleet):
    """Guards against more requests than an upstream says it takes (LIMIT)."""
    limited_vm = fleet.vms[0]
    limited_vm.upstream.notices = {'Server-Limit': '1'}
    for vm in fleet.vms * 40:
        assert (await send_request(vm, '/status/1'))[0] == 200
    assert 1 <= len(limited_vm.upstream.received) <= 11


async def test_closed_data_centre_rejects_requests_as_not_executed(fleet):
    """Guards against new requests in a data centre that is being evacuated."""
    fleet.platform.put('op/evacuate/oslo-a', {})
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    status, headers, _ = await send_request(
        fleet.vms[0], '/status/1', request_id='r'
    )
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert fleet.runs('r') == 0


async def test_shed_requests_go_to_another_endpoint(fleet):
    """Guards against a rejection while another endpoint has capacity."""
    for vm in fleet.vms[:2]:
        vm.upstream.is_shedding = True
    statuses = [
        (await send_request(fleet.vms[number % 3], '/status/1'))[0]
        for number in range(9)
    ]
    assert statuses.count(200) >= 6


async def test_unsafe_request_runs_once_when_its_answer_is_lost(fleet):
    """Guards against a retry of an unsafe request after a connection reset.

    The sidecar that forwards the request to its endpoint is killed before the
    answer.
    """
    for vm in fleet.vms:
        vm.upstream.service_seconds = 0.3
    pending = asyncio.ensure_future(
        send_request(fleet.vms[0], '/order/1', method='POST', request_id='pay')
    )
    await asyncio.sleep(0.15)
    serving_vm = next(
        vm for vm in fleet.vms if vm.upstream.count_executions('pay')
    )
    serving_vm.process.kill()
    if serving_vm is fleet.vms[0]:
        with pytest.raises((OSError, asyncio.IncompleteReadError)):
            await pending
    else:
        assert (await pending)[0] == 502
    await asyncio.sleep(0.5)
    assert fleet.runs('pay') == 1


async def test_disconnected_client_cancels_its_request(fleet):
    """Guards against executing a request whose client has disconnected."""
    for vm in fleet.vms:
        vm.upstream.service_seconds = 3
    pending = asyncio.ensure_future(send_request(fleet.vms[0], '/status/1'))
    await asyncio.sleep(0.2)
    pending.cancel()
    await asyncio.sleep(0.5)
    assert sum(vm.upstream.cancelled for vm in fleet.vms) == 1


async def test_graceful_stop_finishes_requests_in_progress(fleet):
    """Guards against a stop that aborts requests or leaves the VM ready."""
    for vm in fleet.vms:
        vm.upstream.service_seconds = 0.5
    pending = [
        asyncio.ensure_future(send_request(vm, '/status/1'))
        for vm in fleet.vms * 2
    ]
    await asyncio.sleep(0.2)
    fleet.vms[0].terminate()
    assert [(await request)[0] for request in pending] == [200] * 6
    assert not await is_ready(fleet.vms[0])
    async with asyncio.timeout(6):
        assert await fleet.vms[0].process.wait() == 0
    assert (await send_request(fleet.vms[1], '/status/1'))[0] == 200


async def test_request_late_in_a_stop_is_refused_unless_it_can_end(fleet):
    """Guards against late requests that are passed on and cut by the stop.

    They came on new connections, and were cut at the end of the grace period.
    """
    configuration = make_configuration(2)
    configuration['routes']['status']['timeoutMs'] = 5000
    fleet.platform.put('op/config', configuration)
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    for vm in fleet.vms:
        vm.upstream.service_seconds = 4
    stopping = fleet.vms[0]
    early = asyncio.ensure_future(send_request(stopping, '/status/0'))
    await asyncio.sleep(0.2)
    stopping.terminate()
    await asyncio.sleep(3)
    status, headers, _ = await send_request(
        stopping, '/status/1', request_id='late'
    )
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert headers['connection'] == 'close'
    assert not fleet.runs('late')
    for vm in fleet.vms:
        vm.upstream.service_seconds = 0
    assert (await send_request(stopping, '/order/1'))[0] == 200
    assert (await early)[0] == 200


async def test_daemon_that_the_store_rejects_uses_peers(fleet):
    """Guards against denied keys while peers have a current snapshot."""
    fleet.platform.refused_hosts = {fleet.vms[0].host}
    await asyncio.sleep(5.5)
    assert (await send_request(fleet.vms[0], '/status/1'))[0] == 200


async def test_outage_of_the_store_disables_keys_in_time(fleet):
    """Guards against keys accepted with a snapshot that is too old.

    Without the source nothing proves that a key has not been withdrawn.
    """
    fleet.platform.refused_hosts = {vm.host for vm in fleet.vms}
    fleet.platform.refused_hosts.add('127.0.0.1')
    await asyncio.sleep(5)
    status, headers, _ = await send_request(fleet.vms[0], '/status/1')
    assert status == 503
    assert 'retry-after' in headers
    fleet.platform.refused_hosts = set()
    await asyncio.sleep(MAX_PROPAGATION_SECONDS)
    assert (await send_request(fleet.vms[0], '/status/1'))[0] == 200


async def test_log_and_metrics_show_a_request(fleet):
    """Guards against a failed request that logs and metrics do not show."""
    await send_request(fleet.vms[0], '/elsewhere/1', request_id='lost-1')
    log = fleet.vms[0].log.read_text()
    line = next(row for row in log.splitlines() if 'lost-1' in row)
    assert 'reason=route_missing' in line
    assert 'version=1' in line
    assert 'picture_age_ms=' in line
    _, _, metrics = await send_request(
        fleet.vms[0], '/metrics', listener='metrics'
    )
    assert b'wagtailline_requests_total' in metrics
