"""Exchange of crashes of requests with the daemons that keep their history.

A few daemons keep the history of each request. They are found by its digest,
so every daemon reports to the same ones, however many there are.
"""

import asyncio

from wagtailline.codec import Message
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.crash_history import CrashHistory
from wagtailline_sidecar.datagram_replies import DatagramReplies
from wagtailline_sidecar.datagrams import (
    CrashCleared,
    CrashCount,
    CrashReport,
    DatagramEndpoint,
)
from wagtailline_sidecar.members import Members

# The history outlives a daemon and a data centre.
KEEPERS = 3
# A VM with a CPU quota may be throttled for most of 100 ms before it replies.
REPLY_TIMEOUT_SECONDS = 0.08
# A keeper that knows of no crash is not asked again for this time. A crash has
# to be known everywhere within 3 s.
NO_CRASHES_SECONDS = 1.0
_MILLISECONDS_PER_SECOND = 1000


class CrashKeepers:
    """Client of the keepers, and the part of the history kept here."""

    def __init__(
        self,
        datagrams: DatagramEndpoint,
        members: Members,
        clock: MonotonicClock,
    ) -> None:
        """Subscribe to reports and replies at the datagram endpoint."""
        self._datagrams = datagrams
        self._members = members
        self._kept = CrashHistory(clock)
        # What this daemon saw itself, for when no keeper replies.
        self._seen = CrashHistory(clock)
        self._replies: DatagramReplies[CrashCount] = DatagramReplies()
        self._no_crashes_until: dict[str, float] = {}
        self._clock = clock
        datagrams.subscribe(self._receive)

    async def report(
        self, digest: bytes, ran_seconds: float, *, is_crash: bool
    ) -> int:
        """Report how an attempt failed; return how often the request crashed.

        Without a crash, it only asks. The keepers' highest count is returned,
        or that of this daemon if none replies.
        """
        report = self._make_report(digest, ran_seconds, is_crash=is_crash)
        return await self._report_to(self._find_keepers(digest), report)

    def tell(self, digest: bytes, ran_seconds: float) -> int:
        """Report a crash and expect no reply.

        Return how often the request crashed as far as this daemon knows.
        """
        report = self._make_report(digest, ran_seconds, is_crash=True)
        hosts = self._find_keepers(digest)
        self._datagrams.send(report, hosts)
        seen = _apply_report(self._seen, report)
        if self._datagrams.host in hosts:
            seen = max(seen, _apply_report(self._kept, report))
        return seen

    async def count(self, digest: bytes) -> int:
        """Return how often a request crashed, over all daemons.

        Keepers that have just said that they know of no crash are not asked.
        """
        now = self._clock.monotonic()
        hosts = tuple(
            host
            for host in self._find_keepers(digest)
            if self._no_crashes_until.get(host, now) <= now
        )
        report = self._make_report(digest, 0, is_crash=False)
        return await self._report_to(hosts, report)

    def clear(self, digest: bytes) -> None:
        """Report that an upstream has answered the request."""
        self._seen.forget(digest)
        self._kept.forget(digest)
        self._datagrams.send(CrashCleared(digest), self._find_keepers(digest))

    def _make_report(
        self, digest: bytes, ran_seconds: float, *, is_crash: bool
    ) -> CrashReport:
        ran_ms = int(max(ran_seconds, 0) * _MILLISECONDS_PER_SECOND)
        return CrashReport(
            self._datagrams.host, 0, digest, ran_ms, is_crash=is_crash
        )

    async def _report_to(
        self, hosts: tuple[str, ...], report: CrashReport
    ) -> int:
        """Return the highest count of the hosts, or that of this daemon."""
        seen = _apply_report(self._seen, report)
        counts = await self._ask(
            report, [host for host in hosts if host != self._datagrams.host]
        )
        if self._datagrams.host in hosts:
            counts.append(_apply_report(self._kept, report))
        return max(counts, default=seen)

    def _find_keepers(self, digest: bytes) -> tuple[str, ...]:
        return self._members.find_hosts(digest.hex(), KEEPERS)

    async def _ask(self, report: CrashReport, hosts: list[str]) -> list[int]:
        """Return the counts of the hosts that reply in time."""
        waiting: dict[asyncio.Future[CrashCount], tuple[int, str]] = {}
        for host in hosts:
            if not self._replies.is_silent(host):
                number = self._replies.make_number()
                waiting[self._replies.expect(number)] = (number, host)
                numbered = report._replace(sequence_number=number)
                self._datagrams.send(numbered, (host,))
        if not waiting:
            return []
        try:
            replies, late = await asyncio.wait(
                waiting, timeout=REPLY_TIMEOUT_SECONDS
            )
        finally:
            for number, _ in waiting.values():
                self._replies.give_up(number)
        for missing in late:
            self._replies.note_silence(waiting[missing][1])
        for answered in replies:
            self._note_reply(waiting[answered][1], answered.result())
        return [reply.result().crashes for reply in replies]

    def _note_reply(self, host: str, reply: CrashCount) -> None:
        """Remember for a while that a keeper knows of no crash."""
        if reply.knows_none:
            until = self._clock.monotonic() + NO_CRASHES_SECONDS
            self._no_crashes_until[host] = until
        else:
            self._no_crashes_until.pop(host, None)

    def _receive(self, message: Message) -> None:
        match message:
            case CrashReport(host, number):
                count = _apply_report(self._kept, message)
                reply = CrashCount(number, count, self._kept.is_empty)
                self._datagrams.send(reply, (host,))
            case CrashCount(number):
                self._replies.settle(number, message)
            case CrashCleared(digest):
                self._kept.forget(digest)


def _apply_report(history: CrashHistory, report: CrashReport) -> int:
    """Return the number of crashes after a report."""
    if not report.is_crash:
        return history.count(report.digest)
    ran_seconds = report.ran_ms / _MILLISECONDS_PER_SECOND
    return history.record(report.digest, ran_seconds)
