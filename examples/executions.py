"""An example that executes a payment at most once for each idempotency key.

Run it with ``python examples/executions.py``.
"""

import time
import uuid

from wagtailline.executions import (
    ExecutionRecords,
    Instant,
    Ownership,
    Run,
    StoredAnswer,
)


def current_instant() -> Instant:
    """Return the current time of the monotonic and of the wall clock."""
    return Instant(time.monotonic(), time.time())


def make_key(seconds_ahead: float = 0) -> str:
    """Return a UUID of version 7, whose timestamp gives the age of the key."""
    milliseconds = int((time.time() + seconds_ahead) * 1000)
    random_digits = uuid.uuid4().hex
    return str(
        uuid.UUID(
            f'{milliseconds:012x}7{random_digits[13:16]}8{random_digits[17:]}'
        )
    )


def main() -> None:
    """Send a payment twice to a gate that has run for an hour."""
    ownership = Ownership('ledger-0')
    hour_ago = Instant(time.monotonic() - 3600, time.time() - 3600)
    ownership.replace_positions(('ledger-0',), hour_ago)
    records = ExecutionRecords(ownership)
    records.confirm(current_instant())
    key = make_key()
    for attempt in ('first', 'resent'):
        outcome = records.begin(
            'studio', key, b'digest of the body', current_instant()
        )
        if isinstance(outcome, Run):
            with outcome.execution as execution:
                execution.mark_sent()
                execution.complete(StoredAnswer(200, (), b'paid'))
        print(attempt, type(outcome).__name__)


if __name__ == '__main__':
    main()
