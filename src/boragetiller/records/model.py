"""Entities that operators' records describe, in the newest schema version."""

from __future__ import annotations

from typing import Any

import attrs
from attrs import validators

from boragetiller.settings import BackendKind

LOWEST_TIER = 3
MAX_VALUE = 1_000_000_000  # of times in milliseconds, rates and weights
MAX_SHARDS = 65_536  # each agent of a group goes through all shards
_POSITIVE: Any = validators.and_(validators.gt(0), validators.le(MAX_VALUE))
_KEY_HASHES = validators.deep_iterable(validators.matches_re("[0-9a-f]{64}"))


@attrs.frozen(kw_only=True)
class Customer:
    """A caller with its access and limits; keys are stored as SHA-256 hashes in hex."""

    name: str
    key_hashes: tuple[str, ...] = attrs.field(default=(), validator=_KEY_HASHES)
    classes: tuple[str, ...] = ()
    weight: float = attrs.field(default=1.0, validator=_POSITIVE)
    max_concurrent: int = attrs.field(default=1_000, validator=_POSITIVE)
    requests_per_s: float = attrs.field(default=1_000.0, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class RequestClass:
    """Priority and targets of one kind of request; tier 0 has the highest priority."""

    name: str
    group: str
    tier: int = attrs.field(default=1, validator=[validators.ge(0), validators.le(LOWEST_TIER)])
    protected: bool = False
    idempotent: bool = True
    first_token_target_ms: int = attrs.field(default=680, validator=_POSITIVE)
    between_tokens_target_ms: int = attrs.field(default=45, validator=_POSITIVE)
    deadline_ms: int = attrs.field(default=30_000, validator=_POSITIVE)
    weight: float = attrs.field(default=1.0, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class BackendGroup:
    """Interchangeable backend servers; members are the host names of their agents."""

    name: str
    kind: BackendKind = BackendKind.ENGINE
    members: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""  # role of each engine; empty: engines keep their role
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    shards: int = attrs.field(default=16, validator=[validators.gt(0), validators.le(MAX_SHARDS)])


Record = Customer | RequestClass | BackendGroup

__all__ = ["LOWEST_TIER", "BackendGroup", "Customer", "Record", "RequestClass"]
