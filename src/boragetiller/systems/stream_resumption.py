"""
Decide at which software version a stream may go on.

What two versions write does not fit together, and engines do not check it. A stream goes on only
if the version that began it is known, or if no other version can have begun it. Only the store
tells that: a router that cannot read it may not know of a new version either.
"""

from __future__ import annotations

from enum import Enum

import attrs

from boragetiller.tables.stream_versions import VersionSource


class UnknownReason(Enum):
    """Why the version of a stream is not known; the value is a metric label and log field."""

    NOT_RECORDED = "not_recorded"  # several versions served, and no record names the stream's
    CONFLICTING_RECORDS = "conflicting_records"  # records name several versions
    STORE_UNREACHABLE = "store_unreachable"  # records and versions could not be read


@attrs.frozen
class KnownVersion:
    """The stream goes on at a version only."""

    version: str
    source: VersionSource


@attrs.frozen
class UnknownVersion:
    """The stream goes on nowhere."""

    reason: UnknownReason


@attrs.frozen
class StoredVersions:
    """What the store says of a stream and its group."""

    stream_versions: frozenset[str]  # empty without a record of the stream
    group_versions: frozenset[str]  # that served the group recently; empty if none were stored


def decide_resumption(
    stored: StoredVersions | None, known: frozenset[str]
) -> KnownVersion | UnknownVersion:
    """
    Decide at which version a stream goes on that this router does not know.

    :param stored: what the store says, None if it could not be read
    :param known: versions that this router has seen recently in the group, those of the present
        list included, and those that the store named when it last read them
    :return: the version, or why none is known
    """
    if stored is None:
        return UnknownVersion(UnknownReason.STORE_UNREACHABLE)
    if len(stored.stream_versions) > 1:
        return UnknownVersion(UnknownReason.CONFLICTING_RECORDS)
    if stored.stream_versions:
        return KnownVersion(next(iter(stored.stream_versions)), VersionSource.STORE)
    versions = known | stored.group_versions
    if len(versions) == 1:
        return KnownVersion(next(iter(versions)), VersionSource.INFERRED)
    return UnknownVersion(UnknownReason.NOT_RECORDED)


__all__ = [
    "KnownVersion",
    "StoredVersions",
    "UnknownReason",
    "UnknownVersion",
    "decide_resumption",
]
