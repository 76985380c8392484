"""Duties, which one router holds at a time, and what their holders send to the platform."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs

from boragetiller.tables.store_writes import ExpectedRevision, StoreLease


class DutyKind(Enum):
    """What a duty is about."""

    USAGE_REPORT = "usage_report"
    SERVER_COUNT = "server_count"


@attrs.frozen
class Duty:
    """Calls to the platform that one router makes at a time."""

    kind: DutyKind
    subject: str = ""  # such as a backend group and failure domain; empty if the kind has only one


@attrs.frozen(kw_only=True)
class Holding:
    """A duty that this router holds."""

    duty: Duty
    token: int  # fencing token, higher than that of every earlier holder
    holder: str  # name of this router
    valid_until_ms: int  # on the clock that includes suspended time
    era: int  # of the store, for transactions with the condition below
    # Fails once another holder has acquired the duty.
    condition: ExpectedRevision


class LossReason(Enum):
    """Why a router no longer holds a duty."""

    EXPIRED = "expired"  # the lease was not renewed in time
    LEASE_ENDED = "lease_ended"  # the store no longer knows the lease
    RESTORED = "restored"  # the store was restored from an older copy
    UNREGISTERED = "unregistered"
    STOPPED = "stopped"  # the process stops


@attrs.frozen(kw_only=True)
class DutyRecord:
    """Value of both keys of a duty: who acquired it last."""

    token: int
    holder: str
    incarnation: int  # of the holder
    attempt: int  # number of the attempt to acquire among those of the incarnation
    lease_id: int


@attrs.frozen
class StoredRecord:
    """A record and its extended revision in the store."""

    record: DutyRecord
    revision: int


@attrs.frozen(kw_only=True)
class StoredDuty:
    """The keys of a duty as read from the store."""

    era: int
    position: int  # extended revision after which changes are to be watched
    lease: StoredRecord | None  # None if no router holds the duty
    token: StoredRecord | None  # None if no router has held it in this era


@attrs.frozen(kw_only=True)
class HeldLease:
    """The lease under which a router holds its duties."""

    lease: StoreLease
    sent_ms: int  # when the request for it or its last renewal was sent
    valid_until_ms: int


@attrs.frozen(kw_only=True)
class HeldDuty:
    """A duty that this router acquired."""

    token: StoredRecord  # of the key that counts tokens
    lease_revision: int  # extended revision of the key under the lease
    era: int
    acquired_ms: int  # when the answer to the transaction arrived


@attrs.frozen(kw_only=True)
class FormerDuty:
    """A duty that this router held."""

    token: int
    ended_ms: int
    freed: bool  # whether it sent a transaction that frees the duty


@attrs.define
class SeenEra:
    """Era of the store, and since when this router has known it."""

    era: int
    since_ms: int


@attrs.frozen(kw_only=True)
class UsageReport:
    """Number of requests of each customer in one window."""

    window_no: int
    counts: Mapping[str, int]


@attrs.frozen(kw_only=True)
class ServerOrder:
    """Number of servers that a backend group is to have in a failure domain."""

    group: str
    failure_domain: str
    servers: int


__all__ = [
    "Duty",
    "DutyKind",
    "DutyRecord",
    "HeldDuty",
    "HeldLease",
    "Holding",
    "LossReason",
    "FormerDuty",
    "SeenEra",
    "ServerOrder",
    "StoredDuty",
    "StoredRecord",
    "UsageReport",
]
