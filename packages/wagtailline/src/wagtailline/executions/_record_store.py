"""Records of all accounts in bounded memory."""

from wagtailline.executions._account import AccountRecords, Record, State
from wagtailline.executions._answer_store import BodyStore
from wagtailline.executions._types import ExecutionSettings, StoredAnswer


class Ledger:
    """Evicts ended records only, and remembers up to when it did.

    An account at its bound evicts its own oldest record. At the bound of
    all accounts, the one with the most records does.
    """

    def __init__(self, settings: ExecutionSettings) -> None:
        """Begin without records."""
        self.count = 0
        self._settings = settings
        self._accounts: dict[str, AccountRecords] = {}
        self._bodies = BodyStore(settings)
        # Stands for accounts whose own entry was dropped.
        self._dropped = AccountRecords('')

    def account(self, name: str) -> AccountRecords:
        """Return what is known of an account, without adding it."""
        return self._accounts.get(name, self._dropped)

    def add(self, name: str, record: Record) -> bool:
        """Add a record; False when nothing can be evicted for it."""
        account = self._accounts.get(name) or self._add_account(name)
        if account is None:
            return False
        self._expire(account, record.recorded)
        if not self._make_room(account, record.recorded):
            return False
        record.account = account
        account.records[record.key] = record
        self.count += 1
        return True

    def withdraw(self, record: Record) -> None:
        """Remove a record whose request has not begun."""
        if record.account is not None:
            record.account.records.pop(record.key)
            record.account = None
            self.count -= 1

    def keep_answer(self, record: Record, answer: StoredAnswer) -> None:
        """Store an answer in its record."""
        self._bodies.keep(record, answer)

    def _make_room(self, account: AccountRecords, now: float) -> bool:
        if len(account.records) >= self._settings.max_records_per_account:
            return self._evict(account, now)
        if self.count < self._settings.max_records:
            return True
        largest = max(self._accounts.values(), key=lambda one: len(one.records))
        return self._evict(largest, now)

    def _expire(self, account: AccountRecords, now: float) -> None:
        limit = now - self._settings.resend_window
        while account.records:
            oldest = next(iter(account.records.values()))
            if oldest.recorded > limit or oldest.state is State.IN_PROGRESS:
                return
            self._evict(account, now)

    def _evict(self, account: AccountRecords, now: float) -> bool:
        evicted = account.evict_oldest(now)
        if evicted is None:
            return False
        self._bodies.drop(evicted)
        self.count -= 1
        return True

    def _add_account(self, name: str) -> AccountRecords | None:
        if len(self._accounts) >= self._settings.max_accounts:
            smallest = min(
                self._accounts.values(), key=lambda one: len(one.records)
            )
            if not self._drop_account(smallest):
                return None
        account = AccountRecords(name)
        account.remember(self._dropped)
        self._accounts[name] = account
        return account

    def _drop_account(self, account: AccountRecords) -> bool:
        while account.records:
            oldest = next(iter(account.records.values()))
            if not self._evict(account, oldest.recorded):
                return False
        self._accounts.pop(account.name)
        self._dropped.remember(account)
        return True
