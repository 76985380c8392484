"""Strikes: request bodies that were running on a backend server when it crashed."""

from __future__ import annotations

from enum import Enum

import attrs


class Suspicion(Enum):
    """What the strikes of a body ask for."""

    NONE = "none"
    ISOLATE = "isolate"  # one copy at a time, apart from other struck bodies
    QUARANTINE = "quarantine"


@attrs.define(kw_only=True)
class ServerStrikes:
    """Crashes of one backend server while it ran a body."""

    crashes: int
    last_ms: int


@attrs.define
class StrikeTable:
    """Strikes by fingerprint and backend server, oldest fingerprint first."""

    by_fingerprint: dict[bytes, dict[str, ServerStrikes]] = attrs.Factory(dict)


__all__ = ["ServerStrikes", "StrikeTable", "Suspicion"]
