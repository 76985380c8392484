"""Keeps each stream at the software version that began it, over all requests of its caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.gateway.streams.version_journal import VersionJournal
from boragetiller.gateway.supervisor import run_supervised
from boragetiller.systems.list_coverage import OBSERVE_INTERVAL_MS, ListCoverage
from boragetiller.systems.stream_resumption import (
    KnownVersion,
    UnknownReason,
    UnknownVersion,
    decide_resumption,
)
from boragetiller.tables.stream_versions import StreamOrigin, VersionSource

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.duty_interface import RecordStore
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.outgoing_attempts import StreamState
    from boragetiller.gateway.state_sync import StateSync
    from boragetiller.tables.servers import BackendServer


class StreamVersions:
    """Records which version began each stream, and finds it when a caller takes the stream up."""

    def __init__(
        self,
        registry: BackendRegistry,
        state_sync: StateSync,
        store: RecordStore | None,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        """
        Create the records; nothing is written to the store until started.

        :param registry: backend servers, with the versions and streams that this router knows
        :param state_sync: tells whether the list of servers is current
        :param store: the platform's store, None to keep the records in memory only
        :param clock: monotonic clock
        :param metrics: counters of resumed streams and of failed tasks
        """
        self._registry = registry
        self._state_sync = state_sync
        self._coverage = ListCoverage()
        self._journal = None
        if store is not None:
            own_name = state_sync.watcher_election.own_name
            self._journal = VersionJournal(own_name, registry, self._coverage, store, clock)
        self._clock = clock
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to follow the list of servers and to write to the store."""
        self._start_task("stream version coverage", self._observe_coverage)
        if self._journal is not None:
            self._start_task("store stream versions", self._journal.run)

    async def close(self) -> None:
        """Stop following and writing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def record_begun(self, call: AdmittedCall, stream: StreamState, server: BackendServer) -> None:
        """
        Bind a stream to the version that sent its first event, or note that it goes on.

        :param call: the call
        :param stream: progress of the stream
        :param server: the server
        """
        if stream.attempt_begun or not call.route.resumable:
            return
        stream.attempt_begun = True
        if stream.software_version is not None:
            self._record_resumed(call, stream, server)
            return
        stream.software_version = server.record.software_version
        origin = self._build_origin(call, server)
        self._registry.stream_origins.record(call.metadata.request_id, origin)
        is_mixed = len(self._registry.group_versions.list_known(origin.group)) > 1
        if self._journal is not None and is_mixed:
            self._journal.note(call.metadata.request_id, origin)

    async def find(self, call: AdmittedCall) -> KnownVersion | UnknownVersion:
        """
        Find the version at which a stream goes on that a caller takes up again.

        :param call: the call, with the last event that the caller has
        :return: the version, or why none is known
        """
        group, resumed_id = call.group.name, call.metadata.resumed_request_id
        origin = None if resumed_id is None else self._registry.stream_origins.find(resumed_id)
        if origin is not None and origin.group == group and not origin.is_ambiguous:
            return KnownVersion(origin.version, origin.source)
        stored = None if self._journal is None else await self._journal.read(group, resumed_id)
        known = self._registry.group_versions.list_known(group)
        decision = decide_resumption(stored, known)
        if origin is not None and origin.is_ambiguous:
            decision = UnknownVersion(UnknownReason.CONFLICTING_RECORDS)
        elif origin is not None:  # another service began it
            decision = UnknownVersion(UnknownReason.NOT_RECORDED)
        match decision:
            case KnownVersion(version, VersionSource.STORE as source) if resumed_id is not None:
                found = StreamOrigin(group, version, self._clock.now_ms(), source)
                self._registry.stream_origins.record(resumed_id, found)
            case UnknownVersion(reason=reason):
                self._metrics.streams_unknown.labels(reason.value).inc()
                log_event(
                    Event.STREAM_VERSION_UNKNOWN,
                    request_id=call.metadata.request_id,
                    resumes=resumed_id,
                    reason=reason.value,
                    versions=sorted(known),
                )
        return decision

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(run_supervised(name, run, self._metrics)))

    def _has_current_list(self) -> bool:
        return self._state_sync.watcher_election.has_current_list(self._clock.now_ms())

    async def _observe_coverage(self) -> None:
        while True:
            self._coverage.observe(self._clock.now_ms(), is_current=self._has_current_list())
            await asyncio.sleep(OBSERVE_INTERVAL_MS / 1_000)

    def _record_resumed(
        self, call: AdmittedCall, stream: StreamState, server: BackendServer
    ) -> None:
        self._metrics.streams_resumed.labels(stream.version_source.value).inc()
        log_event(
            Event.STREAM_RESUMED,
            request_id=call.metadata.request_id,
            resumes=call.metadata.resumed_request_id,
            server=server.name,
            software_version=server.record.software_version,
            version_source=stream.version_source.value,
            last_event_id=stream.last_event_id,
        )

    def _build_origin(self, call: AdmittedCall, server: BackendServer) -> StreamOrigin:
        version = server.record.software_version
        return StreamOrigin(call.group.name, version, self._clock.now_ms())


__all__ = ["StreamVersions"]
