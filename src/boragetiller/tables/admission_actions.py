"""Actions that admission control returns and the agent carries out."""

from __future__ import annotations

import attrs

from boragetiller.errors import BoragetillerError


@attrs.frozen
class StartWork:
    """Send the request to the backend server."""

    request_id: str


@attrs.frozen
class RefuseWork:
    """Answer a queued request, which never ran, with an error."""

    request_id: str
    error: BoragetillerError


@attrs.frozen
class PreemptWork:
    """Cancel a running request at the engine; the router resumes it on another attempt."""

    request_id: str


AdmissionAction = StartWork | RefuseWork | PreemptWork

__all__ = ["AdmissionAction", "PreemptWork", "RefuseWork", "StartWork"]
