"""Bounded sequence of recent items, from which each peer is sent those that it lacks."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")


@attrs.define
class RecentItems(Generic[T]):
    """The most recent items of a sequence; older ones are dropped."""

    items: deque[T]
    count: int = 0  # of all items ever added

    @classmethod
    def with_capacity(cls, size: int) -> RecentItems[T]:
        """
        Create an empty sequence.

        :param size: number of items to keep
        :return: the sequence
        """
        return cls(deque(maxlen=size))

    def add(self, item: T) -> None:
        """:param item: item to append; the oldest one is dropped if the sequence is full"""
        self.items.append(item)
        self.count += 1

    def since(self, sent: int) -> tuple[T, ...]:
        """
        List the items that a peer lacks.

        :param sent: value of `count` when the peer was last sent items
        :return: the items added since then and still kept, oldest first
        """
        new = min(self.count - sent, len(self.items))
        return tuple(self.items)[len(self.items) - new :]


__all__ = ["RecentItems"]
