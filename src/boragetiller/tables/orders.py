"""Orders to an engine, the leases that they require, and the steps that lead to an order."""

from __future__ import annotations

import attrs


@attrs.frozen
class LoadModel:
    """Load the weights of a model."""

    model: str


@attrs.frozen
class LoadAdapter:
    """Load the weights of an adapter."""

    adapter: str


@attrs.frozen
class SetRole:
    """Change the role of the engine, for example to prefill or decode only."""

    role: str


Order = LoadModel | LoadAdapter | SetRole


@attrs.frozen(kw_only=True)
class EngineConfig:
    """Models, adapters and role that an engine has or should have; an empty role is any role."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""


@attrs.frozen(kw_only=True)
class HeldLease:
    """A lease that this process holds; its token is the fencing token of its orders."""

    name: str
    token: int
    ttl_ms: int
    valid_until_ms: int  # in this process's monotonic time


@attrs.define(kw_only=True)
class OrderTable:
    """Leases, retry delay and pending order of one agent."""

    lease: HeldLease | None = None
    slot: HeldLease | None = None
    newest_token: int = 0
    order_pending: bool = False  # an order is known and not carried out yet
    failures: int = 0
    retry_at_ms: int = 0


@attrs.frozen
class Wait:
    """Wait until a time, or until the next check of the engine when the time is None."""

    until_ms: int | None = None


@attrs.frozen
class AcquireSlot:
    """Acquire one of the fleet's slots for concurrent weight loads."""


@attrs.frozen
class AcquireLease:
    """Acquire the lease of the engine, and with it a fencing token."""


@attrs.frozen
class SendOrder:
    """Send an order with a fencing token."""

    order: Order
    token: int


OrderStep = Wait | AcquireSlot | AcquireLease | SendOrder

__all__ = [
    "AcquireLease",
    "AcquireSlot",
    "EngineConfig",
    "HeldLease",
    "LoadAdapter",
    "LoadModel",
    "Order",
    "OrderStep",
    "OrderTable",
    "SendOrder",
    "SetRole",
    "Wait",
]
