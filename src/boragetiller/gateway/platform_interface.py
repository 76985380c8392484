"""Interfaces that a platform implements for the gateway: header names, data formats, store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from boragetiller.tables.call_metadata import PromptPart
from boragetiller.tables.store_view import EntryVersion, StoredItem

if TYPE_CHECKING:
    from multidict import CIMultiDict, CIMultiDictProxy

    from boragetiller.store_eras import StoreEraTracker
    from boragetiller.tables.call_metadata import (
        CallMetadata,
        ForwardMetadata,
        ResponseMetadata,
    )
    from boragetiller.tables.routes import RouteConfig
    from boragetiller.tables.servers import ServerRecord

    Headers = CIMultiDictProxy[str]


@attrs.frozen
class UnreadableItem:
    """An item of a response of the store that cannot be decoded."""

    key: str | None  # None if the key itself cannot be decoded
    reason: str


@attrs.frozen(kw_only=True)
class Listing:
    """Store entries with a common prefix, and the store's extended revision at the read."""

    items: list[StoredItem]
    revision: int
    unreadable: tuple[UnreadableItem, ...] = ()


@attrs.frozen(kw_only=True)
class PrefixCacheList:
    """An engine's list of the prompt parts in its prefix cache."""

    parts: tuple[PromptPart, ...]
    unreadable: tuple[str, ...] = ()  # why entries cannot be decoded


class Dialect(Protocol):
    """Header names and data formats of the platform, without any policy."""

    config_key: str
    servers_prefix: str
    prefix_cache_path: str  # path on an engine that lists the prompt parts in its cache

    def parse_call_headers(self, headers: Headers) -> CallMetadata:
        """
        Parse the headers of a call.

        :raises InvalidRequest: a required header is missing, or a header is malformed
        """
        ...

    def build_request_headers(
        self, headers: Headers, metadata: ForwardMetadata
    ) -> CIMultiDict[str]:
        """:return: headers of the request to the backend server"""
        ...

    def parse_response_head(self, status: int, headers: Headers) -> ResponseMetadata:
        """:return: metadata of a response; malformed headers count as absent"""
        ...

    def is_response_to(self, request: Headers, response: Headers) -> bool:
        """:return: whether a response with these headers belongs to the request"""
        ...

    def build_response_headers(self, headers: Headers) -> CIMultiDict[str]:
        """:return: headers of a backend server's response for the caller"""
        ...

    def build_error_headers(self, request_id: str) -> CIMultiDict[str]:
        """:return: headers of an error response of the router"""
        ...

    def decode_config(self, value: bytes) -> RouteConfig:
        """:raises EntryUnreadable: the value is not a valid configuration"""
        ...

    def decode_server(self, key: str, value: bytes) -> ServerRecord:
        """:raises EntryUnreadable: the value is not a valid backend server"""
        ...

    def decode_entry_version(self, key: str, value: bytes) -> EntryVersion:
        """
        Decode the version that the writer of an entry gave it, which a restore does not set back.

        :raises EntryUnreadable: the entry has no valid version
        """
        ...

    def decode_prefix_cache(self, body: bytes) -> PrefixCacheList:
        """
        Decode an engine's list of cached prompt parts.

        :raises EntryUnreadable: the body is not a valid list
        """
        ...


class StoreClient(Protocol):
    """Read-only client of the platform's store; the platform counts each call."""

    eras: StoreEraTracker  # eras that the responses name

    @property
    def is_receiving(self) -> bool:
        """:return: whether a response has begun to arrive and is not complete"""
        ...

    async def list_prefix(self, prefix: str) -> Listing:
        """
        List all entries whose key starts with the prefix.

        :raises HistoryLost: the store was restored during the listing
        :raises StoreUnavailable: the call failed or timed out
        """
        ...

    async def get_key(self, key: str) -> Listing:
        """
        Read one key.

        :return: one item, or none if the key does not exist
        :raises StoreUnavailable: the call failed or timed out
        """
        ...

    async def watch_prefix(
        self, prefix: str, after_revision: int, wait_ms: int, *, max_bytes: int | None = None
    ) -> Listing:
        """
        Wait until an entry below the prefix changes.

        :param wait_ms: longest wait in milliseconds
        :param max_bytes: longest response, None for no limit
        :return: changes, with tombstones for removed keys; none after the longest wait
        :raises HistoryLost: the store has compacted its history beyond the revision, or was
            restored from an older copy, or the changes are longer than the limit
        :raises StoreUnavailable: the call failed or timed out
        """
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


__all__ = ["Dialect", "Headers", "Listing", "PrefixCacheList", "StoreClient", "UnreadableItem"]
