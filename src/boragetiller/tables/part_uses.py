"""How often requests have had a shared prompt part lately."""

from __future__ import annotations

from collections import OrderedDict

import attrs


@attrs.frozen
class PartUse:
    """Uses of one part by all routers."""

    uses: float  # exponentially decaying count
    updated_ms: int  # monotonic time


@attrs.define
class PartUseTable:
    """Uses by ID of the part, the latest use last."""

    by_part: OrderedDict[str, PartUse] = attrs.field(factory=OrderedDict)


__all__ = ["PartUse", "PartUseTable"]
