"""Revisions up to which a router knows the store."""

from __future__ import annotations

import attrs

from boragetiller.store_eras import get_era, get_store_revision


@attrs.frozen
class StoreRevisions:
    """Extended revisions of the newest known configuration and list of backend servers."""

    config: int
    servers: int

    def is_newer_than(self, other: StoreRevisions) -> bool:
        """:return: whether either revision is higher than the other's"""
        return is_newer(self.config, other.config) or is_newer(self.servers, other.servers)

    def is_eras_ahead_of(self, other: StoreRevisions) -> bool:
        """:return: whether the other router has missed a restore of the store"""
        pairs = ((self.config, other.config), (self.servers, other.servers))
        return any(theirs and get_era(own) > get_era(theirs) > 0 for own, theirs in pairs)


def is_newer(own: int, other: int) -> bool:
    """
    Compare two extended revisions.

    :param own: revision that this router knows
    :param other: revision that another router knows
    :return: whether the own one is newer
    """
    if get_era(other) == 0:  # of a router that knows no eras yet, or has no entries
        return get_store_revision(own) > other
    return own > other


__all__ = ["StoreRevisions", "is_newer"]
