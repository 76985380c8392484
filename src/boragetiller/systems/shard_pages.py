"""Build the pages of a shard, and encode pages and segments for the store."""

from __future__ import annotations

import base64
import json
import struct
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from boragetiller.errors import ProtocolError
from boragetiller.systems.shard_restores import get_next_sequence
from boragetiller.tables.claims import DIGEST_BYTES, FINGERPRINT_BYTES, ClaimState
from boragetiller.tables.shards import SegmentRef, ShardPage, StoredClaim
from boragetiller.value_checks import check_count

if TYPE_CHECKING:
    from boragetiller.tables.shards import Shard, ShardTable

T = TypeVar("T")

_PAGE_FIELDS = {field.name for field in attrs.fields(ShardPage)}
_CLAIM = struct.Struct(f">{DIGEST_BYTES}s{FINGERPRINT_BYTES}s?I")


def build_page(
    table: ShardTable, shard: Shard, now_ms: int, wall_ms: int, *, from_memory: bool
) -> ShardPage:
    """
    Build the next page of an owned shard.

    :param table: name and incarnation of the owner
    :param shard: the shard
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :param from_memory: whether the owner may serve from memory after this write
    :return: the page
    """
    return ShardPage(
        owner=table.name,
        incarnation=table.incarnation,
        sequence=get_next_sequence(shard),
        sent_wall_ms=wall_ms,
        from_memory=from_memory,
        uncertain_ms=max(0, shard.uncertain_until_ms - now_ms),
        next_segment=shard.next_segment,
        segments=_build_segment_refs(shard, now_ms),
        claims=build_stored_claims(shard, tuple(shard.unsealed), now_ms),
    )


def build_stored_claims(
    shard: Shard, digests: tuple[bytes, ...], now_ms: int
) -> tuple[StoredClaim, ...]:
    """
    Convert claims to the form stored in pages and segments.

    :param shard: the shard
    :param digests: keys of the claims
    :param now_ms: monotonic time in milliseconds
    :return: the claims, without those that were withdrawn before any write contained them
    """
    claims = []
    for digest in digests:
        claim = shard.claims[digest]
        if claim.state is ClaimState.WITHDRAWN and not claim.write_sent:
            continue
        stored_claim = StoredClaim(
            digest=digest,
            fingerprint=claim.fingerprint,
            finished=claim.state is ClaimState.FINISHED,
            remaining_ms=max(0, claim.expires_ms - now_ms),
        )
        claims.append(stored_claim)
    return tuple(claims)


def encode_page(page: ShardPage) -> bytes:
    """:return: the page in its stored form"""
    fields = {
        "owner": page.owner,
        "incarnation": page.incarnation,
        "sequence": page.sequence,
        "sent_wall_ms": page.sent_wall_ms,
        "from_memory": page.from_memory,
        "uncertain_ms": page.uncertain_ms,
        "next_segment": page.next_segment,
        "segments": [[ref.number, ref.remaining_ms] for ref in page.segments],
        "claims": base64.b64encode(encode_claims(page.claims)).decode(),
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_page(value: bytes) -> ShardPage:
    """
    Decode a page.

    :param value: the page in its stored form
    :return: the page
    :raises ProtocolError: the value is not a page
    """
    try:
        fields = json.loads(value)
        if unknown := set(fields) - _PAGE_FIELDS:
            raise ValueError(f"unknown fields {sorted(unknown)}")
        return ShardPage(
            owner=_check_type(fields["owner"], str),
            incarnation=check_count(fields["incarnation"]),
            sequence=check_count(fields["sequence"]),
            sent_wall_ms=check_count(fields["sent_wall_ms"]),
            from_memory=_check_type(fields["from_memory"], bool),
            uncertain_ms=check_count(fields["uncertain_ms"]),
            next_segment=check_count(fields["next_segment"]),
            segments=tuple(
                SegmentRef(number=check_count(number), remaining_ms=check_count(ms))
                for number, ms in _check_type(fields["segments"], list)
            ),
            claims=decode_claims(base64.b64decode(_check_type(fields["claims"], str))),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ProtocolError(f"invalid shard page: {error}") from error


def _check_type(value: Any, kind: type[T]) -> T:
    """:raises ValueError: the value has another type"""
    if type(value) is not kind:
        raise ValueError(f"got {value!r:.40}; must be {kind.__name__}")
    return value


def encode_claims(claims: tuple[StoredClaim, ...]) -> bytes:
    """:return: the claims, each in a fixed number of bytes"""
    return b"".join(
        _CLAIM.pack(claim.digest, claim.fingerprint, claim.finished, claim.remaining_ms)
        for claim in claims
    )


def decode_claims(value: bytes) -> tuple[StoredClaim, ...]:
    """
    Decode claims.

    :param value: output of :func:`encode_claims`
    :return: the claims
    :raises ProtocolError: the length is not a multiple of the size of one claim
    """
    try:
        return tuple(
            StoredClaim(digest=d, fingerprint=f, finished=done, remaining_ms=ms)
            for d, f, done, ms in _CLAIM.iter_unpack(value)
        )
    except struct.error as error:
        raise ProtocolError(
            f"invalid shard claims: {len(value)} bytes, not a multiple of {_CLAIM.size}"
        ) from error


def _build_segment_refs(shard: Shard, now_ms: int) -> tuple[SegmentRef, ...]:
    return tuple(
        SegmentRef(number=number, remaining_ms=max(0, expires_ms - now_ms))
        for number, expires_ms in shard.segment_expires_ms.items()
    )


__all__ = [
    "build_page",
    "decode_claims",
    "decode_page",
    "encode_claims",
    "encode_page",
    "build_stored_claims",
]
