"""Settings of a stand-in engine and its ledger of executed requests."""

from __future__ import annotations

from collections import Counter

import attrs

from boragetiller.standin.engine_simulation import EngineSimulationSettings
from boragetiller.standin.web_server import ListenAddress


@attrs.frozen(kw_only=True)
class EngineSettings:
    """Settings of a stand-in engine."""

    listen: ListenAddress = ListenAddress()
    models: tuple[str, ...] = ("kopar-1",)
    simulation: EngineSimulationSettings = EngineSimulationSettings()
    poison_marker: str = "POISON"
    restart_ms: int = 1_000
    load_ms: int = 50
    honours_fencing: bool = True
    order_key: str | None = attrs.field(default=None, repr=False)
    weight_store_url: str | None = None


@attrs.define
class Ledger:
    """Counts of what the engine executed, by request and by body."""

    by_request_id: Counter[str] = attrs.Factory(Counter)
    by_body: Counter[str] = attrs.Factory(Counter)
    crashes: int = 0
    cancelled: int = 0
    bad_resumes: int = 0


__all__ = ["EngineSettings", "Ledger"]
