"""HTTP client for orders to an engine."""

from __future__ import annotations

import json
from functools import singledispatch
from typing import TYPE_CHECKING, Any, Protocol

import aiohttp

from boragetiller.errors import (
    BackendLost,
    BackendTimeout,
    BackendUnreachable,
    BoragetillerError,
    LeaseExpired,
    OrderRefused,
    StaleFencingToken,
)
from boragetiller.tables.orders import EngineConfig, LoadAdapter, LoadModel, Order, SetRole

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from boragetiller.settings import BackendSettings, OrderSettings

STALE_TOKEN_STATUS = 409


class OrderClient(Protocol):
    """Client for the orders of one engine."""

    async def read_config(self) -> EngineConfig:
        """
        Read the engine's current configuration.

        :return: models, adapters and role
        :raises BoragetillerError: the engine did not respond
        """
        ...

    async def send(self, order: Order, token: int, may_send: Callable[[], bool]) -> None:
        """
        Send an order and wait until it is carried out.

        :param order: the order
        :param token: its fencing token
        :param may_send: called immediately before the order is written to the open connection
        :raises LeaseExpired: `may_send` returned False; the engine got no order
        :raises OrderRefused: the engine refused the order
        :raises BoragetillerError: the order may have been carried out
        """
        ...


class HttpOrderClient:
    """Orders over the engines' HTTP API; see :class:`OrderClient`."""

    def __init__(self, backend: BackendSettings, orders: OrderSettings) -> None:
        """
        Create a client that :meth:`start` connects.

        :param backend: URL of the engine and the key for orders
        :param orders: timeouts
        """
        self._backend = backend
        self._orders = orders
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        connect_s = self._backend.connect_timeout_ms / 1_000
        headers = {}
        if self._backend.order_key is not None:
            headers["Authorization"] = f"Bearer {self._backend.order_key}"
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s), headers=headers
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read_config(self) -> EngineConfig:
        """See :class:`OrderClient`."""
        response = await self._call("GET", self._orders.role_timeout_ms)
        try:
            return EngineConfig(
                models=tuple(str(name) for name in response["models"]),
                adapters=tuple(str(name) for name in response["adapters"]),
                role=str(response["role"]),
            )
        except (KeyError, TypeError) as error:
            raise BackendLost(f"invalid configuration from engine: {error!r}") from error

    async def send(self, order: Order, token: int, may_send: Callable[[], bool]) -> None:
        """See :class:`OrderClient`."""
        body = _GuardedBody({**encode_order(order), "fencing": token}, may_send)
        is_load = isinstance(order, LoadModel | LoadAdapter)
        timeout_ms = self._orders.load_timeout_ms if is_load else self._orders.role_timeout_ms
        try:
            await self._call("POST", timeout_ms, body)
        except BoragetillerError as error:
            if body.withheld:
                raise LeaseExpired from error
            raise

    async def _call(self, method: str, timeout_ms: int, body: _GuardedBody | None = None) -> Any:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1_000, sock_connect=self._backend.connect_timeout_ms / 1_000
        )
        options: dict[str, Any] = {}
        if body is not None:
            options = {"data": body.chunks(), "headers": {"Content-Type": "application/json"}}
        url = self._backend.url + "/orders"
        try:
            async with self._session.request(method, url, timeout=timeout, **options) as response:
                if response.status == STALE_TOKEN_STATUS:
                    raise StaleFencingToken(await response.text())
                if 400 <= response.status < 500:
                    raise OrderRefused(f"status {response.status}: {await response.text()}")
                if response.status != 200:
                    raise BackendLost(f"status {response.status}")
                return await response.json()
        except aiohttp.ClientConnectorError as error:
            raise BackendUnreachable(str(error)) from error
        except TimeoutError as error:
            raise BackendTimeout from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise BackendLost(f"{type(error).__name__}: {error}") from error


class _GuardedBody:
    """Body of an order, which is not sent if the lease has expired when the body is due."""

    def __init__(self, fields: dict[str, Any], may_send: Callable[[], bool]) -> None:
        self.withheld = False
        self._payload = json.dumps(fields).encode()
        self._may_send = may_send

    async def chunks(self) -> AsyncIterator[bytes]:
        if not self._may_send():
            self.withheld = True
            raise LeaseExpired
        yield self._payload


@singledispatch
def encode_order(order: object) -> dict[str, Any]:
    """
    Encode an order for the engines' HTTP API.

    :param order: the order
    :return: fields of the JSON object
    :raises TypeError: the type is not one of the orders
    """
    raise TypeError(f"unknown order type: {type(order).__name__}")


@encode_order.register
def _encode_load_model(order: LoadModel) -> dict[str, Any]:
    return {"kind": "load_model", "model": order.model}


@encode_order.register
def _encode_load_adapter(order: LoadAdapter) -> dict[str, Any]:
    return {"kind": "load_adapter", "adapter": order.adapter}


@encode_order.register
def _encode_set_role(order: SetRole) -> dict[str, Any]:
    return {"kind": "set_role", "role": order.role}


__all__ = ["HttpOrderClient", "OrderClient", "encode_order"]
