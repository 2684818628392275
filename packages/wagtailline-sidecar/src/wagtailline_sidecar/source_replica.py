"""Copy of the items of the source, which watches keep current."""

import enum
import zlib
from collections.abc import Callable
from typing import NamedTuple, Protocol

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.source_revision import NO_REVISION, SourceRevision

# After a longer time without a refresh, all items are read instead of every
# version that there has been of them since.
MAX_HISTORY_SECONDS = 2.0


class LoadReason(enum.StrEnum):
    """Reason for which all items were read instead of the latest changes."""

    NONE = ''
    FIRST = 'first reading'
    IDLE = 'long without a reading'
    HISTORY_GONE = 'history gone'
    HISTORY_INCOMPLETE = 'history incomplete'
    NEW_ERA = 'new era'


class SourceItem(NamedTuple):
    """Item at the revision of its last change.

    ``content`` is None if the item was removed.
    """

    key: str
    revision: SourceRevision
    content: bytes | None


class SourcePage(NamedTuple):
    """Items in the order of their keys.

    ``revision`` is that of the whole source.
    """

    items: tuple[SourceItem, ...]
    revision: SourceRevision
    has_more: bool


class SourceChanges(NamedTuple):
    """Changes after a revision, and the revision of the whole source."""

    items: tuple[SourceItem, ...]
    revision: SourceRevision


class SourceReadEnded(NamedTuple):
    """Event: a reading of the source has ended.

    ``transfer_ms`` is the time from the first to the last byte of its answers,
    ``decode_ms`` that in which their items were decoded. ``load_reason`` tells
    why all items were read, and is empty if only changes were. ``version`` is
    that of the configuration that the source holds, or 0.
    """

    outcome: str
    received_bytes: int
    transfer_ms: int
    decode_ms: int
    load_reason: LoadReason = LoadReason.NONE
    revision: SourceRevision = NO_REVISION
    version: int = 0


class HistoryGone(Exception):
    """The source no longer has the changes since the watched revision."""


class SourceFailed(Exception):
    """The source gave no usable answer; the message says why."""


def _ignore_item(item: SourceItem) -> None:
    """Ignore an item; the default if no observer is set."""


def describe_earlier_era(era: int, known_era: int) -> str:
    """Return why an answer is not used that is of an earlier era."""
    return f'answer of era {era} after era {known_era}'


class SourceClient(Protocol):
    """Client that reads the items of the source."""

    async def read_page(self, after_key: str) -> SourcePage:
        """Return the items after a key."""

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> SourceChanges:
        """Return the changes after a revision as soon as there are any.

        They are those of the keys that begin with a prefix, after a number
        of the present era. Without a change, return after the given time.
        Raises HistoryGone or SourceFailed.
        """


class SourceReplica:
    """Copy of the source that is no older than the last refresh.

    The first refresh reads all items; later ones transfer only what has
    changed. Nothing may be stale: the revision of a stale answer can be one of
    the era before, from which a watch would go on in the present one. An
    answer of a watch is complete if its last change has the revision of the
    source. If it is not, the history is gone, or the source has been restored
    from a copy since, all items are read again. What was read in an earlier
    era is older than all items of a later one.

    ``era_start`` is the revision of the first answer of the present era.

    Items whose keys begin with ``prompt_prefix`` are small. Their changes can
    overtake the others with ``overtake``; ``prompt_revision`` is that of the
    last one that was applied.
    """

    def __init__(
        self,
        client: SourceClient,
        apply: Callable[[SourceItem], None],
        clock: MonotonicClock,
        prompt_prefix: str = '',
        on_conflict: Callable[[SourceItem], None] = _ignore_item,
    ) -> None:
        """Set up an empty copy that passes each change to ``apply``.

        ``on_conflict`` is called with an item that was received with another
        content at the same revision; the first one stays.
        """
        self._client = client
        self._apply = apply
        self._clock = clock
        self._on_conflict = on_conflict
        self._prompt_prefix = prompt_prefix
        self._refreshed_at = float('-inf')
        self._revisions: dict[str, SourceRevision] = {}
        # Of the contents at these revisions.
        self._checksums: dict[str, int] = {}
        self._removed_revisions: dict[str, SourceRevision] = {}
        self._is_loaded = False
        # Kept until all items have been read.
        self._pending_load = LoadReason.NONE
        self.load_reason = LoadReason.NONE
        self.avoids_history = False
        self.revision = NO_REVISION
        self.prompt_revision = NO_REVISION
        self.era_start = NO_REVISION

    async def refresh(self, wait_seconds: float) -> None:
        """Bring the copy to the state of the source at the time of the call.

        Without a change, waits up to ``wait_seconds`` for one. What was
        received before an exception of the client is kept. While
        ``avoids_history`` is set, only the latest state of large items is
        transferred, not each one since the last refresh. ``load_reason`` tells
        afterwards why all items were read, if they were.
        """
        self.load_reason = LoadReason.NONE
        if not self._is_loaded:
            self._pending_load = LoadReason.FIRST
        elif self._clock.monotonic() - self._refreshed_at > MAX_HISTORY_SECONDS:
            self._pending_load = LoadReason.IDLE
        if not self._pending_load:
            self._pending_load = await self._catch_up(wait_seconds)
        self.load_reason = self._pending_load
        if self._pending_load:
            await self._load()
            self._pending_load = LoadReason.NONE
            self._is_loaded = True
        self._refreshed_at = self._clock.monotonic()
        self.prompt_revision = max(self.prompt_revision, self.revision)
        self._removed_revisions = {
            key: revision
            for key, revision in self._removed_revisions.items()
            if revision > self.revision
        }

    async def overtake(self, client: SourceClient, wait_seconds: float) -> None:
        """Apply changes of small items while a refresh goes on.

        ``client`` has a connection of its own. Raises HistoryGone for those
        of another era, which the refresh finds itself.
        """
        changes = await client.watch(
            self._prompt_prefix, self.prompt_revision.number, wait_seconds
        )
        if changes.revision.era != self.prompt_revision.era:
            raise HistoryGone
        for change in changes.items:
            self._apply_newer(change)
            self.prompt_revision = max(self.prompt_revision, change.revision)

    async def _catch_up(self, wait_seconds: float) -> LoadReason:
        """Apply the changes since the last refresh.

        Return why all items have to be read if these are not all changes.
        """
        prefix = self._prompt_prefix if self.avoids_history else ''
        try:
            changes = await self._client.watch(
                prefix, self.revision.number, wait_seconds
            )
        except HistoryGone:
            return LoadReason.HISTORY_GONE
        self._record_era(changes.revision)
        if self._begins_era(changes.revision):
            return LoadReason.NEW_ERA
        if self.avoids_history:
            is_complete = self._follow_small_items(changes)
        else:
            is_complete = self._follow(changes)
        return LoadReason.NONE if is_complete else LoadReason.HISTORY_INCOMPLETE

    def _follow(self, changes: SourceChanges) -> bool:
        """Apply changes; return whether they are all since the last refresh."""
        latest = {change.key: change for change in changes.items}
        for change in latest.values():
            self._apply_newer(change)
            self.revision = max(self.revision, change.revision)
        return self.revision >= changes.revision

    def _follow_small_items(self, changes: SourceChanges) -> bool:
        """Apply changes of small items; return whether there were no others.

        There were none if each revision since the last refresh is that of a
        small item.
        """
        numbers = {self.revision.number}
        for change in changes.items:
            self._apply_newer(change)
            numbers.add(change.revision.number)
        latest = changes.revision.number
        missing = latest - self.revision.number + 1 - len(numbers)
        if missing or max(numbers) > latest:
            return False
        self.revision = changes.revision
        return True

    async def _load(self) -> None:
        """Read all items.

        Pages are read one after the other, so the copy counts as one of the
        oldest page.
        """
        page = await self._client.read_page('')
        items, revision = list(page.items), page.revision
        self._record_era(revision)
        while page.has_more and page.items:
            page = await self._client.read_page(page.items[-1].key)
            if page.revision.era != revision.era:
                raise SourceFailed('a new era began between two pages')
            items.extend(page.items)
            revision = min(revision, page.revision)
        self._begins_era(revision)
        listed = {item.key for item in items}
        for listed_item in items:
            self._apply_newer(listed_item)
        for key in self._revisions.keys() - listed:
            self._apply_newer(SourceItem(key, revision, None))
        self.revision = revision
        self.prompt_revision = max(self.prompt_revision, revision)

    def _record_era(self, revision: SourceRevision) -> None:
        if revision.era > self.era_start.era:
            self.era_start = revision

    def _begins_era(self, revision: SourceRevision) -> bool:
        """Return whether an answer is of a later era than the copy.

        Raises SourceFailed for one of an earlier era.
        """
        if revision.era < self.revision.era:
            raise SourceFailed(
                describe_earlier_era(revision.era, self.revision.era)
            )
        return revision.era > self.revision.era

    def _apply_newer(self, item: SourceItem) -> None:
        known_revision = max(
            self._revisions.get(item.key, NO_REVISION),
            self._removed_revisions.get(item.key, NO_REVISION),
        )
        if item.revision <= known_revision:
            self._check_content(item)
            return
        if item.content is None:
            self._revisions.pop(item.key, None)
            self._checksums.pop(item.key, None)
            self._removed_revisions[item.key] = item.revision
        else:
            self._revisions[item.key] = item.revision
            self._checksums[item.key] = zlib.crc32(item.content)
        self._apply(item)

    def _check_content(self, item: SourceItem) -> None:
        """Report an item that differs from the one at the same revision."""
        if (
            item.content is not None
            and item.revision == self._revisions.get(item.key)
            and zlib.crc32(item.content) != self._checksums[item.key]
        ):
            self._on_conflict(item)
