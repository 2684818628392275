"""Reader of the platform's lists of vms, and expiry of old members."""

from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from wagtailline.membership._listing import (
    VM_LIST_KEY,
    ListFault,
    ListMalformed,
    parse_vm_list,
)
from wagtailline.membership._local import LocalMember
from wagtailline.membership._members import Entry, Member, MemberStatus
from wagtailline.ports import Source, SourceFailure

ListFailure = SourceFailure | tuple[ListFault, ...]
ReportFailure = Callable[[str, ListFailure], None]
# Bounds the probes that start after one read of a remote list.
_MAX_PROBES_PER_READ = 8


class ListReader:
    """Reads the lists of vms and merges them into the member table."""

    def __init__(
        self, local: LocalMember, source: Source, report_failure: ReportFailure
    ) -> None:
        """Call ``report_failure`` for each list that cannot be read."""
        self._local = local
        self._source = source
        self._report_failure = report_failure
        self._listed: dict[str, dict[str, Member]] = {}
        self._parsed: dict[str, tuple[bytes, tuple[Member, ...]]] = {}
        self._read_at: dict[str, float] = {}
        self._unlisted: dict[str, set[str]] = {}

    async def read(self, data_centre: str) -> bool:
        """Read and merge one list; return whether it could be read."""
        match await self._fetch(data_centre):
            case Ok(listed):
                self._merge(data_centre, listed)
                return True
            case Err(failure):
                self._report_failure(data_centre, failure)
        return False

    def find_unlisted(self, data_centre: str) -> list[str]:
        """Return some answering members missing from two successive reads."""
        listed = self._listed.get(data_centre, {})
        unlisted = {
            member.endpoint
            for member in self._local.table.in_data_centre(data_centre)
            if member.endpoint not in listed
        }
        before = self._unlisted.get(data_centre, set())
        self._unlisted[data_centre] = unlisted
        unlisted_twice = sorted(unlisted & before)
        self._local.environment.random.shuffle(unlisted_twice)
        return unlisted_twice[:_MAX_PROBES_PER_READ]

    def expire(self) -> None:
        """Remove members that are long down, and ones no longer listed."""
        table = self._local.table
        now = self._local.now()
        for entry in table.not_answering(MemberStatus.DOWN):
            if self._is_expired(entry, now - entry.since):
                table.remove(entry.member.endpoint, now)
        for entry in table.not_answering(MemberStatus.LISTED):
            if not self._is_listed(entry.member):
                table.remove(entry.member.endpoint, now)

    def is_leaving(self, member: Member) -> bool:
        """Return whether the vm or the list says that the vm is leaving."""
        listed = self._listed.get(member.data_centre, {}).get(member.endpoint)
        if listed is None or listed.vm != member.vm:
            return member.leaving
        return member.leaving or listed.leaving

    async def _fetch(
        self, data_centre: str
    ) -> Result[tuple[Member, ...], ListFailure]:
        reading = await self._source.read(VM_LIST_KEY.format(data_centre))
        if isinstance(reading, Err):
            return reading
        content = reading.ok_value.content
        known = self._parsed.get(data_centre)
        # Parsing a list of 745 vms takes about 27 ms; unchanged content is
        # not parsed again.
        if known is not None and known[0] == content:
            return Ok(known[1])
        try:
            parsed = parse_vm_list(content, data_centre)
        except RecursionError:
            return Err((ListMalformed('nested too deeply'),))
        if isinstance(parsed, Ok):
            self._parsed[data_centre] = (content, parsed.ok_value)
        return parsed

    def _merge(self, data_centre: str, listed: Sequence[Member]) -> None:
        self._listed[data_centre] = {
            member.endpoint: member for member in listed
        }
        self._read_at[data_centre] = self._local.now()
        self._local.merge_listed(listed)

    def _is_listed(self, member: Member) -> bool:
        return member.endpoint in self._listed.get(member.data_centre, {})

    def _is_expired(self, entry: Entry, down_seconds: float) -> bool:
        settings = self._local.environment.settings
        member = entry.member
        if down_seconds > settings.max_retention_seconds:
            return True
        if member.leaving and down_seconds > settings.left_retention_seconds:
            return True
        # A list read before the member went down cannot tell whether the
        # platform has removed the vm.
        read_at = self._read_at.get(member.data_centre, float('-inf'))
        if self._is_listed(member) or read_at < entry.since:
            return False
        return down_seconds > settings.retention_seconds
