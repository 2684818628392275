"""At-most-once record of the executions at one position."""

import asyncio
import math
from typing import NamedTuple

from wagtailline.executions._account import AccountRecords, Record, State
from wagtailline.executions._keys import parse_key_time, placement_key
from wagtailline.executions._ownership import Ownership
from wagtailline.executions._record_store import Ledger
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
    """The one run of a key; use as a context manager.

    At the end of the context a run that was sent and has no answer is
    unknown for good, and one that was not sent may begin again.
    """

    def __init__(self, records: 'ExecutionRecords', record: Record) -> None:
        """Belong to a record in progress."""
        self._records = records
        self._record = record
        self._sent = False

    def __enter__(self) -> 'Execution':
        """Return the execution itself."""
        return self

    def __exit__(self, *failure: object) -> None:
        """End the execution unless it has ended."""
        self.close()

    def mark_sent(self) -> None:
        """Note, before the first byte, that the upstream may begin."""
        self._sent = True

    def mark_not_begun(self) -> None:
        """Note that the upstream has surely not begun after all."""
        self._sent = False

    def complete(self, answer: StoredAnswer) -> None:
        """Keep the answer for resends."""
        self._records.complete(self._record, answer)

    def close(self) -> None:
        """End the execution unless it has ended."""
        self._records.abandon(self._record, self._sent)


class Run(NamedTuple):
    """The request runs now, under this execution."""

    execution: Execution


class InProgress(NamedTuple):
    """The request runs already; begin again when that has ended."""

    ended: asyncio.Event


BeginOutcome = (
    Run | AnswerAgain | InProgress | OutcomeUnknown | RefusedNotRun | KeyReused
)


class ExecutionRecords:
    """Grants each key of an account at most one execution.

    A record is evicted when it is older than the resend window or when the
    bounds are reached, oldest first, from the account with the most. What
    was evicted is remembered as a time: keys created up to it are unknown.
    """

    def __init__(
        self,
        ownership: Ownership,
        settings: ExecutionSettings = DEFAULT_SETTINGS,
    ) -> None:
        """Begin without records and without a confirmed snapshot."""
        self._ownership = ownership
        self._settings = settings
        self._ledger = Ledger(settings)
        self._confirmed = Instant(-math.inf, -math.inf)

    def __len__(self) -> int:
        """Return the number of records."""
        return self._ledger.count

    def confirm(self, asked: Instant) -> None:
        """Note that snapshot and position were current at this moment.

        It is the moment before the confirming request was sent.
        """
        self._confirmed = max(self._confirmed, asked)

    def begin(
        self, client_account: str, key: str, body_digest: bytes, now: Instant
    ) -> BeginOutcome:
        """Decide whether the request with this key runs."""
        known = self._ledger.account(client_account).records.get(key)
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
        """Keep the answer of an execution in progress."""
        if record.state is State.IN_PROGRESS:
            record.state = State.ANSWERED
            self._ledger.keep_answer(record, answer)
            record.ended.set()

    def abandon(self, record: Record, sent: bool) -> None:
        """End an execution in progress that has no answer."""
        if record.state is not State.IN_PROGRESS:
            return
        record.state = State.LOST
        if not sent:
            self._ledger.withdraw(record)
        record.ended.set()

    def _begin_new(
        self, client_account: str, key: str, body_digest: bytes, now: Instant
    ) -> BeginOutcome:
        if not 0 < len(key) <= self._settings.max_key_length:
            return RefusedNotRun(NotRunReason.KEY_INVALID)
        since = self._ownership.owned_since(placement_key(client_account, key))
        if since is None:
            return RefusedNotRun(NotRunReason.NOT_OWNER, earlier_unknown=True)
        created = parse_key_time(key)
        account = self._ledger.account(client_account)
        doubt = self._check_unknown(account, created, since, now)
        if doubt is not None:
            return OutcomeUnknown(doubt)
        refusal = self._check_time(created, now)
        if refusal is not None:
            return refusal
        record = Record(key, body_digest, created, now.monotonic)
        if self._ledger.add(client_account, record):
            return Run(Execution(self, record))
        return RefusedNotRun(NotRunReason.RECORDS_FULL)

    def _check_unknown(
        self,
        account: AccountRecords,
        created: float | None,
        since: Instant,
        now: Instant,
    ) -> UnknownReason | None:
        settings = self._settings
        # The former owner's clock may be ahead of this one by an allowance,
        # and it accepts keys that are ahead of its own clock by another.
        allowances = 2 * settings.clock_allowance
        grace = settings.snapshot_confirmed_within + allowances
        if created is None:
            last = max(since.monotonic + grace, account.untimed_forgotten)
            if now.monotonic <= last + settings.resend_window:
                return UnknownReason.NO_KEY_TIME
        elif created <= since.wall + grace:
            return UnknownReason.BEFORE_TAKEOVER
        elif created <= account.forgotten_until:
            return UnknownReason.FORGOTTEN
        return None

    def _check_time(
        self, created: float | None, now: Instant
    ) -> RefusedNotRun | None:
        settings = self._settings
        ahead = created is not None and (
            created > now.wall + settings.clock_allowance
        )
        if ahead:
            return RefusedNotRun(NotRunReason.KEY_FROM_FUTURE)
        # The monotonic clock may stand still while a VM is suspended.
        age = max(
            now.monotonic - self._confirmed.monotonic,
            now.wall - self._confirmed.wall,
        )
        if age > settings.snapshot_confirmed_within:
            return RefusedNotRun(
                NotRunReason.SNAPSHOT_STALE, earlier_unknown=True
            )
        return None
