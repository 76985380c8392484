"""Pauses that backend servers ask for: read from every response, checked before each request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import aiohttp

from boragetiller.events import Event, log_event
from boragetiller.systems.overload.server_pauses import (
    list_paused,
    mark_replaced,
    pause_left_ms,
    record_pause,
    remove_ended,
)
from boragetiller.tables.server_pauses import ServerPauseTable

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from aiohttp.client_reqrep import Connection

    from boragetiller.clock import Clock
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.tables.call_metadata import ResponseMetadata
    from boragetiller.tables.server_pauses import ServerPause
    from boragetiller.tables.server_table import ServerTable
    from boragetiller.tables.servers import Incarnation, ServerRecord

MAX_LOGGED_TEXTS = 1_024  # bounds memory


class ServerPaused(aiohttp.ClientError):
    """The server has asked for a pause; no byte of the request was sent."""


class ServerPauses:
    """The pauses of all servers at this router."""

    def __init__(self, servers: ServerTable, clock: Clock, metrics: GatewayMetrics) -> None:
        """
        Start without pauses.

        :param servers: registered servers
        :param clock: monotonic clock
        :param metrics: counter of pauses
        """
        self.table = ServerPauseTable()
        self._servers = servers
        self._clock = clock
        self._metrics = metrics
        self._listed: Set[str] = frozenset()
        self._listed_until_ms = 0.0  # monotonic time until which the list holds
        self._logged_texts: set[tuple[str, str]] = set()

    def record_head(self, record: ServerRecord, metadata: ResponseMetadata) -> None:
        """
        Record what a response says about a pause.

        :param record: the server that the request was sent to
        :param metadata: metadata from the head of the response
        """
        if metadata.instance not in (None, record.name):
            return
        if metadata.invalid_pause is not None:
            self._log_invalid(record.name, metadata.invalid_pause)
        if not metadata.pause_ms:
            return
        now_ms = self._clock.now_ms()
        self._log_ended(remove_ended(self.table, now_ms), "elapsed")
        self._listed_until_ms = 0.0
        # The clock counts whole milliseconds: up to one more had passed when the response arrived.
        pause_ms = math.ceil(metadata.pause_ms) + 1
        pause = record_pause(self.table, record, pause_ms, now_ms)
        if pause is not None:
            self._metrics.server_pauses.labels(record.group).inc()
            log_event(
                Event.SERVER_PAUSED,
                server=record.name,
                group=record.group,
                started_ms=record.started_ms,
                pause_ms=pause.until_ms - now_ms,
                asked_ms=metadata.pause_ms,
            )

    def check(self, record: ServerRecord) -> None:
        """
        Check that a request may be sent.

        :param record: the server
        :raises ServerPaused: the server pauses
        """
        left_ms = pause_left_ms(self.table, record, self._clock.now_ms())
        if left_ms:
            raise ServerPaused(f"the server pauses for {left_ms} ms")

    def list_paused(self) -> Set[str]:
        """:return: names of the registered servers that pause"""
        now_ms = self._clock.now_ms()
        if now_ms >= self._listed_until_ms:
            self._log_ended(remove_ended(self.table, now_ms), "elapsed")
            self._listed = list_paused(self.table, self._servers.by_name, now_ms)
            ends_ms = [pause.until_ms for pause in self.table.by_incarnation.values()]
            self._listed_until_ms = min(ends_ms, default=math.inf)
        return self._listed

    def observe_incarnations(self) -> None:
        """Note which incarnations have been replaced, after the list of servers has changed."""
        now_ms = self._clock.now_ms()
        self._listed_until_ms = 0.0
        self._log_ended(mark_replaced(self.table, self._servers.by_name, now_ms), "replaced")

    def _log_ended(self, ended: list[tuple[Incarnation, ServerPause]], reason: str) -> None:
        for incarnation, pause in ended:
            if pause.replaced and reason == "elapsed":
                continue  # logged when the incarnation was replaced
            log_event(
                Event.SERVER_PAUSE_ENDED,
                server=incarnation.name,
                group=pause.group,
                started_ms=incarnation.started_ms,
                pause_ms=pause.until_ms - pause.began_ms,
                left_ms=max(0, pause.until_ms - self._clock.now_ms()),
                reason=reason,
            )

    def _log_invalid(self, server: str, text: str) -> None:
        if (server, text) in self._logged_texts or len(self._logged_texts) >= MAX_LOGGED_TEXTS:
            return
        self._logged_texts.add((server, text))
        log_event(Event.SERVER_PAUSE_INVALID, server=server, text=text)


def build_checked_request_class(check: Callable[[], None]) -> type[aiohttp.ClientRequest]:
    """
    Build a request class that checks a condition when a connection is ready for the request.

    Waiting for a connection takes time in which the answer to another request may arrive.

    :param check: raises an error if the request must not be sent
    :return: a subclass that calls it before it writes the first byte
    """

    class CheckedRequest(aiohttp.ClientRequest):
        """A request that is sent only if the check passes."""

        async def send(self, conn: Connection) -> aiohttp.ClientResponse:
            """See :class:`aiohttp.ClientRequest`; aiohttp closes the connection on an error."""
            check()
            return await super().send(conn)

    return CheckedRequest


__all__ = ["ServerPaused", "ServerPauses", "build_checked_request_class"]
