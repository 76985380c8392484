"""Software versions that began streams, and those that served a group recently."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Longer than the deadline of any stream, over all requests of its caller that take it up again.
STREAM_LIFETIME_MS = 30_000
MAX_STREAMS = 16_384
MAX_REQUEST_ID_CHARS = 256  # callers choose the IDs, so this bounds the memory for them


class VersionSource(Enum):
    """How a router knows which version began a stream; a metric label and log field."""

    OWN = "own"  # it relayed the first event
    STORE = "store"  # the record of the router that did
    INFERRED = "inferred"  # no other version can have begun it


@attrs.frozen
class StreamOrigin:
    """Which software version began a stream."""

    group: str
    version: str
    began_ms: int  # monotonic time
    source: VersionSource = VersionSource.OWN
    is_ambiguous: bool = False  # whether another version began a stream under the same request ID


@attrs.define
class StreamOriginTable:
    """Origins of recent streams that this router began, or whose record it read, by request ID."""

    _origins: OrderedDict[str, StreamOrigin] = attrs.field(factory=OrderedDict)

    def record(self, request_id: str, origin: StreamOrigin) -> None:
        """
        Record the origin of a stream; the oldest are dropped when they are too many or too old.

        A stream whose request has a longer ID is not recorded and cannot be resumed by name.

        :param request_id: request of the caller that brought its first event
        :param origin: group and software version
        """
        if len(request_id) > MAX_REQUEST_ID_CHARS:
            return
        known = self._origins.pop(request_id, None)
        if known is not None and origin.began_ms - known.began_ms < STREAM_LIFETIME_MS:
            is_other = (known.group, known.version) != (origin.group, origin.version)
            origin = attrs.evolve(origin, is_ambiguous=known.is_ambiguous or is_other)
        self._origins[request_id] = origin
        while self._origins:
            oldest = next(iter(self._origins.values()))
            is_old = origin.began_ms - oldest.began_ms >= STREAM_LIFETIME_MS
            if not is_old and len(self._origins) <= MAX_STREAMS:
                break
            self._origins.popitem(last=False)

    def find(self, request_id: str) -> StreamOrigin | None:
        """:return: origin of the stream, None if this router does not know it"""
        return self._origins.get(request_id)

    def list_recent(self, group: str, now_ms: int) -> dict[str, StreamOrigin]:
        """
        List the streams of a group that may still be resumed.

        :param group: name of the backend group
        :param now_ms: monotonic time in milliseconds
        :return: origins by request ID
        """
        return {
            request_id: origin
            for request_id, origin in self._origins.items()
            if origin.group == group and now_ms - origin.began_ms < STREAM_LIFETIME_MS
        }


@attrs.define
class VersionHistory:
    """Software versions of each group and when servers of each were registered."""

    _last_seen_ms: dict[str, dict[str, int]] = attrs.field(factory=dict)  # by group and version
    _appeared_ms: dict[str, dict[str, int]] = attrs.field(factory=dict)  # of those present

    def observe(self, group: str, versions: Iterable[str], now_ms: int) -> None:
        """
        Record the versions that serve a group, or served it until now.

        :param group: name of the backend group
        :param versions: versions of all its registered servers
        :param now_ms: monotonic time in milliseconds
        """
        before = self._appeared_ms.get(group, {})
        self._appeared_ms[group] = {each: before.get(each, now_ms) for each in versions}
        self._last_seen_ms.setdefault(group, {}).update(dict.fromkeys(versions, now_ms))

    def get_appearances(self, group: str) -> Mapping[str, int]:
        """:return: since which monotonic time each present version of a group is registered"""
        return self._appeared_ms.get(group, {})

    def list_recent(self, group: str, now_ms: int) -> frozenset[str]:
        """
        List the versions that may have begun a stream which is still resumed.

        :param group: name of the backend group
        :param now_ms: monotonic time in milliseconds
        :return: versions
        """
        seen = self._last_seen_ms.get(group, {})
        return frozenset(
            version for version, seen_ms in seen.items() if now_ms - seen_ms < STREAM_LIFETIME_MS
        )

    def list_groups(self) -> list[str]:
        """:return: names of the groups with a known version"""
        return list(self._last_seen_ms)


__all__ = [
    "MAX_REQUEST_ID_CHARS",
    "MAX_STREAMS",
    "STREAM_LIFETIME_MS",
    "StreamOrigin",
    "StreamOriginTable",
    "VersionHistory",
    "VersionSource",
]
