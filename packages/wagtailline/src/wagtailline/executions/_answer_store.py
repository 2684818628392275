"""Bounded memory for stored answers."""

from collections import OrderedDict

from wagtailline.executions._account import Record
from wagtailline.executions._types import ExecutionSettings, StoredAnswer

# Approximate memory of an answer beside its headers and body.
_ANSWER_BYTES = 200


class BodyStore:
    """Keeps answers of bounded size; the oldest lose their bodies first."""

    def __init__(self, settings: ExecutionSettings) -> None:
        """Begin empty."""
        self._settings = settings
        self._records: OrderedDict[Record, int] = OrderedDict()
        self._bytes = 0

    def keep(self, record: Record, answer: StoredAnswer) -> None:
        """Store an answer in its record, without its body if too large."""
        size = _size(answer)
        if size > self._settings.max_body_bytes:
            # Large headers are as much of a burden as a large body.
            record.answer = StoredAnswer(answer.status, (), None)
            return
        record.answer = answer
        self._records[record] = size
        self._bytes += size
        while self._bytes > self._settings.max_total_body_bytes:
            self.drop(next(iter(self._records)))

    def drop(self, record: Record) -> None:
        """Release the bytes of a record; its status stays known."""
        size = self._records.pop(record, 0)
        if record.answer is not None and size:
            self._bytes -= size
            record.answer = StoredAnswer(record.answer.status, (), None)


def _size(answer: StoredAnswer) -> int:
    named = sum(len(name) + len(text) for name, text in answer.headers)
    return named + len(answer.body or b'') + _ANSWER_BYTES
