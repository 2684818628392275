"""Reloads the settings file when it changes."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok

from wagtailline_sidecar.settings import SidecarSettings, load_settings
from wagtailline_sidecar.supervision import SupervisedTask

# The file is polled because it may change without a signal to the process.
POLL_PERIOD_SECONDS = 2.0
# Settings that take effect without a restart.
RELOADABLE_FIELDS = frozenset(
    (
        'grace_seconds',
        'revoke_ms',
        'apply_ms',
        'drain_ms',
        'quota_window_seconds',
        'quota_overage',
        'quota_slack',
        'warm_up_overage',
        'warm_up_slack',
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
    """Event: the settings file is invalid; the settings in force remain."""

    path: str
    cause: str
    faults: str


class SettingsWatch:
    """Service that holds the settings in force and reloads them."""

    def __init__(
        self,
        path: Path,
        settings: SidecarSettings,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set the current settings to those read when the daemon started."""
        self._path = path
        self._observe = observe
        self._content = _read(path)
        self._task = SupervisedTask('settings_watch', self._run, observe)
        self.current = settings

    async def start(self) -> None:
        """Start polling the file for changes."""
        self._task.start()

    async def stop(self) -> None:
        """Stop polling the file."""
        self._task.stop()

    def reload(self, cause: str) -> None:
        """Reload the file; if it is invalid, the settings in force remain."""
        self._content = _read(self._path)
        match load_settings(self._path):
            case Ok(settings):
                self._apply(settings, cause)
            case Err(faults):
                fault_text = '; '.join(str(fault) for fault in faults)
                self._observe(
                    SettingsRefused(str(self._path), cause, fault_text)
                )

    def _apply(self, settings: SidecarSettings, cause: str) -> None:
        previous = self.current._asdict()
        changed = {
            name: setting
            for name, setting in settings._asdict().items()
            if previous[name] != setting
        }
        applied_settings = {
            name: changed[name] for name in changed.keys() & RELOADABLE_FIELDS
        }
        self.current = self.current._replace(**applied_settings)
        self._observe(
            SettingsReloaded(
                str(self._path),
                cause,
                ','.join(sorted(applied_settings)),
                ','.join(sorted(changed.keys() - RELOADABLE_FIELDS)),
            )
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_PERIOD_SECONDS)
            if _read(self._path) != self._content:
                self.reload('changed')


def _read(path: Path) -> bytes:
    """Return the content of the file, or no bytes if it can't be read."""
    try:
        return path.read_bytes()
    except OSError:
        return b''
