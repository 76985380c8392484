"""Actions that systems return and adapters carry out."""

from __future__ import annotations

import attrs

from boragetiller.errors import BoragetillerError


@attrs.frozen
class StartWork:
    """Send the request to the backend server now."""

    request_id: str


@attrs.frozen
class RefuseWork:
    """Answer a queued request with an error; it never ran."""

    request_id: str
    error: BoragetillerError


@attrs.frozen
class PreemptWork:
    """Cancel a running request at the engine; the router resumes it elsewhere or later."""

    request_id: str


AdmissionAction = StartWork | RefuseWork | PreemptWork

__all__ = ["AdmissionAction", "PreemptWork", "RefuseWork", "StartWork"]
