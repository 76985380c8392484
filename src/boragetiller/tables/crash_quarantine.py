"""Crashes of backend servers, by the request body that was running."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs


class Containment(Enum):
    """How a body may run, given the crashes recorded for it."""

    NONE = "none"
    ISOLATE = "isolate"  # one copy at a time, and not together with other isolated bodies
    QUARANTINE = "quarantine"  # not at all


class CrashRetention(Protocol):
    """How long crashes are kept, and for how many bodies."""

    @property
    def expire_ms(self) -> int:
        """:return: milliseconds since the last crash of a body"""

    @property
    def max_bodies(self) -> int:
        """:return: number of bodies kept"""


@attrs.define(kw_only=True)
class ServerCrashes:
    """Crashes of one backend server while it ran a body."""

    crashes: int
    last_ms: int


@attrs.define
class CrashTable:
    """Crashes by fingerprint of the body and by backend server, oldest fingerprint first."""

    by_fingerprint: dict[bytes, dict[str, ServerCrashes]] = attrs.Factory(dict)


__all__ = ["Containment", "CrashRetention", "CrashTable", "ServerCrashes"]
