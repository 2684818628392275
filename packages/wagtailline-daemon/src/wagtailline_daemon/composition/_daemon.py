"""Composition root: makes every service of the daemon and wires them."""

import asyncio
from contextlib import suppress
from typing import NamedTuple

from wagtailline.admission import Gate
from wagtailline.ports import Address
from wagtailline_daemon.composition._base import Base, build_base
from wagtailline_daemon.composition._calls import CallPath, build_call_path
from wagtailline_daemon.composition._mesh import Mesh, build_mesh
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

STOPPING = 'stopping'
INGRESS = 'ingress_http'
_FINISH_POLL_SECONDS = 0.02


class Daemon(NamedTuple):
    """All services of one process, started and stopped together."""

    base: Base
    mesh: Mesh
    calls: CallPath

    async def start(self) -> None:
        """Start every service; raise OSError when a port is taken."""
        await self.base.kernel.start()
        settings = self.base.settings
        self.base.events.info(
            DaemonStarted(settings.vm, settings.endpoint, settings.http_port)
        )

    async def stop(self, reason: str) -> None:
        """Stop as planned: no new work, then finish what is in progress."""
        events = self.base.events
        events.info(DaemonStopping(self.base.settings.vm, reason))
        await self.mesh.membership.leave()
        self.calls.gate.drain(STOPPING)
        await self._finish_calls()
        await self.base.kernel.stop()
        self.base.tracing.stop()
        events.info(
            DaemonStopped(self.base.settings.vm, self.calls.server.in_progress)
        )

    async def _finish_calls(self) -> None:
        """Wait for calls in progress before anything that they need ends."""
        ingress = self.base.kernel.find(INGRESS, HttpServer).unwrap()
        seconds = self.base.settings.drain_timeout_seconds
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await ingress.stop()
                await self.calls.gate.wait_empty()
                while self.calls.server.in_progress:
                    await self.base.clock.sleep(_FINISH_POLL_SECONDS)


def build_daemon(settings: DaemonSettings) -> Daemon:
    """Make every service of the daemon; nothing runs before its start."""
    base = build_base(settings)
    mesh = build_mesh(base)
    calls = build_call_path(base, mesh)
    _register(base, mesh, calls)
    return Daemon(base, mesh, calls)


def _register(base: Base, mesh: Mesh, calls: CallPath) -> None:
    services: dict[str, object] = {
        'snapshots': base.store,
        'members': base.members,
        'gate': calls.gate,
        'gate_service': calls.service,
        'links': mesh.links,
        'peer_requests': mesh.peers,
        'distribution': mesh.distribution,
        'membership': mesh.membership,
        'allowance': mesh.allowance,
        'execution_confirmer': ExecutionConfirmer(
            base.kernel, base.clock, base.random, mesh.names.data_centres
        ),
        'call_metrics': calls.metrics,
        'monitor': Monitor(base.kernel, base.clock, base.metrics, base.events),
    }
    for name, service in services.items():
        base.kernel.register(name, service)
    _register_http(base, mesh, calls)


def _register_http(base: Base, mesh: Mesh, calls: CallPath) -> None:
    settings = base.settings
    application = build_operator_app(
        _build_board(base, mesh, calls),
        base.store,
        base.members,
        mesh.distribution.report,
    )
    base.kernel.register(
        'operator_http',
        HttpServer(
            operator_config(application),
            Address(settings.operator_host, settings.operator_port),
        ),
    )
    base.kernel.register(
        INGRESS,
        HttpServer(
            ingress_config(calls.ingress, settings.host, settings.http_port),
            Address(settings.host, settings.http_port),
        ),
    )


def _build_board(base: Base, mesh: Mesh, calls: CallPath) -> StatusBoard:
    board = StatusBoard()
    board.add(
        'ready',
        lambda: mesh.distribution.is_ready and mesh.membership.takes_part,
    )
    board.add('member', lambda: mesh.membership.member)
    board.add('snapshot', lambda: _report_snapshot(base, mesh))
    board.add('gate', lambda: _report_gate(calls.gate))
    board.add('membership', lambda: _report_membership(base, mesh))
    return board


def _report_snapshot(base: Base, mesh: Mesh) -> object:
    current = base.store.current
    distribution = mesh.distribution
    return {
        'version': base.store.version,
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


def _report_membership(base: Base, mesh: Mesh) -> object:
    data_centre = base.settings.data_centre
    return {
        'takes_part': mesh.membership.takes_part,
        'known': len(base.members.members()),
        'answering': len(mesh.membership.answering(data_centre)),
    }
