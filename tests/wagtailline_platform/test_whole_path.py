"""The whole path over real processes, without the bench."""

import asyncio

import pytest
from _daemons import Fleet, ask, is_ready, make_configuration

# What the platform allows between a publication and its effect.
APPLY_SECONDS = 2.0


@pytest.fixture
async def fleet(tmp_path):
    made = Fleet(tmp_path)
    await made.start(3)
    await asyncio.sleep(1.5)
    yield made
    await made.stop()


async def test_request_reaches_an_endpoint_and_its_answer_comes_back(fleet):
    """Guards against changed answers, and keys that reach an endpoint."""
    status, headers, body = await ask(
        fleet.vms[0], '/status/7?x=1', request_id='r1'
    )
    assert (status, body) == (200, b'sealed')
    assert headers['x-server-seal'] == 'seal'
    received = [one for vm in fleet.vms for one in vm.upstream.received]
    assert len(received) == 1
    assert received[0].target == '/status/7?x=1'
    assert received[0].headers['x-tenant'] == 'studio'
    assert received[0].headers['x-caller-service'] == 'desk'
    assert received[0].headers['x-attempt-id'] == 'r1'
    assert 'authorization' not in received[0].headers
    assert int(received[0].headers['x-deadline-ms']) <= 1000


async def test_unknown_keys_and_routes_are_denied(fleet):
    """Guards against requests that run for nobody."""
    vm = fleet.vms[1]
    assert (await ask(vm, '/status/1', key=''))[0] == 401
    assert (await ask(vm, '/status/1', key='other'))[0] == 401
    assert (await ask(vm, '/elsewhere/1'))[0] == 404


async def test_withdrawn_key_stops_everywhere_in_time(fleet):
    """Guards against a key that works on after its withdrawal."""
    tenants = {'studio': {'apiKeys': ['new-key']}}
    fleet.platform.put('op/config', make_configuration(2, tenants=tenants))
    await asyncio.sleep(APPLY_SECONDS)
    for vm in fleet.vms:
        assert (await ask(vm, '/status/1'))[0] == 401
        assert (await ask(vm, '/status/1', key='new-key'))[0] == 200


async def test_faulty_configuration_changes_nothing(fleet):
    """Guards against a version that is applied in part."""
    faulty = make_configuration(2)
    faulty['routes']['order']['service'] = 'missing'
    faulty['routes'].pop('status')
    fleet.platform.put('op/config', faulty)
    fleet.platform.put_bytes('servers/i-broken', b'\xff not json')
    await asyncio.sleep(APPLY_SECONDS)
    assert (await ask(fleet.vms[0], '/status/1'))[0] == 200


async def test_leaving_endpoint_gets_nothing_more(fleet):
    """Guards against new work for an endpoint that is draining."""
    leaving = fleet.vms[0]
    fleet.register(leaving, 'draining')
    await asyncio.sleep(APPLY_SECONDS)
    for vm in fleet.vms * 4:
        assert (await ask(vm, '/status/1'))[0] == 200
    assert not leaving.upstream.received


async def test_closed_data_centre_gets_nothing_and_says_not_run(fleet):
    """Guards against work in a data centre that is being emptied."""
    fleet.platform.put('op/evacuate/oslo-a', {})
    await asyncio.sleep(APPLY_SECONDS)
    status, headers, _ = await ask(fleet.vms[0], '/status/1', request_id='r')
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert fleet.runs('r') == 0


async def test_shed_requests_go_to_another_endpoint(fleet):
    """Guards against a refusal while another endpoint is free."""
    for vm in fleet.vms[:2]:
        vm.upstream.is_shedding = True
    statuses = [
        (await ask(fleet.vms[number % 3], '/status/1'))[0]
        for number in range(9)
    ]
    assert statuses.count(200) >= 6


async def test_unsafe_request_runs_once_when_its_answer_is_lost(fleet):
    """Guards against a second run after a reset."""
    for vm in fleet.vms:
        vm.upstream.service_seconds = 0.3
    asking = asyncio.ensure_future(
        ask(fleet.vms[0], '/order/1', method='POST', request_id='pay')
    )
    await asyncio.sleep(0.15)
    running = next(vm for vm in fleet.vms if vm.upstream.runs('pay'))
    running.process.kill()
    if running is fleet.vms[0]:
        with pytest.raises((OSError, asyncio.IncompleteReadError)):
            await asking
    else:
        assert (await asking)[0] == 502
    await asyncio.sleep(0.5)
    assert fleet.runs('pay') == 1


async def test_client_that_leaves_stops_its_endpoint(fleet):
    """Guards against work for a client that has closed its connection."""
    for vm in fleet.vms:
        vm.upstream.service_seconds = 3
    asking = asyncio.ensure_future(ask(fleet.vms[0], '/status/1'))
    await asyncio.sleep(0.2)
    asking.cancel()
    await asyncio.sleep(0.5)
    assert sum(vm.upstream.cancelled for vm in fleet.vms) == 1


async def test_planned_stop_finishes_what_is_in_progress(fleet):
    """Guards against a stop that cuts requests, or stays ready."""
    for vm in fleet.vms:
        vm.upstream.service_seconds = 0.5
    asking = [
        asyncio.ensure_future(ask(vm, '/status/1')) for vm in fleet.vms * 2
    ]
    await asyncio.sleep(0.2)
    fleet.vms[0].terminate()
    assert [(await one)[0] for one in asking] == [200] * 6
    assert not await is_ready(fleet.vms[0])
    async with asyncio.timeout(6):
        assert await fleet.vms[0].process.wait() == 0
    assert (await ask(fleet.vms[1], '/status/1'))[0] == 200


async def test_daemon_that_the_store_turns_away_goes_on(fleet):
    """Guards against refused keys while peers have a current snapshot."""
    fleet.platform.refused_hosts = {fleet.vms[0].host}
    await asyncio.sleep(5.5)
    assert (await ask(fleet.vms[0], '/status/1'))[0] == 200


async def test_outage_of_the_store_stops_keys_in_time(fleet):
    """Guards against keys that work on without proof that they are valid."""
    fleet.platform.refused_hosts = {vm.host for vm in fleet.vms}
    fleet.platform.refused_hosts.add('127.0.0.1')
    await asyncio.sleep(5)
    status, headers, _ = await ask(fleet.vms[0], '/status/1')
    assert status == 503
    assert 'retry-after' in headers
    fleet.platform.refused_hosts = set()
    await asyncio.sleep(APPLY_SECONDS)
    assert (await ask(fleet.vms[0], '/status/1'))[0] == 200


async def test_log_and_metrics_tell_of_a_request(fleet):
    """Guards against a failure that nobody can explain afterwards."""
    await ask(fleet.vms[0], '/elsewhere/1', request_id='lost-1')
    log = fleet.vms[0].log.read_text()
    line = next(row for row in log.splitlines() if 'lost-1' in row)
    assert 'reason=route_missing' in line
    assert 'version=1' in line
    assert 'picture_age_ms=' in line
    _, _, metrics = await ask(fleet.vms[0], '/metrics', port_offset=4)
    assert b'wagtailline_requests_total' in metrics
