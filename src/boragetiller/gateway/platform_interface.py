"""What a platform gives to the routers: the words of its headers and its store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from boragetiller.tables.store_view import StoredItem

if TYPE_CHECKING:
    from multidict import CIMultiDict, CIMultiDictProxy

    from boragetiller.tables.call_metadata import (
        CallMetadata,
        ForwardMetadata,
        PromptPart,
        ResponseMetadata,
    )
    from boragetiller.tables.routes import RouteConfig
    from boragetiller.tables.servers import ServerRecord

    Headers = CIMultiDictProxy[str]


@attrs.frozen(kw_only=True)
class Listing:
    """Entries below a prefix at or after a revision."""

    items: list[StoredItem]
    revision: int


class Dialect(Protocol):
    """Names and formats of the platform; decides nothing."""

    config_key: str
    servers_prefix: str
    prefix_cache_path: str  # on an engine, lists the parts of prompts that it holds

    def parse_call_headers(self, headers: Headers) -> CallMetadata:
        """
        Read the headers of a caller.

        :raises InvalidRequest: a header that the router needs is missing or unreadable
        """
        ...

    def forward_headers(self, headers: Headers, facts: ForwardMetadata) -> CIMultiDict[str]:
        """:return: headers for the backend server"""
        ...

    def parse_response_head(self, status: int, headers: Headers) -> ResponseMetadata:
        """:return: what the head of an answer says; what cannot be read counts as absent"""
        ...

    def is_response_to(self, request: Headers, answer: Headers) -> bool:
        """:return: whether the headers of an answer belong to the request"""
        ...

    def response_headers(self, headers: Headers) -> CIMultiDict[str]:
        """:return: headers of an answer for the caller"""
        ...

    def error_response_headers(self, request_id: str) -> CIMultiDict[str]:
        """:return: headers of an answer that the router makes itself"""
        ...

    def decode_config(self, value: bytes) -> RouteConfig:
        """:raises EntryUnreadable: the value is no configuration"""
        ...

    def decode_server(self, key: str, value: bytes) -> ServerRecord:
        """:raises EntryUnreadable: the value names no server that can be used"""
        ...

    def decode_prefix_cache(self, body: bytes) -> tuple[PromptPart, ...]:
        """
        Read an engine's list of held parts.

        :raises EntryUnreadable: the body is no such list
        """
        ...


class StoreClient(Protocol):
    """The platform's store as routers read it; each call is counted by the platform."""

    async def list_prefix(self, prefix: str) -> Listing:
        """
        List all entries whose key starts with the prefix.

        :raises StoreUnavailable: no answer in time
        """
        ...

    async def get_key(self, key: str) -> Listing:
        """
        Read one key.

        :return: one item, or none when the key does not exist
        :raises StoreUnavailable: no answer in time
        """
        ...

    async def watch_prefix(self, prefix: str, after_revision: int, wait_ms: int) -> Listing:
        """
        Wait until something below the prefix changes.

        :return: changes, removed keys among them; none when the time is over
        :raises HistoryLost: the store no longer knows what changed after the revision
        :raises StoreUnavailable: no answer in time
        """
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


__all__ = ["Dialect", "Headers", "Listing", "StoreClient"]
