"""Execution records of one client account."""

import asyncio
import math
from collections import OrderedDict
from enum import Enum, unique

from wagtailline.executions._types import StoredAnswer


@unique
class State(Enum):
    """How far an execution has got."""

    IN_PROGRESS = 1
    ANSWERED = 2
    LOST = 3


class Record:
    """One idempotency key of an account."""

    __slots__ = (
        'account',
        'answer',
        'body_digest',
        'created',
        'ended',
        'key',
        'recorded',
        'state',
    )

    def __init__(
        self,
        key: str,
        body_digest: bytes,
        created: float | None,
        recorded: float,
    ) -> None:
        """Begin in progress; ``recorded`` is a monotonic time."""
        self.account: AccountRecords | None = None
        self.key = key
        self.body_digest = body_digest
        self.created = created
        self.recorded = recorded
        self.state = State.IN_PROGRESS
        self.answer: StoredAnswer | None = None
        self.ended = asyncio.Event()


class AccountRecords:
    """Records in order of their beginning, and what was forgotten.

    A key that is not recorded has surely not run only if it was created
    after ``forgotten_until`` (Unix time). A key without a time has surely
    not run only when ``untimed_forgotten`` (monotonic) is a resend window
    in the past.
    """

    def __init__(self, name: str) -> None:
        """Begin without records."""
        self.name = name
        # Its first entry is found in constant time after many deletions.
        self.records: OrderedDict[str, Record] = OrderedDict()
        self.forgotten_until = -math.inf
        self.untimed_forgotten = -math.inf

    def evict_oldest(self, now: float) -> Record | None:
        """Forget the oldest ended record; None when all are in progress."""
        for record in self.records.values():
            if record.state is not State.IN_PROGRESS:
                self._forget(record, now)
                return record
        return None

    def remember(self, other: 'AccountRecords') -> None:
        """Take over what another entry has forgotten."""
        self.forgotten_until = max(self.forgotten_until, other.forgotten_until)
        self.untimed_forgotten = max(
            self.untimed_forgotten, other.untimed_forgotten
        )

    def _forget(self, record: Record, now: float) -> None:
        self.records.pop(record.key)
        if record.created is None:
            self.untimed_forgotten = now
        else:
            self.forgotten_until = max(self.forgotten_until, record.created)
