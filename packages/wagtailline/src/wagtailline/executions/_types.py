"""Settings of the execution records and outcomes of beginning a request."""

from enum import Enum, unique
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]


class Instant(NamedTuple):
    """One moment on the monotonic clock and in Unix time, in seconds."""

    monotonic: float
    wall: float


class StoredAnswer(NamedTuple):
    """An answer that is stored for resends of its request.

    The body is None if it was too large; headers may be discarded with it.
    """

    status: int
    headers: Headers
    body: bytes | None


class AnswerAgain(NamedTuple):
    """The request has run already, with this answer."""

    answer: StoredAnswer


class KeyReused(NamedTuple):
    """The account has already used this key with another body."""


@unique
class UnknownReason(Enum):
    """Why it is unknown whether a request ran."""

    ENDED_WITHOUT_ANSWER = 'ended without answer'
    BEFORE_TAKEOVER = 'key is older than the record of this gate'
    RECORD_EVICTED = 'record was evicted'
    NO_KEY_TIME = 'key without a time, shortly after takeover or eviction'


class OutcomeUnknown(NamedTuple):
    """The request may have run, so it does not run now."""

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

    With ``earlier_unknown``, an earlier attempt may have run at another
    position, so the caller can be told only that this attempt did not run.
    """

    reason: NotRunReason
    earlier_unknown: bool = False


class ExecutionSettings(NamedTuple):
    """Bounds of the execution records, in time and memory."""

    # Callers resend a request only within this time after creating its key.
    resend_window_seconds: float = 600
    # Largest difference between the wall clocks of any two gates, and the
    # furthest that a key's time may be ahead of the clock of its gate.
    max_clock_skew_seconds: float = 2
    # A gate runs requests with keys only this long after its snapshot was
    # last confirmed to be current, so a former owner stops within this time.
    max_confirmation_age_seconds: float = 10
    max_records: int = 40_000
    max_records_per_account: int = 20_000
    max_accounts: int = 1_024
    max_answer_bytes: int = 65_536
    max_total_answer_bytes: int = 16_777_216
    max_key_length: int = 255
