"""Builds the services and values that all other services depend on."""

import time
from random import Random, SystemRandom
from typing import NamedTuple

from wagtailline.admission import ADMISSION_KINDS
from wagtailline.allowance import ALLOWANCE_KINDS
from wagtailline.calls import CALL_KINDS
from wagtailline.codec import Codec
from wagtailline.distribution import DISTRIBUTION_KINDS
from wagtailline.membership import MEMBERSHIP_KINDS, Member, MemberTable
from wagtailline.messages import CONNECTION_KINDS
from wagtailline.peer_requests import ENVELOPE_KINDS
from wagtailline.ports import Clock, LoopClock
from wagtailline.service_registry import ServiceRegistry
from wagtailline.snapshot import SnapshotStore
from wagtailline_daemon.events import EventLog, open_event_log
from wagtailline_daemon.monitoring import (
    Metrics,
    Tracing,
    open_metrics,
    open_tracing,
)
from wagtailline_daemon.settings import DaemonSettings

_MILLISECONDS_PER_SECOND = 1000


class CoreServices(NamedTuple):
    """Services and values that all other services depend on."""

    settings: DaemonSettings
    registry: ServiceRegistry
    events: EventLog
    metrics: Metrics
    tracing: Tracing
    clock: Clock
    random: Random
    store: SnapshotStore
    member: Member
    members: MemberTable
    codec: Codec


def build_core(settings: DaemonSettings) -> CoreServices:
    """Return the core services for the given settings."""
    random = SystemRandom()
    codec = Codec(
        {
            **CONNECTION_KINDS,
            **ENVELOPE_KINDS,
            **DISTRIBUTION_KINDS,
            **MEMBERSHIP_KINDS,
            **ALLOWANCE_KINDS,
            **ADMISSION_KINDS,
            **CALL_KINDS,
        }
    )
    return CoreServices(
        settings=settings,
        registry=ServiceRegistry(),
        events=open_event_log(settings.log_level),
        metrics=open_metrics(settings.statsd_host, settings.statsd_port),
        tracing=open_tracing(
            settings.trace_exporter,
            settings.trace_target,
            settings.vm,
            settings.trace_ratio,
            random,
        ),
        clock=LoopClock(),
        random=random,
        store=SnapshotStore(),
        member=Member(
            endpoint=settings.endpoint,
            vm=settings.vm,
            data_centre=settings.data_centre,
            address=settings.peer_address,
            incarnation=int(time.time() * _MILLISECONDS_PER_SECOND),
        ),
        members=MemberTable(),
        codec=codec,
    )
