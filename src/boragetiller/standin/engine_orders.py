"""Orders to the stand-in engine: what it has loaded, and its check of fencing tokens."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ORDER_KINDS = ("load_model", "load_adapter", "set_role")


@attrs.define(kw_only=True)
class EngineState:
    """What the engine has loaded, its role, accepted orders and the number of refused ones."""

    models: list[str] = attrs.Factory(list)
    adapters: list[str] = attrs.Factory(list)
    role: str = "any"
    fencing: int = 0
    orders: list[dict[str, Any]] = attrs.Factory(list)
    refused: int = 0


class OrderRefused(Exception):
    """The engine refuses to execute an order."""

    def __init__(self, status: int, reason: str) -> None:
        """
        Build the error.

        :param status: HTTP status of the response
        :param reason: description of the error
        """
        super().__init__(reason)
        self.status = status


class OrderExecutor:
    """Executes orders and applies them to the engine's state."""

    def __init__(
        self,
        state: EngineState,
        load_ms: int,
        *,
        honours_fencing: bool,
        fetch_weights: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """
        Create the executor.

        :param state: state that orders change
        :param load_ms: duration of a load in milliseconds
        :param honours_fencing: whether an order with an old fencing token is refused
        :param fetch_weights: loads weights; by default a wait of `load_ms`
        """
        self.state = state
        self._load_ms = load_ms
        self._honours_fencing = honours_fencing
        self._fetch_weights = fetch_weights or self._simulate_load

    async def execute(self, order: Any) -> None:
        """
        Execute an order.

        :param order: parsed JSON body of the order
        :raises OrderRefused: the order is malformed or its fencing token is old
        """
        kind, fencing = _validate_order(order)
        if self._honours_fencing and fencing < self.state.fencing:
            self.state.refused += 1
            raise OrderRefused(409, f"fencing token {fencing} is older than {self.state.fencing}")
        self.state.fencing = max(fencing, self.state.fencing)
        self.state.orders.append(order)
        if kind == "set_role":
            self.state.role = order["role"]
            return
        await self._fetch_weights()
        held = self.state.models if kind == "load_model" else self.state.adapters
        name = order["model" if kind == "load_model" else "adapter"]
        if name not in held:
            held.append(name)

    async def _simulate_load(self) -> None:
        await asyncio.sleep(self._load_ms / 1_000)


def _validate_order(order: Any) -> tuple[str, int]:
    if not isinstance(order, dict) or order.get("kind") not in ORDER_KINDS:
        raise OrderRefused(400, f"kind must be one of {', '.join(ORDER_KINDS)}")
    kind = order["kind"]
    if not isinstance(order.get(kind.split("_")[1]), str):
        raise OrderRefused(400, f"{kind} requires a string field {kind.split('_')[1]}")
    if type(order.get("fencing")) is not int:
        raise OrderRefused(400, "fencing must be an integer")
    return kind, order["fencing"]


__all__ = ["EngineState", "OrderExecutor", "OrderRefused"]
