"""Admission control for a local upstream.

A gate bounds the requests in progress by a concurrency limit that adapts to
the latency of the answers, and queues other requests fairly by client account.
"""

from wagtailline.admission._follow import apply_snapshot, follow_snapshots
from wagtailline.admission._gate import Gate, GateIdentity
from wagtailline.admission._outcomes import (
    Answered,
    Cancelled,
    ConnectionRefused,
    Outcome,
    RefusedByUpstream,
    ResetBeforeFirstByte,
    ResetDuringAnswer,
    TimedOut,
    Unused,
)
from wagtailline.admission._slot import Slot
from wagtailline.admission._types import (
    DeadlinePassed,
    Draining,
    GateRefusal,
    GateSettings,
    QueueFull,
    SuspectBlocked,
    Ticket,
    UpstreamDown,
    WaitTooLong,
)
from wagtailline.admission.messages import ADMISSION_KINDS, SuspectNotice

__all__ = (
    'ADMISSION_KINDS',
    'Answered',
    'Cancelled',
    'ConnectionRefused',
    'DeadlinePassed',
    'Draining',
    'Gate',
    'GateIdentity',
    'GateRefusal',
    'GateSettings',
    'Outcome',
    'QueueFull',
    'RefusedByUpstream',
    'ResetBeforeFirstByte',
    'ResetDuringAnswer',
    'Slot',
    'SuspectBlocked',
    'SuspectNotice',
    'Ticket',
    'TimedOut',
    'Unused',
    'UpstreamDown',
    'WaitTooLong',
    'apply_snapshot',
    'follow_snapshots',
)
