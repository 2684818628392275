"""Storage of the records of all client accounts within bounds."""

from wagtailline.executions._account import AccountRecords, Record, State
from wagtailline.executions._answer_store import AnswerStore
from wagtailline.executions._types import ExecutionSettings, StoredAnswer


class RecordStore:
    """Holds a bounded number of records and evicts the oldest ended ones.

    Records in progress are never evicted. An account at its own bound
    evicts its oldest record. At the bound over all accounts, the account
    with the most records evicts one.
    """

    def __init__(self, settings: ExecutionSettings) -> None:
        """Create an empty store."""
        self.count = 0
        self._settings = settings
        self._accounts: dict[str, AccountRecords] = {}
        self._answers = AnswerStore(settings)
        # Eviction times of removed accounts; they hold for every account
        # without an entry, as any of them may have been removed.
        self._removed_accounts = AccountRecords('')

    def account(self, name: str) -> AccountRecords:
        """Return the records and eviction times of an account.

        An account without an entry has no records and the eviction times
        of all removed accounts; no entry is added for it.
        """
        return self._accounts.get(name, self._removed_accounts)

    def add(self, name: str, record: Record) -> bool:
        """Add a record; return False when a bound leaves no room for it."""
        account = self._accounts.get(name) or self._add_account(name)
        if account is None:
            return False
        self._evict_expired(account, record.recorded)
        if not self._ensure_room(account, record.recorded):
            return False
        record.account = account
        account.records[record.key] = record
        self.count += 1
        return True

    def remove(self, record: Record) -> None:
        """Remove a record whose request has not begun to run."""
        if record.account is not None:
            record.account.records.pop(record.key)
            record.account = None
            self.count -= 1

    def store_answer(self, record: Record, answer: StoredAnswer) -> None:
        """Store an answer in its record."""
        self._answers.store(record, answer)

    def _ensure_room(self, account: AccountRecords, now: float) -> bool:
        if len(account.records) >= self._settings.max_records_per_account:
            return self._evict_oldest(account, now)
        if self.count < self._settings.max_records:
            return True
        largest = max(
            self._accounts.values(), key=lambda entry: len(entry.records)
        )
        return self._evict_oldest(largest, now)

    def _evict_expired(self, account: AccountRecords, now: float) -> None:
        expired_until = now - self._settings.resend_window_seconds
        while account.records:
            oldest = next(iter(account.records.values()))
            if (
                oldest.recorded > expired_until
                or oldest.state is State.IN_PROGRESS
            ):
                return
            self._evict_oldest(account, now)

    def _evict_oldest(self, account: AccountRecords, now: float) -> bool:
        evicted = account.evict_oldest(now)
        if evicted is None:
            return False
        self._answers.reduce_to_status(evicted)
        self.count -= 1
        return True

    def _add_account(self, name: str) -> AccountRecords | None:
        if len(self._accounts) >= self._settings.max_accounts:
            smallest = min(
                self._accounts.values(), key=lambda entry: len(entry.records)
            )
            if not self._remove_account(smallest):
                return None
        account = AccountRecords(name)
        account.merge_eviction_times(self._removed_accounts)
        self._accounts[name] = account
        return account

    def _remove_account(self, account: AccountRecords) -> bool:
        while account.records:
            oldest = next(iter(account.records.values()))
            if not self._evict_oldest(account, oldest.recorded):
                return False
        self._accounts.pop(account.name)
        self._removed_accounts.merge_eviction_times(account)
        return True
