"""Actions that the decisions about claims and shards return to the agent."""

from __future__ import annotations

from typing import Any

import attrs

from boragetiller.errors import BoragetillerError
from boragetiller.tables.shards import ShardPage, StoredClaim


@attrs.frozen
class RunCall:
    """Run a call; no other call of its key runs."""

    call_id: int


@attrs.frozen
class ReplayResponse:
    """Answer a call with the stored response of its key."""

    call_id: int
    response: Any


@attrs.frozen
class RefuseCall:
    """Answer a call with an error."""

    call_id: int
    error: BoragetillerError


@attrs.frozen
class ReadPage:
    """Read the page of a shard."""

    shard: int


@attrs.frozen
class WritePage:
    """Write the page of a shard if its revision is the expected one."""

    shard: int
    page: ShardPage
    expected_revision: int


@attrs.frozen
class ReadSegments:
    """Read the sealed segments of a shard before taking the shard over."""

    shard: int
    numbers: tuple[int, ...]


@attrs.frozen
class WriteSegment:
    """Create a sealed segment."""

    shard: int
    number: int
    claims: tuple[StoredClaim, ...]


@attrs.frozen
class DeleteSegment:
    """Delete an expired segment."""

    shard: int
    number: int


ShardAction = (
    RunCall
    | ReplayResponse
    | RefuseCall
    | ReadPage
    | WritePage
    | ReadSegments
    | WriteSegment
    | DeleteSegment
)

__all__ = [
    "DeleteSegment",
    "ReadPage",
    "ReadSegments",
    "RefuseCall",
    "ReplayResponse",
    "RunCall",
    "ShardAction",
    "WritePage",
    "WriteSegment",
]
