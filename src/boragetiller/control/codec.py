"""Encode and decode messages of the control exchange as packed Cap'n Proto."""

from __future__ import annotations

import zlib
from functools import lru_cache, singledispatch
from pathlib import Path
from typing import TYPE_CHECKING, Any

import capnp

from boragetiller.control.capnp_packing import (
    MAX_UNPACKED_BYTES,
    WORD_BYTES,
    pack_message,
    unpack_message,
)
from boragetiller.control.errors import BadFrame
from boragetiller.control.messages import (
    CrashReport,
    CrashReportList,
    Goodbye,
    Hello,
    PageRequest,
    PageResponse,
    PageVersions,
    Proof,
    Report,
    ShareGrant,
    ShareRequest,
)
from boragetiller.settings import Role

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.control.messages import Message

REPORT_BASE_WORDS = 64
CRASH_REPORT_WORDS = 64
DEFAULT_SEGMENT_WORDS = 4_096
MAX_PAGE_BYTES = 4_194_304
COMPRESSED_PAGE_CACHE_SIZE = 8  # pages; a page is sent to many peers in succession
TENTHS_PER_MS = 10
MILLIONTHS_PER_UNIT = 1_000_000
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFF_FFFF

_SCHEMA = capnp.load(str(Path(__file__).with_name("exchange.capnp")), imports=[])


def encode(message: Message) -> bytes:
    """
    Encode a message.

    :param message: the message
    :return: packed Cap'n Proto bytes
    :raises FrameTooLarge: the message does not fit into one Cap'n Proto segment
    """
    name, value = _to_capnp(message)
    words = _estimate_segment_words(message)
    envelope = _SCHEMA.Envelope.new_message(num_first_segment_words=words, **{name: value})
    return pack_message(envelope)


def decode(data: bytes, max_unpacked_bytes: int = MAX_UNPACKED_BYTES) -> Message:
    """
    Decode a message.

    :param data: packed Cap'n Proto bytes
    :param max_unpacked_bytes: limit of the unpacked size, since a small frame may unpack to a
        very large message
    :return: the message
    :raises BadFrame: the bytes are not a message that this version can decode
    """
    envelope = unpack_message(_SCHEMA.Envelope, data, max_unpacked_bytes)
    try:
        name = str(envelope.which())
        return _DECODERS[name](getattr(envelope, name))
    except (capnp.KjException, RuntimeError, ValueError, KeyError, TypeError, zlib.error) as error:
        raise BadFrame(str(error)[:100]) from error


@singledispatch
def _to_capnp(message: Any) -> tuple[str, Any]:
    raise TypeError(f"not a control message: {type(message).__name__}")


@_to_capnp.register
def _(message: Hello) -> tuple[str, Any]:
    return "hello", {
        "version": message.version,
        "role": message.role.value,
        "name": message.name,
        "incarnation": message.incarnation,
        "failureDomain": message.failure_domain,
        "region": message.region,
        "nonce": message.nonce,
    }


@_to_capnp.register
def _(message: Proof) -> tuple[str, Any]:
    return "proof", message.mac


@_to_capnp.register
def _(message: Report) -> tuple[str, Any]:
    fields: dict[str, Any] = {
        "pagesDigest": message.pages_digest,
        "running": min(message.running, MAX_UINT16),
        "maxRunning": min(message.max_running, MAX_UINT16),
        "serviceTenthsMs": _to_tenths(message.service_ms),
        "firstTokenTenthsMs": _to_tenths(message.first_token_ms),
        "betweenTokensTenthsMs": _to_tenths(message.between_tokens_ms),
        "draining": message.draining,
    }
    if message.protected_running is not None:
        fields["hasProtectedRunning"] = True
        fields["protectedRunning"] = min(message.protected_running, MAX_UINT16)
    for tier, count in enumerate(message.queued):
        fields[f"queued{tier}"] = min(count, MAX_UINT16)
    if message.owned_shards is not None:
        fields["hasShards"] = True
        fields["ownedShards"] = list(message.owned_shards)
    if message.crash_reports:
        fields["strikes"] = [_crash_report_to_capnp(report) for report in message.crash_reports]
    return "report", fields


@_to_capnp.register
def _(message: PageVersions) -> tuple[str, Any]:
    pages = [{"index": i, "revision": r} for i, r in sorted(message.revisions.items())]
    return "pageVersions", {
        "complete": message.complete,
        "partial": message.partial,
        "pages": pages,
    }


@_to_capnp.register
def _(message: PageRequest) -> tuple[str, Any]:
    return "pageRequest", list(message.indexes)


@_to_capnp.register
def _(message: PageResponse) -> tuple[str, Any]:
    return "pageResponse", {
        "index": message.index,
        "revision": message.revision,
        "zlibBody": _compress(message.body),
    }


@_to_capnp.register
def _(message: CrashReportList) -> tuple[str, Any]:
    return "strikeList", [_crash_report_to_capnp(report) for report in message.crash_reports]


@_to_capnp.register
def _(message: ShareRequest) -> tuple[str, Any]:
    return "shareRequest", _share_to_capnp(message)


@_to_capnp.register
def _(message: ShareGrant) -> tuple[str, Any]:
    return "shareGrant", _share_to_capnp(message)


@_to_capnp.register
def _(message: Goodbye) -> tuple[str, Any]:
    return "goodbye", message.reason


def _decode_hello(reader: Any) -> Hello:
    return Hello(
        version=reader.version,
        role=Role(str(reader.role)),
        name=reader.name,
        incarnation=reader.incarnation,
        failure_domain=reader.failureDomain,
        region=reader.region,
        nonce=reader.nonce,
    )


def _decode_report(reader: Any) -> Report:
    return Report(
        draining=reader.draining,
        running=reader.running,
        max_running=reader.maxRunning,
        queued=(reader.queued0, reader.queued1, reader.queued2, reader.queued3),
        service_ms=reader.serviceTenthsMs / TENTHS_PER_MS,
        first_token_ms=reader.firstTokenTenthsMs / TENTHS_PER_MS,
        between_tokens_ms=reader.betweenTokensTenthsMs / TENTHS_PER_MS,
        protected_running=reader.protectedRunning if reader.hasProtectedRunning else None,
        pages_digest=reader.pagesDigest,
        owned_shards=tuple(reader.ownedShards) if reader.hasShards else None,
        crash_reports=tuple(_decode_crash_report(report) for report in reader.strikes),
    )


def _decode_page_versions(reader: Any) -> PageVersions:
    revisions = {page.index: page.revision for page in reader.pages}
    return PageVersions(revisions=revisions, partial=reader.partial, complete=reader.complete)


def _decode_page_response(reader: Any) -> PageResponse:
    body = _decompress(reader.zlibBody)
    return PageResponse(index=reader.index, revision=reader.revision, body=body)


def _decode_crash_report(reader: Any) -> CrashReport:
    return CrashReport(
        fingerprint=reader.fingerprint,
        backend_server=reader.backendServer,
        age_ms=reader.ageMs,
    )


def _crash_report_to_capnp(report: CrashReport) -> dict[str, Any]:
    return {
        "fingerprint": report.fingerprint,
        "backendServer": report.backend_server,
        "ageMs": min(report.age_ms, MAX_UINT32),
    }


def _estimate_segment_words(message: Message) -> int:
    if isinstance(message, Report):
        items = len(message.owned_shards or ()) + len(message.crash_reports) * CRASH_REPORT_WORDS
        return REPORT_BASE_WORDS + items
    if isinstance(message, PageResponse):
        return DEFAULT_SEGMENT_WORDS + len(_compress(message.body)) // WORD_BYTES
    return DEFAULT_SEGMENT_WORDS


def _share_to_capnp(message: ShareRequest | ShareGrant) -> dict[str, Any]:
    return {"customer": message.customer, "millionths": int(message.share * MILLIONTHS_PER_UNIT)}


def _decode_share(reader: Any) -> dict[str, Any]:
    return {"customer": reader.customer, "share": reader.millionths / MILLIONTHS_PER_UNIT}


@lru_cache(maxsize=COMPRESSED_PAGE_CACHE_SIZE)
def _compress(body: bytes) -> bytes:
    return zlib.compress(body)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MAX_PAGE_BYTES)
    if not decompressor.eof:
        raise BadFrame("page body is larger than 4 MiB or truncated")
    return body


def _to_tenths(value_ms: float) -> int:
    return min(max(round(value_ms * TENTHS_PER_MS), 0), MAX_UINT32)


_DECODERS: dict[str, Callable[[Any], Message]] = {
    "hello": _decode_hello,
    "proof": lambda reader: Proof(mac=reader),
    "report": _decode_report,
    "pageVersions": _decode_page_versions,
    "pageRequest": lambda reader: PageRequest(indexes=tuple(reader)),
    "pageResponse": _decode_page_response,
    "strikeList": lambda reader: CrashReportList(
        crash_reports=tuple(_decode_crash_report(item) for item in reader)
    ),
    "shareRequest": lambda reader: ShareRequest(**_decode_share(reader)),
    "shareGrant": lambda reader: ShareGrant(**_decode_share(reader)),
    "goodbye": lambda reader: Goodbye(reason=reader),
}

__all__ = ["decode", "encode"]
