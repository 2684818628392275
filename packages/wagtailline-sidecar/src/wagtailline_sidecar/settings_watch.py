"""Follows changes of the settings file while the daemon runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok

from wagtailline_sidecar.settings import SidecarSettings, load_settings

# The file may change without a signal.
CHECK_PERIOD_SECONDS = 2.0
# Settings that take effect without a restart.
LIVE_FIELDS = frozenset(
    (
        'key_proof_ms',
        'stop_ms',
        'quota_window_seconds',
        'quota_overage',
        'quota_slack',
    )
)


class SettingsReloaded(NamedTuple):
    """Event: the settings file was read again.

    ``applied`` and ``needs_restart`` name the fields that differ.
    """

    path: str
    cause: str
    applied: str
    needs_restart: str


class SettingsRefused(NamedTuple):
    """Event: the settings file is faulty; the former settings stay."""

    path: str
    cause: str
    faults: str


class SettingsWatch:
    """Service that holds the settings in force."""

    def __init__(
        self,
        path: Path,
        settings: SidecarSettings,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Hold the settings that the daemon was started with."""
        self._path = path
        self._observe = observe
        self._content = _read(path)
        self._task: asyncio.Task[None] | None = None
        self.current = settings

    async def start(self) -> None:
        """Begin to look for changes."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Look no more."""
        if self._task is not None:
            self._task.cancel()

    def reload(self, cause: str) -> None:
        """Read the file; a faulty one changes nothing."""
        self._content = _read(self._path)
        match load_settings(self._path):
            case Ok(settings):
                self._apply(settings, cause)
            case Err(faults):
                text = '; '.join(str(fault) for fault in faults)
                self._observe(SettingsRefused(str(self._path), cause, text))

    def _apply(self, settings: SidecarSettings, cause: str) -> None:
        former = self.current._asdict()
        changed = {
            name: setting
            for name, setting in settings._asdict().items()
            if former[name] != setting
        }
        live = {name: changed[name] for name in changed.keys() & LIVE_FIELDS}
        self.current = self.current._replace(**live)
        self._observe(
            SettingsReloaded(
                str(self._path),
                cause,
                ','.join(sorted(live)),
                ','.join(sorted(changed.keys() - LIVE_FIELDS)),
            )
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
            if _read(self._path) != self._content:
                self.reload('changed')


def _read(path: Path) -> bytes:
    """Return the content, or nothing while the file can't be read."""
    try:
        return path.read_bytes()
    except OSError:
        return b''
