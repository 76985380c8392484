"""What happened at this router, for peers that were told a part of it."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")


@attrs.define
class RecentItems(Generic[T]):
    """The last items of a series; older ones are dropped."""

    items: deque[T]
    count: int = 0  # of all that were ever added

    @classmethod
    def with_capacity(cls, size: int) -> RecentItems[T]:
        """
        Begin a series.

        :param size: how many items are kept
        :return: the series, empty
        """
        return cls(deque(maxlen=size))

    def add(self, item: T) -> None:
        """:param item: the newest one"""
        self.items.append(item)
        self.count += 1

    def since(self, told: int) -> tuple[T, ...]:
        """
        List what a peer lacks.

        :param told: value of `count` up to which it was told
        :return: newer items that are kept, oldest first
        """
        new = min(self.count - told, len(self.items))
        return tuple(self.items)[len(self.items) - new :]


__all__ = ["RecentItems"]
