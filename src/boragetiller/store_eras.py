"""
Revisions that keep rising when the store is restored from an older copy.

A restored store gives the revisions of lost changes out again. It counts its restores in an era, so
an extended revision has the era in its high bits and the store's own revision in its low bits. Era
0 stands for a store that names none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.errors import StoreUnavailable
from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

FIRST_ERA = 1  # of a store that was never restored
REVISION_BITS = 40  # lasts for decades at the store's write rate
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << 63 - REVISION_BITS) - 1  # extended revisions fit into a signed 64-bit integer
MAX_ERA_STEP = 1_000  # restores that a process can miss; a larger step is a malformed header


def extend_revision(era: int, revision: int) -> int:
    """
    Extend a revision of the store by its era.

    :param era: era of the response that named the revision
    :param revision: revision as the store counts it
    :return: extended revision
    :raises ValueError: the revision or the era is out of range
    """
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"store revision {revision!r}: must be 0 to {MAX_REVISION}")
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"store era {era!r}: must be 0 to {MAX_ERA}")
    return era << REVISION_BITS | revision


def get_era(extended_revision: int) -> int:
    """:return: era of an extended revision"""
    return extended_revision >> REVISION_BITS


def get_store_revision(extended_revision: int) -> int:
    """:return: the revision as the store counts it in the era of an extended revision"""
    return extended_revision & MAX_REVISION


class StoreEraTracker:
    """Reads the era of each response of the store; it never falls."""

    def __init__(self) -> None:
        """Start without a known era."""
        self.era: int | None = None
        self.on_invalid: Callable[[str], None] | None = None  # called with the reason
        self._logged_invalid = False

    def observe(self, header: str | None) -> int:
        """
        Read the era of a response.

        :param header: value of the header with the era, None if the response has none
        :return: era of the response; the newest known one if the header is missing or malformed
        :raises StoreUnavailable: the response is from an earlier era than the newest known one
        """
        known = self.era or 0
        era = _parse_era(header)
        if era is None or (self.era is not None and era > known + MAX_ERA_STEP):
            if header is not None or known:
                self._report_invalid("missing" if header is None else "malformed", header)
            return known
        if era < known:
            self._report_invalid("earlier", header)
            raise StoreUnavailable(f"the response is of era {era}; the store has reached {known}")
        if self.era is not None and era > known:
            log_event(Event.STORE_RESTORED, era=era, previous_era=known)
        self.era = era
        self._logged_invalid = False
        return era

    def _report_invalid(self, reason: str, header: str | None) -> None:
        if self.on_invalid is not None:
            self.on_invalid(reason)
        if not self._logged_invalid:
            self._logged_invalid = True
            value = None if header is None else header[:40]
            log_event(Event.STORE_ERA_INVALID, reason=reason, value=value, known_era=self.era)


def _parse_era(header: str | None) -> int | None:
    if header is None or not header.isascii() or not header.isdigit() or len(header) > 8:
        return None
    era = int(header)
    return era if FIRST_ERA <= era <= MAX_ERA else None


__all__ = [
    "FIRST_ERA",
    "MAX_ERA",
    "MAX_REVISION",
    "StoreEraTracker",
    "extend_revision",
    "get_era",
    "get_store_revision",
]
