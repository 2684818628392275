"""Execution records of one client account."""

import asyncio
import math
from collections import OrderedDict
from enum import Enum, unique

from wagtailline.executions._types import StoredAnswer


@unique
class State(Enum):
    """The state of an execution."""

    IN_PROGRESS = 1
    ANSWERED = 2
    UNANSWERED = 3


class Record:
    """The execution record of one idempotency key of a client account."""

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
        """Create the record of an execution in progress.

        ``created`` is the Unix time in the key, None for a key without one.
        ``recorded`` is the time of this record on the monotonic clock.
        """
        self.account: AccountRecords | None = None
        self.key = key
        self.body_digest = body_digest
        self.created = created
        self.recorded = recorded
        self.state = State.IN_PROGRESS
        self.answer: StoredAnswer | None = None
        self.ended = asyncio.Event()


class AccountRecords:
    """Records of an account, oldest first, and the times of evicted ones.

    A key without a record is known not to have run only if it was created
    after ``evicted_until``, the latest creation time (Unix time) of any
    evicted key. A key that carries no time is known not to have run only
    when more than a resend window has passed since ``untimed_evicted_at``,
    the monotonic time at which such a key was last evicted.
    """

    def __init__(self, name: str) -> None:
        """Create an account without records."""
        self.name = name
        # An OrderedDict finds its first entry in constant time even after
        # many deletions at the front; a dict does not.
        self.records: OrderedDict[str, Record] = OrderedDict()
        self.evicted_until = -math.inf
        self.untimed_evicted_at = -math.inf

    def evict_oldest(self, now: float) -> Record | None:
        """Remove and return the oldest record that is not in progress.

        Return None when all are in progress.
        """
        for record in self.records.values():
            if record.state is not State.IN_PROGRESS:
                self._remove(record, now)
                return record
        return None

    def merge_eviction_times(self, other: 'AccountRecords') -> None:
        """Take the later of both accounts' eviction times."""
        self.evicted_until = max(self.evicted_until, other.evicted_until)
        self.untimed_evicted_at = max(
            self.untimed_evicted_at, other.untimed_evicted_at
        )

    def _remove(self, record: Record, now: float) -> None:
        self.records.pop(record.key)
        if record.created is None:
            self.untimed_evicted_at = now
        else:
            self.evicted_until = max(self.evicted_until, record.created)
