"""Composition root: makes every service of the sidecar and wires them."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random, SystemRandom
from typing import NamedTuple

from wagtailline.codec import FrameFault
from wagtailline.kernel import Kernel
from wagtailline.ports import Address
from wagtailline_daemon.events import open_event_log
from wagtailline_sidecar.admission import Admission
from wagtailline_sidecar.borrowing import Borrowing
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.daemon_events import (
    DaemonStarted,
    DaemonStopped,
    DaemonStopping,
    FrameRejected,
    HandlerFailed,
)
from wagtailline_sidecar.demand import Demand
from wagtailline_sidecar.demand_reporter import DemandReporter
from wagtailline_sidecar.forwarder import Forwarder
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.gate_service import GateService
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.ingress import Ingress, IngressParts
from wagtailline_sidecar.local_upstream import LocalUpstream, UpstreamParts
from wagtailline_sidecar.log_output import BoundedOutput
from wagtailline_sidecar.model import IngressLimits, Picture
from wagtailline_sidecar.notices import Notices
from wagtailline_sidecar.peer_calls import PeerCalls
from wagtailline_sidecar.picture import PictureKeeper
from wagtailline_sidecar.quotas import Homes, Quotas, Tolerance
from wagtailline_sidecar.routing import Splitter
from wagtailline_sidecar.selection import Distance, Selector
from wagtailline_sidecar.settings import SidecarSettings, parse_address
from wagtailline_sidecar.settings_watch import SettingsWatch
from wagtailline_sidecar.source_reader import Source, SourceReader
from wagtailline_sidecar.status_pages import answer_metrics, answer_readiness
from wagtailline_sidecar.telemetry import Telemetry
from wagtailline_sidecar.upstream import Upstream
from wagtailline_sidecar.warm_up import WarmUp

STOPPING = 'gate_stopping'
_STDOUT = 1
_MILLISECONDS = 1000
_WINDOW_SECONDS = 10.0
# Of what all daemons may use together, each daemon plans with this part, so
# that unequal loads stay within the whole.
_RETRY_PART = 0.3
_FINISH_POLL_SECONDS = 0.05
# The platform needs two questions without a 200 to send clients elsewhere.
_LEAVE_SECONDS = 2.5


class Daemon(NamedTuple):
    """All services of one process, started and stopped together."""

    settings: SettingsWatch
    kernel: Kernel
    telemetry: Telemetry
    gate: Gate
    peers: PeerCalls
    ingress: HttpListener
    readiness: 'Readiness'

    async def start(self) -> None:
        """Start every service; raise OSError when an address is taken."""
        await self.kernel.start()
        settings = self.settings.current
        self.telemetry.observe(
            DaemonStarted(settings.vm, settings.data_centre, settings.ingress)
        )

    async def stop(self, reason: str) -> None:
        """Stop as planned: no new work, then finish what is in progress."""
        self.telemetry.observe(DaemonStopping(self.settings.current.vm, reason))
        self.readiness.is_stopping = True
        self.gate.close(STOPPING)
        self.ingress.finish()
        seconds = self.settings.current.stop_ms / _MILLISECONDS
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._finish()
        self.telemetry.observe(
            DaemonStopped(
                self.settings.current.vm,
                self.ingress.in_progress,
                self.peers.in_progress,
            )
        )
        await self.kernel.stop()

    async def _finish(self) -> None:
        await asyncio.sleep(_LEAVE_SECONDS)
        self.ingress.close_idle()
        while True:
            if not (self.ingress.in_progress or self.peers.in_progress):
                return
            await asyncio.sleep(_FINISH_POLL_SECONDS)


class Readiness:
    """Tells whether clients should come to this daemon."""

    def __init__(self, keeper: PictureKeeper) -> None:
        """Be ready as soon as there is a picture."""
        self._keeper = keeper
        self.is_stopping = False

    def is_ready(self) -> bool:
        """Return whether the daemon takes requests."""
        return self._keeper.current is not None and not self.is_stopping


class Base(NamedTuple):
    """What every service is built on."""

    watch: SettingsWatch
    names: HeaderNames
    clock: BootClock
    random: Random
    telemetry: Telemetry
    keeper: PictureKeeper
    incarnation: int

    @property
    def settings(self) -> SidecarSettings:
        """Return the settings in force."""
        return self.watch.current

    def tolerance(self) -> Tolerance:
        """Return the tolerance of quotas in force."""
        settings = self.settings
        return Tolerance(
            settings.quota_window_seconds,
            settings.quota_overage,
            settings.quota_slack,
        )


def build_daemon(base: Base, source: Source) -> Daemon:
    """Make every service of the daemon; nothing runs before its start."""
    settings = base.settings
    gate, local, peers = _build_gate(base)
    notices = Notices(
        parse_address(settings.peers), _report_fault(base.telemetry.observe)
    )
    demand = Demand(notices.host, base.clock)
    quotas = _build_quotas(base, demand, notices)
    ingress = _build_ingress(base, peers, quotas)
    readiness = Readiness(base.keeper)
    reader = SourceReader(
        source, base.keeper, base.clock, base.random, base.telemetry.observe
    )
    base.keeper.subscribe(local.follow)
    kernel = Kernel()
    kernel.register('settings', base.watch)
    kernel.register('source_reader', reader)
    kernel.register('local_upstream', local)
    kernel.register('peers', peers)
    kernel.register('notices', notices)
    kernel.register(
        'demand_reporter',
        DemandReporter(demand, notices, lambda: quotas.hosts, base.incarnation),
    )
    kernel.register('ingress', ingress)
    kernel.register(
        'readiness',
        HttpListener(
            parse_address(settings.readiness),
            answer_readiness(readiness.is_ready),
        ),
    )
    if settings.metrics_port is not None:
        host = parse_address(settings.ingress).host
        kernel.register(
            'metrics',
            HttpListener(
                Address(host, settings.metrics_port),
                answer_metrics(base.telemetry.render),
            ),
        )
    return Daemon(
        base.watch, kernel, base.telemetry, gate, peers, ingress, readiness
    )


def build_base(
    path: Path, settings: SidecarSettings, names: HeaderNames
) -> Base:
    """Make what every service is built on."""
    output = BoundedOutput(_STDOUT, settings.log_lines_per_second)
    telemetry = Telemetry(open_event_log(settings.log_level, output))
    clock = BootClock()
    return Base(
        SettingsWatch(path, settings, telemetry.observe),
        names,
        clock,
        SystemRandom(),
        telemetry,
        PictureKeeper(clock, telemetry.observe),
        int(time.time() * _MILLISECONDS),
    )


def _build_gate(base: Base) -> tuple[Gate, LocalUpstream, PeerCalls]:
    settings, observe = base.settings, base.telemetry.observe
    warm_up = WarmUp(base.clock)
    gate = Gate(base.clock, warm_up)
    upstream = Upstream(
        parse_address(settings.upstream),
        base.names,
        base.clock,
        lambda ended: local.note_connection(ended),
    )
    local = LocalUpstream(
        parse_address(settings.upstream),
        settings.data_centre,
        UpstreamParts(upstream, gate, warm_up),
        base.clock,
        observe,
    )
    peers = PeerCalls(
        settings.vm,
        settings.data_centre,
        parse_address(settings.peers),
        base.incarnation,
        GateService(gate, upstream, local, base.clock, observe),
        _report_fault(observe),
        lambda error: observe(HandlerFailed(repr(error))),
    )
    return gate, local, peers


def _build_quotas(base: Base, demand: Demand, notices: Notices) -> Quotas:
    homes = Homes(notices.host, base.clock, base.tolerance)
    borrowing = Borrowing(notices, homes)
    quotas = Quotas(base.clock, base.tolerance, demand, borrowing.borrow)

    def follow(picture: Picture) -> None:
        hosts = {one.address.host for one in picture.endpoints}
        accounts = picture.configuration.accounts
        quotas.note_members(hosts)
        quotas.keep(accounts)
        homes.keep(accounts, hosts)

    base.keeper.subscribe(follow)
    return quotas


def _build_ingress(
    base: Base, peers: PeerCalls, quotas: Quotas
) -> HttpListener:
    settings, keeper = base.settings, base.keeper
    selector = Selector(
        base.clock, base.random, settings.data_centre, Distance()
    )

    keeper.subscribe(selector.keep)
    slack_per_second = settings.retry_slack * _RETRY_PART / _WINDOW_SECONDS
    forwarder = Forwarder(
        selector,
        peers,
        base.clock,
        settings.retry_ratio * _RETRY_PART,
        lambda: slack_per_second / quotas.members,
    )
    handler = Ingress(
        IngressParts(
            keeper,
            Admission(
                keeper,
                quotas,
                base.names,
                lambda: base.settings.key_proof_ms / _MILLISECONDS,
            ),
            quotas,
            Splitter(base.random),
            forwarder,
        ),
        base.names,
        settings.service,
        base.clock,
        base.random,
        base.telemetry.observe,
    )

    def limits() -> IngressLimits:
        picture = keeper.current
        if picture is None:
            return IngressLimits()
        return picture.configuration.limits

    return HttpListener(parse_address(settings.ingress), handler, limits)


def _report_fault(
    observe: Callable[[NamedTuple], None],
) -> Callable[[FrameFault], None]:
    def report(fault: FrameFault) -> None:
        observe(FrameRejected(str(fault)))

    return report
