"""Wires all services of the daemon, and starts and stops them."""

import asyncio
from contextlib import suppress
from typing import NamedTuple

from wagtailline.admission import Gate
from wagtailline.ports import Address
from wagtailline_daemon.composition._calls import CallServices, build_calls
from wagtailline_daemon.composition._client_limits import (
    build_ingress_resources,
    build_operator_resources,
)
from wagtailline_daemon.composition._control import (
    ControlServices,
    build_control,
)
from wagtailline_daemon.composition._core import CoreServices, build_core
from wagtailline_daemon.daemon_events import (
    DaemonStarted,
    DaemonStopped,
    DaemonStopping,
)
from wagtailline_daemon.gate import ExecutionConfirmer
from wagtailline_daemon.ingress import ingress_config
from wagtailline_daemon.monitoring import Monitor
from wagtailline_daemon.operators import (
    HttpServer,
    StatusBoard,
    build_operator_app,
    operator_config,
)
from wagtailline_daemon.settings import DaemonSettings

_DRAIN_REASON = 'stopping'
_INGRESS_SERVICE = 'ingress_http'
_DRAIN_POLL_SECONDS = 0.02


class Daemon(NamedTuple):
    """All services of the process, started and stopped together."""

    core: CoreServices
    control: ControlServices
    calls: CallServices

    async def start(self) -> None:
        """Start all services; raise OSError if a port is in use."""
        await self.core.registry.start()
        settings = self.core.settings
        self.core.events.info(
            DaemonStarted(settings.vm, settings.endpoint, settings.http_port)
        )

    async def stop(self, reason: str) -> None:
        """Leave the membership, finish calls in progress and stop all services.

        The gate admits no new calls meanwhile.
        """
        events = self.core.events
        events.info(DaemonStopping(self.core.settings.vm, reason))
        await self.control.membership.leave()
        self.calls.gate.drain(_DRAIN_REASON)
        await self._wait_for_calls()
        await self.core.registry.stop()
        self.core.tracing.stop()
        events.info(
            DaemonStopped(self.core.settings.vm, self.calls.server.in_progress)
        )

    async def _wait_for_calls(self) -> None:
        """Wait, up to the drain timeout, until no call is in progress.

        Runs before the registry stops the services that these calls use.
        """
        ingress = self.core.registry.find(_INGRESS_SERVICE, HttpServer).unwrap()
        seconds = self.core.settings.drain_timeout_seconds
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await ingress.stop()
                await self.calls.gate.wait_until_idle()
                while self.calls.server.in_progress:
                    await self.core.clock.sleep(_DRAIN_POLL_SECONDS)


def build_daemon(settings: DaemonSettings) -> Daemon:
    """Build all services of the daemon without starting any."""
    core = build_core(settings)
    control = build_control(core)
    calls = build_calls(core, control)
    _register_services(core, control, calls)
    return Daemon(core, control, calls)


def _register_services(
    core: CoreServices, control: ControlServices, calls: CallServices
) -> None:
    services: dict[str, object] = {
        'snapshots': core.store,
        'members': core.members,
        'gate': calls.gate,
        'gate_service': calls.service,
        'links': control.links,
        'peer_requests': control.peer_requests,
        'distribution': control.distribution,
        'membership': control.membership,
        'allowance': control.allowance,
        'execution_confirmer': ExecutionConfirmer(
            core.registry,
            core.clock,
            core.random,
            control.published_names.data_centres,
        ),
        'call_metrics': calls.metrics,
        'monitor': Monitor(
            core.registry, core.clock, core.metrics, core.events
        ),
    }
    for name, service in services.items():
        core.registry.register(name, service)
    _register_http_servers(core, control, calls)


def _register_http_servers(
    core: CoreServices, control: ControlServices, calls: CallServices
) -> None:
    settings = core.settings
    resources = build_ingress_resources(core)
    application = build_operator_app(
        _build_status_board(core, control, calls),
        core.store,
        core.members,
        control.distribution.report,
    )
    core.registry.register(
        'operator_http',
        HttpServer(
            operator_config(application, build_operator_resources(resources)),
            Address(settings.operator_host, settings.operator_port),
        ),
    )
    core.registry.register(
        _INGRESS_SERVICE,
        HttpServer(
            ingress_config(
                calls.ingress, settings.host, settings.http_port, resources
            ),
            Address(settings.host, settings.http_port),
        ),
    )


def _build_status_board(
    core: CoreServices, control: ControlServices, calls: CallServices
) -> StatusBoard:
    board = StatusBoard()
    board.add(
        'ready',
        lambda: control.distribution.is_ready and control.membership.takes_part,
    )
    board.add('member', lambda: control.membership.member)
    board.add('snapshot', lambda: _report_snapshot(core, control))
    board.add('gate', lambda: _report_gate(calls.gate))
    board.add('membership', lambda: _report_membership(core, control))
    return board


def _report_snapshot(core: CoreServices, control: ControlServices) -> object:
    current = core.store.current
    distribution = control.distribution
    return {
        'version': core.store.version,
        'digest': current.digest if current else b'',
        'age_seconds': distribution.age_seconds(),
        'is_reader': distribution.is_reader,
        'kept_out': distribution.kept_out,
        'last_refusal': distribution.last_refusal,
        'last_source_failure': distribution.last_source_failure,
    }


def _report_gate(gate: Gate) -> object:
    return {
        'limit': gate.limit,
        'in_progress': gate.in_progress,
        'queued': gate.queued,
        'load': gate.load,
    }


def _report_membership(core: CoreServices, control: ControlServices) -> object:
    data_centre = core.settings.data_centre
    return {
        'takes_part': control.membership.takes_part,
        'known': len(core.members.members()),
        'answering': len(control.membership.answering(data_centre)),
    }
