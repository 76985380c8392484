"""Settings of configuration updates and of orders to engines."""

from __future__ import annotations

import attrs
from attrs import validators

from boragetiller.settings.fields import POSITIVE


@attrs.frozen(kw_only=True)
class ConfigSettings:
    """Updates of the configuration from the store and from peers."""

    retry_base_ms: int = attrs.field(default=100, validator=POSITIVE)
    retry_max_ms: int = attrs.field(default=2_000, validator=POSITIVE)
    watch_restart_ms: int = attrs.field(default=30_000, validator=POSITIVE)
    peer_silence_ms: int = attrs.field(default=5_000, validator=POSITIVE)
    peer_wait_ms: int = attrs.field(default=1_500, validator=POSITIVE)


@attrs.frozen(kw_only=True)
class OrderSettings:
    """Orders that an agent sends to its engine."""

    enabled: bool = True
    check_interval_ms: int = attrs.field(default=2_000, validator=POSITIVE)
    lease_ttl_ms: int = attrs.field(default=10_000, validator=POSITIVE)
    delivery_ms: int = attrs.field(default=1_000, validator=POSITIVE)
    load_timeout_ms: int = attrs.field(default=600_000, validator=POSITIVE)
    role_timeout_ms: int = attrs.field(default=30_000, validator=POSITIVE)
    retry_base_ms: int = attrs.field(default=1_000, validator=POSITIVE)
    retry_max_ms: int = attrs.field(default=30_000, validator=POSITIVE)
    spread_ms_per_member: int = attrs.field(default=10, validator=validators.ge(0))

    @property
    def slot_ttl_ms(self) -> int:
        """:return: lifetime of a slot, enough to acquire the lease and then load the model"""
        return self.load_timeout_ms + self.lease_ttl_ms + self.delivery_ms


__all__ = [
    "ConfigSettings",
    "OrderSettings",
]
