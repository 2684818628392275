"""Outcomes of asking for an execution."""

from enum import Enum, unique
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]


class Instant(NamedTuple):
    """One moment on the monotonic clock and as Unix time, in seconds."""

    monotonic: float
    wall: float


class StoredAnswer(NamedTuple):
    """An answer kept for resends; the body is None when it was too large."""

    status: int
    headers: Headers
    body: bytes | None


class AnswerAgain(NamedTuple):
    """The request ran; this is its answer."""

    answer: StoredAnswer


class KeyReused(NamedTuple):
    """The account used this key with another body."""


@unique
class UnknownReason(Enum):
    """Why nobody can tell whether a request ran."""

    ENDED_WITHOUT_ANSWER = 'ended without answer'
    BEFORE_TAKEOVER = 'key is older than the record of this gate'
    FORGOTTEN = 'record was evicted'
    NO_KEY_TIME = 'key without a time, shortly after takeover or eviction'


class OutcomeUnknown(NamedTuple):
    """The request may have run, and does not run again."""

    reason: UnknownReason


@unique
class NotRunReason(Enum):
    """Why a request is refused."""

    NOT_OWNER = 'another position owns the key'
    SNAPSHOT_STALE = 'snapshot was not confirmed recently'
    KEY_FROM_FUTURE = 'key time is ahead of the clock'
    KEY_INVALID = 'key is empty or too long'
    RECORDS_FULL = 'too many executions in progress'


class RefusedNotRun(NamedTuple):
    """This attempt does not run.

    With ``earlier_unknown`` another position may have run an earlier
    attempt, so the caller may only be told "not run" of this one.
    """

    reason: NotRunReason
    earlier_unknown: bool = False


class ExecutionSettings(NamedTuple):
    """Bounds of the record; durations in seconds."""

    # Callers resend within this time after they made the key.
    resend_window: float = 600
    # Largest difference between the clocks of any two gates, and by which a
    # key's time may be ahead of the gate.
    clock_allowance: float = 2
    # A gate runs keyed calls only this long after its snapshot was confirmed
    # current, so a former owner stops within it.
    snapshot_confirmed_within: float = 10
    max_records: int = 40_000
    max_records_per_account: int = 20_000
    max_accounts: int = 1_024
    max_body_bytes: int = 65_536
    max_total_body_bytes: int = 16_777_216
    max_key_length: int = 255
