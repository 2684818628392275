"""At-most-once execution of requests that carry an idempotency key.

Rendezvous hashing assigns each key to one position of the service. The gate
at that position, which runs beside the upstream, keeps the record of the
key's execution.
"""

from wagtailline.executions._keys import parse_key_time, placement_key
from wagtailline.executions._ownership import Ownership
from wagtailline.executions._records import (
    BeginOutcome,
    Execution,
    ExecutionRecords,
    InProgress,
    Run,
)
from wagtailline.executions._types import (
    AnswerAgain,
    ExecutionSettings,
    Instant,
    KeyReused,
    NotRunReason,
    OutcomeUnknown,
    RefusedNotRun,
    StoredAnswer,
    UnknownReason,
)

__all__ = (
    'AnswerAgain',
    'BeginOutcome',
    'Execution',
    'ExecutionRecords',
    'ExecutionSettings',
    'InProgress',
    'Instant',
    'KeyReused',
    'NotRunReason',
    'OutcomeUnknown',
    'Ownership',
    'RefusedNotRun',
    'Run',
    'StoredAnswer',
    'UnknownReason',
    'parse_key_time',
    'placement_key',
)
