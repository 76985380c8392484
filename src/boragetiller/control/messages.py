"""Messages of the control exchange."""

from __future__ import annotations

import attrs

from boragetiller.settings import Role

PROTOCOL_VERSION = 1
FINGERPRINT_BYTES = 16


@attrs.frozen(kw_only=True)
class Hello:
    """First message of each side; the nonce makes each handshake unique."""

    role: Role
    name: str
    incarnation: int
    failure_domain: str
    region: str = "default"
    version: int = PROTOCOL_VERSION
    nonce: bytes = b""


@attrs.frozen(kw_only=True)
class Proof:
    """Proof that the sender has the key: an HMAC over the hello messages of both sides."""

    mac: bytes


@attrs.frozen(kw_only=True)
class CrashReport:
    """Report that a backend server crashed while it ran a request body."""

    fingerprint: bytes
    backend_server: str
    age_ms: int


@attrs.frozen(kw_only=True)
class Report:
    """
    Heartbeat with the state of the sender; `queued` is indexed by tier.

    The incarnation of the sender is that of its hello message on the same connection.
    """

    draining: bool = False
    running: int = 0
    max_running: int = 0
    queued: tuple[int, int, int, int] = (0, 0, 0, 0)
    service_ms: float = 0.0
    first_token_ms: float = 0.0
    between_tokens_ms: float = 0.0
    protected_running: int | None = None  # running and not preemptible; None if not reported
    pages_digest: int = 0
    owned_shards: tuple[int, ...] | None = None  # None if unchanged since the last report
    crash_reports: tuple[CrashReport, ...] = ()


@attrs.frozen(kw_only=True)
class PageVersions:
    """Store revisions of the sender's configuration pages, by page index."""

    revisions: dict[int, int]
    partial: bool = False  # holds only the pages that changed since the last message
    complete: bool = False  # the sender holds a complete configuration


@attrs.frozen(kw_only=True)
class PageRequest:
    """Request for configuration pages."""

    indexes: tuple[int, ...]


@attrs.frozen(kw_only=True)
class PageResponse:
    """A configuration page, as stored."""

    index: int
    revision: int
    body: bytes


@attrs.frozen(kw_only=True)
class CrashReportList:
    """Crash reports known to the sender."""

    crash_reports: tuple[CrashReport, ...]


@attrs.frozen(kw_only=True)
class ShareRequest:
    """Request to borrow a share of a customer's limits; 1.0 is the complete limit."""

    customer: str
    share: float


@attrs.frozen(kw_only=True)
class ShareGrant:
    """Loan of a share of a customer's limits, in response to a request."""

    customer: str
    share: float


@attrs.frozen(kw_only=True)
class Goodbye:
    """Notice that the sender closes the connection intentionally."""

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
