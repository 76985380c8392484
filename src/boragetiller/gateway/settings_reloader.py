"""Reload the settings file while the process runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import SettingsInvalid
from boragetiller.events import Event, log_event
from boragetiller.gateway.supervisor import run_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.settings import GatewaySettings

CHECK_INTERVAL_MS = 1_000  # for changes without a SIGHUP; reading the file takes microseconds
RELOADABLE_FIELDS = frozenset({"seeds"})  # applied at once; other fields need a restart


class SettingsReloader:
    """Checks the settings file for changes, periodically and on request."""

    def __init__(
        self,
        settings: GatewaySettings,
        load: Callable[[], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
        metrics: GatewayMetrics,
    ) -> None:
        """
        Create the reloader; it is inactive until started.

        :param settings: settings in force
        :param load: reads the settings file; raises SettingsInvalid
        :param apply: called with changed settings
        :param metrics: counter of failed checks
        """
        self._settings = settings
        self._load = load
        self._apply = apply
        self._metrics = metrics
        self._last_error = ""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start periodic checks."""
        self._task = asyncio.create_task(
            run_supervised("reload settings", self._check_periodically, self._metrics)
        )

    async def close(self) -> None:
        """Stop periodic checks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def check(self) -> None:
        """Read the file and apply changes; an invalid file is logged and ignored."""
        try:
            settings = self._load()
        except SettingsInvalid as error:
            self._log_refusal(str(error))
            return
        self._last_error = ""
        changed = _list_changed_fields(self._settings, settings)
        if not changed:
            return
        self._settings = settings
        at_restart = sorted(set(changed) - RELOADABLE_FIELDS)
        log_event(Event.SETTINGS_RELOADED, changed=changed, at_next_start=at_restart)
        self._apply(settings)

    def _log_refusal(self, reason: str) -> None:
        if reason != self._last_error:
            log_event(Event.SETTINGS_REFUSED, reason=reason)
        self._last_error = reason

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1_000)
            self.check()


def _list_changed_fields(old: GatewaySettings, new: GatewaySettings) -> list[str]:
    names = [field.name for field in attrs.fields(type(old))]
    return [name for name in names if getattr(old, name) != getattr(new, name)]


__all__ = ["SettingsReloader"]
