"""Messages between routers, and their encoding as Cap'n Proto frames."""

from __future__ import annotations

import zlib
from functools import lru_cache, singledispatch
from pathlib import Path
from typing import Any

import attrs
import capnp

from boragetiller.control.capnp_packing import WORD_BYTES, pack_message, unpack_message
from boragetiller.control.errors import BadFrame
from boragetiller.gateway.peer_report_reader import read_report
from boragetiller.gateway.peer_reports import (
    CachedPrompt,
    PeerReport,
    ReportedLoad,
    build_report_fields,
    count_entries,
)
from boragetiller.gateway.settings import Endpoint
from boragetiller.store_eras import extend_revision, get_era, get_store_revision
from boragetiller.tables.store_view import EntryVersion, StoredItem

LENGTH_BYTES = 4
ENVELOPE_WORDS = 256
ITEM_WORDS = 64  # a key has at most 200 bytes
MAX_FRAME_BYTES = 4_194_304  # a store value has at most 1 MB
COMPACT_MIN_BYTES = 4_096  # smaller values fit into a few packets as they are
DEFLATE_LEVEL = 1  # the fastest; 1 MB of routes becomes 82 kB
MAX_DEFLATED = 2  # values that are kept for all peers: the newest configuration, the one before

_SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")), imports=[])


@attrs.frozen(kw_only=True)
class PeerHello:
    """First message of a connection: name and address of the sender."""

    name: str
    incarnation: int
    address: str
    port: int
    usage_only: bool = False  # reports on the connection have only counts of requests
    asks_for_config: bool = False  # needs no configuration unasked, and reads compact items


@attrs.frozen
class PeerItems:
    """Store entries that the receiver lacks."""

    items: tuple[StoredItem, ...]
    compact: bool = attrs.field(default=False, eq=False)  # whether large values are deflated


@attrs.frozen
class PeerRouters:
    """Addresses of routers that report to the sender."""

    endpoints: tuple[Endpoint, ...]


PeerMessage = PeerHello | PeerReport | PeerItems | PeerRouters


def encode_frame(message: PeerMessage) -> bytes:
    """
    Encode a message as a frame: its length and its bytes.

    :param message: the message
    :return: the frame
    :raises FrameTooLarge: the message does not fit into one Cap'n Proto segment
    """
    name, value = _to_capnp(message)
    words = _estimate_segment_words(message)
    data = pack_message(
        _SCHEMA.Envelope.new_message(num_first_segment_words=words, **{name: value})
    )
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_payload(data: bytes) -> PeerMessage:
    """
    Decode a message.

    :param data: bytes of a frame without the length
    :return: the message
    :raises BadFrame: the bytes are not a known message
    """
    envelope = unpack_message(_SCHEMA.Envelope, data)
    try:
        return _from_capnp(envelope)
    except (capnp.KjException, RuntimeError, ValueError, TypeError) as error:
        raise BadFrame(str(error)[:100]) from error


def _estimate_segment_words(message: PeerMessage) -> int:
    if isinstance(message, PeerItems):
        return ENVELOPE_WORDS + sum(
            ITEM_WORDS + len(item.value or b"") // WORD_BYTES for item in message.items
        )
    if isinstance(message, PeerRouters):
        return ENVELOPE_WORDS + ITEM_WORDS * len(message.endpoints)
    if isinstance(message, PeerReport):
        return ENVELOPE_WORDS + ITEM_WORDS * count_entries(message)
    return ENVELOPE_WORDS


def _from_capnp(envelope: Any) -> PeerMessage:
    match str(envelope.which()):
        case "hello":
            hello = envelope.hello
            return PeerHello(
                name=hello.name,
                incarnation=hello.incarnation,
                address=hello.address,
                port=hello.port,
                usage_only=hello.usageOnly,
                asks_for_config=hello.asksForConfig,
            )
        case "report":
            return read_report(envelope.report)
        case "items":
            return PeerItems(tuple(_read_item(item) for item in envelope.items))
        case "routers":
            return PeerRouters(tuple(Endpoint(r.address, r.port) for r in envelope.routers))
    raise BadFrame("unknown message type")


def _read_item(item: Any) -> StoredItem:
    revision = extend_revision(item.era, item.revision)
    if not item.removed:
        value = _inflate(bytes(item.deflated)) if item.deflated else bytes(item.value)
        return StoredItem(item.key, value, revision)
    version = None
    if item._has("removedVersion"):  # noqa: SLF001
        stored = item.removedVersion
        version = EntryVersion(stored.writerStartedMs, stored.number)
    return StoredItem(item.key, None, revision, version)


@lru_cache(maxsize=MAX_DEFLATED)
def _deflate(value: bytes) -> bytes:
    return zlib.compress(value, DEFLATE_LEVEL)


def _inflate(data: bytes) -> bytes:
    """:raises ValueError: the bytes are malformed, or too long when inflated"""
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise ValueError(f"deflated value of {len(data)} bytes: {error}") from error
    if not inflater.eof:
        raise ValueError(f"deflated value: over {MAX_FRAME_BYTES} bytes, or cut off")
    return value


@singledispatch
def _to_capnp(message: PeerMessage) -> tuple[str, Any]:
    raise TypeError(type(message).__name__)


@_to_capnp.register
def _(message: PeerHello) -> tuple[str, Any]:
    fields = attrs.asdict(message)
    fields["usageOnly"] = fields.pop("usage_only")
    fields["asksForConfig"] = fields.pop("asks_for_config")
    return "hello", fields


@_to_capnp.register
def _(message: PeerReport) -> tuple[str, Any]:
    return "report", build_report_fields(message)


@_to_capnp.register
def _(message: PeerItems) -> tuple[str, Any]:
    return "items", [_build_item(item, compact=message.compact) for item in message.items]


def _build_item(item: StoredItem, *, compact: bool) -> dict[str, Any]:
    value = item.value or b""
    is_deflated = compact and len(value) >= COMPACT_MIN_BYTES
    fields: dict[str, Any] = {
        "key": item.key,
        "value": b"" if is_deflated else value,
        "deflated": _deflate(value) if is_deflated else b"",
        "revision": get_store_revision(item.revision),
        "era": get_era(item.revision),
        "removed": item.value is None,
    }
    version = item.removed_version
    if version is not None:
        fields["removedVersion"] = {
            "writerStartedMs": version.writer_started_ms,
            "number": version.number,
        }
    return fields


@_to_capnp.register
def _(message: PeerRouters) -> tuple[str, Any]:
    return "routers", [attrs.asdict(endpoint) for endpoint in message.endpoints]


__all__ = [
    "LENGTH_BYTES",
    "MAX_FRAME_BYTES",
    "PeerHello",
    "PeerItems",
    "PeerMessage",
    "PeerReport",
    "PeerRouters",
    "CachedPrompt",
    "ReportedLoad",
    "decode_payload",
    "encode_frame",
]
