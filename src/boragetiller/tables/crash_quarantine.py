"""Strikes: request bodies that were running on a backend server when it crashed."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs


class Containment(Enum):
    """What the strikes of a body ask for."""

    NONE = "none"
    ISOLATE = "isolate"  # one copy at a time, apart from other struck bodies
    QUARANTINE = "quarantine"


class CrashRetention(Protocol):
    """How long and how many strikes are remembered."""

    @property
    def expire_ms(self) -> int:
        """:return: after the last strike of a body"""

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
    """Strikes by fingerprint and backend server, oldest fingerprint first."""

    by_fingerprint: dict[bytes, dict[str, ServerCrashes]] = attrs.Factory(dict)


__all__ = ["ServerCrashes", "CrashRetention", "CrashTable", "Containment"]
