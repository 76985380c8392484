"""Revisions up to which routers know the store."""

from __future__ import annotations

import attrs

from boragetiller.store_eras import get_era, get_store_revision


@attrs.frozen
class StoreRevisions:
    """Extended revisions of the newest known configuration and list of backend servers."""

    config: int
    servers: int
    digest: int = 0  # of all known entries; 0 if it is not known

    def is_newer_than(self, other: StoreRevisions) -> bool:
        """:return: whether either revision is higher than the other's"""
        return is_newer(self.config, other.config) or is_newer(self.servers, other.servers)

    def knows_other_entries_than(self, other: StoreRevisions) -> bool:
        """:return: whether one of two routers with the same revisions has missed a change"""
        if not self.digest or not other.digest or self.digest == other.digest:
            return False
        return not self.is_newer_than(other) and not other.is_newer_than(self)

    def is_eras_ahead_of(self, other: StoreRevisions) -> bool:
        """:return: whether the other router has missed a restore of the store"""
        pairs = ((self.config, other.config), (self.servers, other.servers))
        return any(theirs and get_era(own) > get_era(theirs) > 0 for own, theirs in pairs)


def is_newer(own: int, other: int) -> bool:
    """
    Compare the revisions that two routers know.

    :param own: extended revision of this router
    :param other: extended revision of the other router; 0 if it has no entries
    :return: whether this router knows more
    """
    if get_era(other) == 0:  # of a router that knows no eras yet, or has no entries
        return get_store_revision(own) > other
    return own > other


__all__ = ["StoreRevisions", "is_newer"]
