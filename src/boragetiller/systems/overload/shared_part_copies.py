"""
Decide which engines may prefill a shared prompt part that another engine already has.

In a burst of long prompts, 31% of the prefilled tokens were shared parts that another engine had:
that engine had no capacity, so the prompt went to one that prefilled 13,300 tokens again. A part
that many requests have at the same time needs several engines, so the number of copies follows its
rate of use.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from boragetiller.tables.part_uses import PartUse

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.part_uses import PartUseTable
    from boragetiller.tables.server_placement import Placement
    from boragetiller.tables.servers import BackendServer

MAX_COPY_PREFILL_SHARE = 0.35  # of its time; an engine below it has time to spare for a copy
# A shorter prefix is prefilled in one step, which delays no other stream for long; for its sake no
# request, often a short and urgent one, is refused.
MIN_SHARED_TOKENS = 2_048
# Requests per second with one part from which another engine gets a copy. At 30 ms of prefill for
# what each adds to the part, they take an eighth of an engine's time.
MAX_USES_PER_COPY_S = 4.0
USE_AVERAGE_MS = 1_000.0  # time constant of the rate of use
MAX_PARTS = 4_096  # more than are in use at the same time in a group


def record_use(table: PartUseTable, prompt: Prompt, now_ms: int) -> None:
    """
    Count a request in the rate of use of its last shared part.

    :param table: rates of use
    :param prompt: prompt that this router or a peer has sent
    :param now_ms: monotonic time in milliseconds
    """
    if not prompt.shared_parts:
        return
    part_id = prompt.shared_parts[-1].part_id
    uses = 1.0 + _count_recent_uses(table, part_id, now_ms)
    table.by_part[part_id] = PartUse(uses, now_ms)
    table.by_part.move_to_end(part_id)
    while len(table.by_part) > MAX_PARTS:
        table.by_part.popitem(last=False)


def find_held_part(
    candidates: Iterable[BackendServer], prompt: Prompt, uses: PartUseTable, now_ms: int
) -> str | None:
    """
    Find the last shared part of a prompt if enough candidates have it cached.

    An ejected engine does not count: it may have crashed, and would never take the prompt.

    :param candidates: accepting engines, also full ones
    :param prompt: the prompt
    :param uses: rates of use of parts
    :param now_ms: monotonic time in milliseconds
    :return: ID of the part, None if too few candidates have it or the shared parts are short
    """
    if sum(part.tokens for part in prompt.shared_parts) < MIN_SHARED_TOKENS:
        return None
    part_id = prompt.shared_parts[-1].part_id
    holders = sum(
        part_id in server.cached_parts and not server.health.is_ejected(now_ms)
        for server in candidates
    )
    rate_per_s = _count_recent_uses(uses, part_id, now_ms) * 1_000.0 / USE_AVERAGE_MS
    return part_id if holders and rate_per_s <= holders * MAX_USES_PER_COPY_S else None


def may_copy_part(placement: Placement, held_part: str | None) -> bool:
    """
    Decide whether an engine may take a prompt although it has to prefill the shared part again.

    :param placement: the engine and its estimates
    :param held_part: shared part that another engine has, None for none
    :return: whether the engine has the part, or time to spare
    """
    return (
        held_part is None
        or placement.prefill_share < MAX_COPY_PREFILL_SHARE
        or held_part in placement.server.cached_parts
    )


def _count_recent_uses(table: PartUseTable, part_id: str, now_ms: int) -> float:
    use = table.by_part.get(part_id)
    if use is None:
        return 0.0
    return use.uses * math.exp(-max(0, now_ms - use.updated_ms) / USE_AVERAGE_MS)


__all__ = ["find_held_part", "may_copy_part", "record_use"]
