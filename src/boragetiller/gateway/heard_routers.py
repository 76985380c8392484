"""Other routers that were heard lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems.report_peers import MAX_PEERS
from boragetiller.tables.known_routers import KnownRouters

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.gateway.settings import Endpoint

MEMBER_TTL_MS = 30_000  # for which an unheard router keeps its share of limits


class HeardRouters:
    """Remembers when each router last had a connection to this one."""

    def __init__(self, own: str) -> None:
        """:param own: name of this router, in place of its address until that is known"""
        self.view = KnownRouters(own=own, known=frozenset({own}))
        self._heard_ms: dict[Endpoint, int] = {}

    def update(
        self,
        own: Endpoint | None,
        connected: Iterable[Endpoint],
        known: set[Endpoint],
        now_ms: int,
    ) -> None:
        """
        Update the view of the known routers.

        A router that was heard lately may only be cut off or restarting, so it stays known.

        :param own: address of this router
        :param connected: addresses of the routers that have a connection to this one
        :param known: all addresses of other routers; they count if not all routers are peers
        :param now_ms: monotonic time in milliseconds
        """
        connected = set(connected)
        for endpoint in connected:
            self._heard_ms[endpoint] = now_ms
        self._heard_ms = {
            endpoint: heard_ms
            for endpoint, heard_ms in self._heard_ms.items()
            if now_ms - heard_ms < MEMBER_TTL_MS
        }
        members = set(self._heard_ms)
        lost = members - connected
        if len(known) > MAX_PEERS:
            members |= known
        view = KnownRouters(
            own=str(own),
            known=frozenset(map(str, members)) | {str(own)},
            lost=frozenset(map(str, lost)),
            heard=len(connected),
        )
        if view != self.view:
            self.view = view


__all__ = ["MEMBER_TTL_MS", "HeardRouters"]
