"""Messages of the control exchange."""

from __future__ import annotations

import attrs

from boragetiller.settings import Role

PROTOCOL_VERSION = 1
FINGERPRINT_BYTES = 16


@attrs.frozen(kw_only=True)
class Hello:
    """First message of each side; the nonce makes the handshake of a connection unique."""

    role: Role
    name: str
    incarnation: int
    failure_domain: str
    region: str = "default"
    version: int = PROTOCOL_VERSION
    nonce: bytes = b""


@attrs.frozen(kw_only=True)
class Proof:
    """Shows that the sender knows the key; covers both hellos."""

    mac: bytes


@attrs.frozen(kw_only=True)
class CrashReport:
    """A request body that was running on a backend server when it crashed."""

    fingerprint: bytes
    backend_server: str
    age_ms: int


@attrs.frozen(kw_only=True)
class Report:
    """
    Heartbeat with the sender's state; `queued` is indexed by tier.

    The incarnation is that of the hello of the same connection.
    """

    draining: bool = False
    running: int = 0
    max_running: int = 0
    queued: tuple[int, int, int, int] = (0, 0, 0, 0)
    service_ms: float = 0.0
    first_token_ms: float = 0.0
    between_tokens_ms: float = 0.0
    protected_running: int | None = None  # running work that never gives way
    pages_digest: int = 0
    owned_shards: tuple[int, ...] | None = None  # None when unchanged on this connection
    crash_reports: tuple[CrashReport, ...] = ()


@attrs.frozen(kw_only=True)
class PageVersions:
    """Store revisions of configuration pages by index."""

    revisions: dict[int, int]
    partial: bool = False  # only the pages that changed since the last message
    complete: bool = False  # the sender has a whole configuration


@attrs.frozen(kw_only=True)
class PageRequest:
    """Asks for configuration pages."""

    indexes: tuple[int, ...]


@attrs.frozen(kw_only=True)
class PageResponse:
    """One configuration page."""

    index: int
    revision: int
    body: bytes


@attrs.frozen(kw_only=True)
class CrashReportList:
    """Strikes that the sender knows of."""

    crash_reports: tuple[CrashReport, ...]


@attrs.frozen(kw_only=True)
class ShareRequest:
    """Asks a router for a part of a customer's limits; `share` is of the whole limit."""

    customer: str
    share: float


@attrs.frozen(kw_only=True)
class ShareGrant:
    """Lends a part of a customer's limits in answer to a request."""

    customer: str
    share: float


@attrs.frozen(kw_only=True)
class Goodbye:
    """The sender closes the connection on purpose."""

    reason: str


Message = (
    Hello
    | Proof
    | Report
    | PageVersions
    | PageRequest
    | PageResponse
    | CrashReportList
    | ShareRequest
    | ShareGrant
    | Goodbye
)

__all__ = [
    "FINGERPRINT_BYTES",
    "PROTOCOL_VERSION",
    "CrashReport",
    "CrashReportList",
    "Goodbye",
    "Hello",
    "Message",
    "PageRequest",
    "PageResponse",
    "PageVersions",
    "Proof",
    "Report",
    "ShareGrant",
    "ShareRequest",
]
