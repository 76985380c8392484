"""Test harness: a router on loopback with the platform's dialect and an in-memory store."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import aiohttp
from yarl import URL

import tests.platform_path  # noqa: F401
from boragetiller.errors import HistoryLost, StoreUnavailable
from boragetiller.gateway.platform_interface import Listing
from boragetiller.gateway.process import GatewayProcess
from boragetiller.gateway.settings import Endpoint, GatewaySettings
from boragetiller.store_eras import StoreEraTracker
from boragetiller.tables.store_view import StoredItem
from boragetiller.tables.store_writes import (
    NO_REVISION,
    CommitResult,
    CommitStatus,
    StoreLease,
    Transaction,
)
from dialect import PlatformDialect

if TYPE_CHECKING:
    from socket import socket

    from boragetiller.gateway.platform_interface import StoreClient
    from boragetiller.gateway.policy_file import Policy
    from tests.gateway.scripted_engine import ScriptedEngine

HOST = "shop.example"
KEY = "key-1"
WAIT_TIMEOUT_S = 10.0

ROUTES = {
    "quotes": {"kind": "streaming", "sticky": True, "priority": 2, "goal-ms": 2_000},
    "gauges": {
        "kind": "streaming",
        "sticky": True,
        "priority": 1,
        "goal-ms": 600,
        "resumable": True,
        "max-attempts": 2,
        "gap-target-ms": 300,
    },
    "stock": {"kind": "idempotent", "max-attempts": 2, "goal-ms": 200},
    "reserve": {"kind": "non_idempotent", "goal-ms": 200},
}


def build_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """
    Build the operator's configuration.

    :param version: version of the configuration
    :param changes: replaced fields, with `_` for `-` in their names
    :return: the configuration document
    """
    routes = [
        {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "timeout-ms": 5_000,
            "service": "engines" if fields.get("sticky") else "shop",
            **fields,
        }
        for name, fields in ROUTES.items()
    ]
    engine = {"slots": 8, "kv-capacity": 100_000}
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "health-path": "/health", "max-conns": 99, "engine": engine},
            {"name": "shop", "health-path": "/health", "max-conns": 99},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 65_536,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "north", "api-keys": [KEY], "priority": 1}],
    }
    return document | {name.replace("_", "-"): value for name, value in changes.items()}


class FakeStore:
    """An in-memory store of the platform with fault injection."""

    def __init__(self) -> None:
        """Create an empty and reachable store."""
        self.eras = StoreEraTracker()
        self.items: dict[str, StoredItem] = {}
        self.history: list[StoredItem] = []
        self.revision = 1
        self.down = False
        self.is_receiving = False
        self.watches_stalled = False  # watches return no changes
        self.compacted_at = 0  # revision up to which the history is compacted
        self.calls: list[str] = []
        self.granted_ttls_ms: list[int] = []  # of leases, which never end here
        self._changed = asyncio.Event()

    def put(self, key: str, document: Any) -> None:
        """
        Write an entry.

        :param key: key of the entry
        :param document: bytes, or a document to encode as JSON
        """
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        self._append_item(StoredItem(key, value, self.revision + 1))

    def remove(self, key: str) -> None:
        """:param key: key of the entry to remove"""
        self._append_item(StoredItem(key, None, self.revision + 1))

    def compact(self) -> None:
        """Compact the history, so that watches from earlier revisions fail."""
        self.compacted_at = self.revision
        self._wake_watches()

    def register(self, name: str, engine: ScriptedEngine, service: str, **fields: Any) -> None:
        """
        Register a backend server.

        :param name: name of the server
        :param engine: engine that listens at its address
        :param service: name of its service
        :param fields: additional fields of its entry
        """
        entry = {
            "service": service,
            "address": engine.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
        }
        self.put(f"servers/{name}", entry | fields)

    async def list_prefix(self, prefix: str) -> Listing:
        """See :class:`StoreClient`."""
        self.calls.append("read")
        self._check_reachable()
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Listing(items=found, revision=self.revision)

    async def get_key(self, key: str) -> Listing:
        """See :class:`StoreClient`."""
        self.calls.append("read")
        self._check_reachable()
        found = [self.items[key]] if key in self.items else []
        return Listing(items=found, revision=self.revision)

    async def grant_lease(self, ttl_ms: int) -> StoreLease:
        """See :class:`LeaseStore`."""
        self.calls.append("grant")
        self._check_reachable()
        self.granted_ttls_ms.append(ttl_ms)
        return StoreLease(lease_id=len(self.granted_ttls_ms), ttl_ms=ttl_ms, era=0)

    async def renew_lease(self, lease: StoreLease) -> StoreLease | None:
        """See :class:`LeaseStore`."""
        raise NotImplementedError

    async def end_lease(self, lease: StoreLease) -> None:
        """See :class:`LeaseStore`."""
        raise NotImplementedError

    async def commit(self, transaction: Transaction) -> CommitResult:
        """See :class:`LeaseStore`."""
        self.calls.append("commit")
        self._check_reachable()
        for condition in transaction.expected:
            item = self.items.get(condition.key)
            if (item.revision if item else NO_REVISION) != condition.revision:
                return CommitResult(status=CommitStatus.CONFLICT)
        for write in transaction.writes:
            self._append_item(StoredItem(write.key, write.value, self.revision + 1))
        return CommitResult(status=CommitStatus.COMMITTED, revision=self.revision)

    async def watch_prefix(
        self, prefix: str, after_revision: int, wait_ms: int, *, max_bytes: int | None = None
    ) -> Listing:
        """See :class:`StoreClient`."""
        self.calls.append("watch")
        end_s = asyncio.get_running_loop().time() + wait_ms / 1_000
        while True:
            self._check_reachable()
            if after_revision < self.compacted_at:
                raise HistoryLost
            found = [
                item
                for item in self.history
                if item.key.startswith(prefix) and item.revision > after_revision
            ]
            left_s = end_s - asyncio.get_running_loop().time()
            if (found and not self.watches_stalled) or left_s <= 0:
                return Listing(items=found, revision=self.revision)
            changed = self._changed
            await asyncio.wait([asyncio.ensure_future(changed.wait())], timeout=left_s)

    async def close(self) -> None:
        """See :class:`StoreClient`."""

    def _check_reachable(self) -> None:
        if self.down:
            raise StoreUnavailable("down")

    def _append_item(self, item: StoredItem) -> None:
        self.revision = item.revision
        self.history.append(item)
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def build_settings(name: str = "router-1", **changes: Any) -> GatewaySettings:
    """
    Build settings with free ports on loopback.

    :param name: name of the process
    :param changes: replaced fields
    :return: the settings
    """
    free = Endpoint("127.0.0.1", 0)
    fields: dict[str, Any] = {
        "name": name,
        "failure_domain": "a",
        "callers": free,
        "readiness": free,
        "peers": free,
        "metrics": free,
        "seeds": (),
        "store": free,
        "grace_ms": 8_000,
        "drain_ms": 2_000,
        "config_apply_ms": 2_000,
        "event_delay_ms": 120,
        "retry_ratio": 0.2,
        "retry_slack": 56.0,
        "retry_window_ms": 10_000,
    }
    return GatewaySettings(**(fields | changes))


class RouterHarness:
    """One router with its store and an HTTP client."""

    def __init__(
        self,
        store: FakeStore | StoreClient | None = None,
        listening_socket: socket | None = None,
        policy: Policy | None = None,
        **changes: Any,
    ) -> None:
        """
        Create the router; it is inactive until started.

        :param store: the store, None for a new one with a configuration
        :param listening_socket: listening socket for callers, None to open one
        :param policy: settings of the policy file, None for none
        :param changes: replaced settings
        """
        self.store = store or FakeStore()
        if store is None:
            self.store.put("op/config", build_config())
        self.router = GatewayProcess(
            build_settings(**changes),
            PlatformDialect(),
            self.store,
            listening_socket,
            lease_store=self.store if isinstance(self.store, FakeStore) else None,
            policy=policy,
        )
        self.session: aiohttp.ClientSession | None = None
        self._sent = 0

    async def start(self) -> None:
        """Start the router and wait until it is ready."""
        await self.router.start()
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.session._retry_connection = False
        if not isinstance(self.store, FakeStore) or "op/config" in self.store.items:
            await wait_until(
                lambda: self.router.registry.servers_listed and self.router.registry.config
            )

    async def close(self) -> None:
        """Stop the router without draining."""
        assert self.session is not None
        await self.session.close()
        await self.router.abort()

    def call(
        self, path: str, method: str = "POST", body: bytes = b"", **headers: str
    ) -> aiohttp.client._RequestContextManager:
        """
        Send a call.

        :param path: path and query
        :param method: HTTP method
        :param body: body of the request
        :param headers: replaced headers, with `_` for `-` in their names
        :return: context manager of the response
        """
        self._sent += 1
        default_headers = {
            "Host": HOST,
            "X-Boragetiller-Attempt-Id": f"id-{self._sent}",
            "X-Boragetiller-Deadline-Ms": "4000",
            "Authorization": f"Token {KEY}",
        }
        given_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        assert self.session is not None
        url = URL(f"http://127.0.0.1:{self.router.caller_listener.port}{path}", encoded=True)
        return self.session.request(
            method, url, headers=default_headers | given_headers, data=body or None
        )


async def wait_until(condition: Any) -> None:
    """
    Wait until a condition holds.

    :param condition: function that returns whether the condition holds
    """
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


__all__ = [
    "HOST",
    "KEY",
    "FakeStore",
    "RouterHarness",
    "build_config",
    "build_settings",
    "wait_until",
]
