"""Orders to an engine, the leases that they need, and what the agent does next about them."""

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
    """Change what part of the work the engine does."""

    role: str


Order = LoadModel | LoadAdapter | SetRole


@attrs.frozen(kw_only=True)
class EngineConfig:
    """What an engine holds, or should hold; an empty role is any."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""


@attrs.frozen(kw_only=True)
class HeldLease:
    """A lease of this process; its token is the fencing number."""

    name: str
    token: int
    ttl_ms: int
    valid_until_ms: int  # monotonic time of this process


@attrs.define(kw_only=True)
class OrderTable:
    """State of one agent's orders."""

    lease: HeldLease | None = None
    slot: HeldLease | None = None
    newest_token: int = 0
    waiting: bool = False  # an order was noticed and is not carried out yet
    failures: int = 0
    retry_at_ms: int = 0


@attrs.frozen
class Wait:
    """Nothing to do before a moment, or before the next look at the engine when it is None."""

    until_ms: int | None = None


@attrs.frozen
class AcquireSlot:
    """Take one of the fleet's places for weight loads."""


@attrs.frozen
class AcquireLease:
    """Take the lease of the engine, and with it a fencing number."""


@attrs.frozen
class SendOrder:
    """Send an order under a fencing number."""

    order: Order
    token: int


OrderStep = Wait | AcquireSlot | AcquireLease | SendOrder

__all__ = [
    "EngineConfig",
    "HeldLease",
    "LoadAdapter",
    "LoadModel",
    "Order",
    "OrderStep",
    "OrderTable",
    "Wait",
    "SendOrder",
    "SetRole",
    "AcquireLease",
    "AcquireSlot",
]
