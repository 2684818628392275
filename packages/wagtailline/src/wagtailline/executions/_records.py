"""Decision whether a request with an idempotency key runs."""

import asyncio
import math
from typing import NamedTuple

from wagtailline.executions._account import AccountRecords, Record, State
from wagtailline.executions._keys import parse_key_time, placement_key
from wagtailline.executions._ownership import Ownership
from wagtailline.executions._record_store import RecordStore
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

DEFAULT_SETTINGS = ExecutionSettings()


class Execution:
    """The only execution of a key, as a context manager.

    When the context ends without an answer, the outcome of a request that
    was sent stays unknown, and one that was not sent may begin again.
    """

    def __init__(self, records: 'ExecutionRecords', record: Record) -> None:
        """Create the execution of a record in progress."""
        self._records = records
        self._record = record
        self._sent = False

    def __enter__(self) -> 'Execution':
        """Return this execution."""
        return self

    def __exit__(self, *failure: object) -> None:
        """Close the execution."""
        self.close()

    def mark_sent(self) -> None:
        """Record that the upstream may run the request from now on.

        Call this before the first byte is sent.
        """
        self._sent = True

    def mark_not_sent(self) -> None:
        """Record that the upstream is known not to have run the request."""
        self._sent = False

    def complete(self, answer: StoredAnswer) -> None:
        """Store the answer for resends and end the execution."""
        self._records.complete(self._record, answer)

    def close(self) -> None:
        """End the execution, without an answer unless it has one."""
        self._records.abandon(self._record, self._sent)


class Run(NamedTuple):
    """The request is to run now; ``execution`` records its outcome."""

    execution: Execution


class InProgress(NamedTuple):
    """The request is running; begin again once ``ended`` is set."""

    ended: asyncio.Event


BeginOutcome = (
    Run | AnswerAgain | InProgress | OutcomeUnknown | RefusedNotRun | KeyReused
)


class ExecutionRecords:
    """Permits at most one execution for each key of a client account.

    Records are evicted once they are older than the resend window, and
    earlier at the bounds on their number: at the bound of an account its
    oldest record, at the bound over all accounts the oldest of the account
    with the most. For evicted records only a time is kept: the outcome of
    unrecorded keys that were created up to it is unknown.
    """

    def __init__(
        self,
        ownership: Ownership,
        settings: ExecutionSettings = DEFAULT_SETTINGS,
    ) -> None:
        """Create records that run nothing until the snapshot is confirmed."""
        self._ownership = ownership
        self._settings = settings
        self._store = RecordStore(settings)
        self._confirmed_at = Instant(-math.inf, -math.inf)

    def __len__(self) -> int:
        """Return the number of records."""
        return self._store.count

    def confirm(self, asked_at: Instant) -> None:
        """Record that the snapshot and the position were current at a time.

        ``asked_at`` is the time before the confirming request was sent.
        """
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def begin(
        self, client_account: str, key: str, body_digest: bytes, now: Instant
    ) -> BeginOutcome:
        """Begin the request with this key, or return why it does not run."""
        known = self._store.account(client_account).records.get(key)
        if known is None:
            return self._begin_new(client_account, key, body_digest, now)
        if known.body_digest != body_digest:
            return KeyReused()
        match known.state, known.answer:
            case State.IN_PROGRESS, _:
                return InProgress(known.ended)
            case State.ANSWERED, StoredAnswer() as answer:
                return AnswerAgain(answer)
        return OutcomeUnknown(UnknownReason.ENDED_WITHOUT_ANSWER)

    def complete(self, record: Record, answer: StoredAnswer) -> None:
        """Store the answer of an execution that is in progress and end it."""
        if record.state is State.IN_PROGRESS:
            record.state = State.ANSWERED
            self._store.store_answer(record, answer)
            record.ended.set()

    def abandon(self, record: Record, sent: bool) -> None:
        """End an execution that is in progress without an answer.

        Unless its request was sent, the record is removed.
        """
        if record.state is not State.IN_PROGRESS:
            return
        record.state = State.UNANSWERED
        if not sent:
            self._store.remove(record)
        record.ended.set()

    def _begin_new(
        self, client_account: str, key: str, body_digest: bytes, now: Instant
    ) -> BeginOutcome:
        if not 0 < len(key) <= self._settings.max_key_length:
            return RefusedNotRun(NotRunReason.KEY_INVALID)
        owned_since = self._ownership.owned_since(
            placement_key(client_account, key)
        )
        if owned_since is None:
            return RefusedNotRun(NotRunReason.NOT_OWNER, earlier_unknown=True)
        created = parse_key_time(key)
        account = self._store.account(client_account)
        unknown_reason = self._find_unknown_reason(
            account, created, owned_since, now
        )
        if unknown_reason is not None:
            return OutcomeUnknown(unknown_reason)
        refusal = self._find_refusal(created, now)
        if refusal is not None:
            return refusal
        record = Record(key, body_digest, created, now.monotonic)
        if self._store.add(client_account, record):
            return Run(Execution(self, record))
        return RefusedNotRun(NotRunReason.RECORDS_FULL)

    def _find_unknown_reason(
        self,
        account: AccountRecords,
        created: float | None,
        owned_since: Instant,
        now: Instant,
    ) -> UnknownReason | None:
        settings = self._settings
        # The former owner's clock may be ahead of this one by the largest
        # skew, and it accepts keys ahead of its own clock by as much again.
        skews = 2 * settings.max_clock_skew_seconds
        handover = settings.max_confirmation_age_seconds + skews
        if created is None:
            unrecorded_until = max(
                owned_since.monotonic + handover, account.untimed_evicted_at
            )
            if (
                now.monotonic
                <= unrecorded_until + settings.resend_window_seconds
            ):
                return UnknownReason.NO_KEY_TIME
        elif created <= owned_since.wall + handover:
            return UnknownReason.BEFORE_TAKEOVER
        elif created <= account.evicted_until:
            return UnknownReason.RECORD_EVICTED
        return None

    def _find_refusal(
        self, created: float | None, now: Instant
    ) -> RefusedNotRun | None:
        settings = self._settings
        is_from_future = created is not None and (
            created > now.wall + settings.max_clock_skew_seconds
        )
        if is_from_future:
            return RefusedNotRun(NotRunReason.KEY_FROM_FUTURE)
        # The monotonic clock may stop while a virtual machine is suspended.
        age = max(
            now.monotonic - self._confirmed_at.monotonic,
            now.wall - self._confirmed_at.wall,
        )
        if age > settings.max_confirmation_age_seconds:
            return RefusedNotRun(
                NotRunReason.SNAPSHOT_STALE, earlier_unknown=True
            )
        return None
