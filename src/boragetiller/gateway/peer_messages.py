"""Messages between routers, and their encoding as Cap'n Proto frames."""

from __future__ import annotations

import math
from functools import singledispatch
from pathlib import Path
from typing import Any

import attrs
import capnp

from boragetiller.control.capnp_packing import WORD_BYTES, pack_message, unpack_message
from boragetiller.control.errors import BadFrame
from boragetiller.gateway.settings import Endpoint
from boragetiller.store_eras import extend_revision, get_era, get_store_revision
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.failure_history import FailureKind, RequestFailure
from boragetiller.tables.part_crashes import PartCrashReport
from boragetiller.tables.server_limits import LimitReport
from boragetiller.tables.store_view import EntryVersion, StoredItem

LENGTH_BYTES = 4
ENVELOPE_WORDS = 256
ITEM_WORDS = 64  # a key has at most 200 bytes
MAX_FRAME_BYTES = 4_194_304  # a store value has at most 1 MB

_SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")), imports=[])


@attrs.frozen(kw_only=True)
class PeerHello:
    """First message of a connection: name and address of the sender."""

    name: str
    incarnation: int
    address: str
    port: int


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """The sender's load at a backend server."""

    server: str
    in_flight: int  # requests; 0 after the last one has ended
    unread_tokens: tuple[int, ...]  # prompt tokens that wait for prefill, by urgency
    sensitivity: float  # sum over its streams; see systems.server_placement


@attrs.frozen(kw_only=True)
class CachedPrompt:
    """A prompt that the sender sent to a backend server, which now has it in its cache."""

    server: str
    prompt: Prompt


@attrs.frozen(kw_only=True)
class PeerReport:
    """Heartbeat with the changes of the sender's state and the extended revisions that it knows."""

    config_revision: int
    servers_revision: int
    loads: tuple[ReportedLoad, ...] = ()  # only those that changed since the last report
    prompts: tuple[CachedPrompt, ...] = ()
    failures: tuple[RequestFailure, ...] = ()
    part_crashes: tuple[PartCrashReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    store_reads: int = 0  # number of times that the sender polled the store
    reaches_store: bool = False  # whether its last call to the store succeeded
    watches: bool = False  # whether it watches the list of backend servers in the store itself

    def differs_from(self, last: PeerReport | None) -> bool:
        """
        Check whether the report differs from the last one.

        :param last: the last report that was sent, None if there is none
        :return: whether it has loads, prompts, failures, crashes or limits, or another state of the
            store
        """
        changes = (self.loads, self.prompts, self.failures, self.part_crashes, self.limits)
        if last is None or any(changes):
            return True
        return self._store_state() != last._store_state()  # noqa: SLF001

    def _store_state(self) -> tuple[int, int, int, bool, bool]:
        return (
            self.config_revision,
            self.servers_revision,
            self.store_reads,
            self.reaches_store,
            self.watches,
        )


@attrs.frozen
class PeerItems:
    """Store entries that the receiver lacks."""

    items: tuple[StoredItem, ...]


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
        parts = sum(len(read.prompt.parts) for read in message.prompts)
        parts += sum(len(crash.companions) for crash in message.part_crashes)
        entries = len(message.loads) + len(message.prompts) + parts + len(message.failures)
        entries += len(message.part_crashes) + len(message.limits)
        return ENVELOPE_WORDS + ITEM_WORDS * entries
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
            )
        case "report":
            return _read_report(envelope.report)
        case "items":
            return PeerItems(tuple(_read_item(item) for item in envelope.items))
        case "routers":
            return PeerRouters(tuple(Endpoint(r.address, r.port) for r in envelope.routers))
    raise BadFrame("unknown message type")


def _read_finite(value: float) -> float:
    """:raises ValueError: the value is infinite or not a number, which no sum recovers from"""
    if not math.isfinite(value):
        raise ValueError(f"got {value}; must be finite")
    return value


def _read_report(report: Any) -> PeerReport:
    loads = [
        ReportedLoad(
            server=load.server,
            in_flight=load.inFlight,
            unread_tokens=tuple(load.unreadTokens),
            sensitivity=_read_finite(load.sensitivity),
        )
        for load in report.loads
    ]
    prompts = [
        CachedPrompt(server=prompt.server, prompt=_read_prompt(prompt)) for prompt in report.prompts
    ]
    return PeerReport(
        config_revision=extend_revision(report.configEra, report.configRevision),
        servers_revision=extend_revision(report.serversEra, report.serversRevision),
        loads=tuple(loads),
        prompts=tuple(prompts),
        failures=tuple(_read_failure(failure) for failure in report.failures),
        part_crashes=tuple(_read_part_crash(crash) for crash in report.partCrashes),
        limits=tuple(_read_limit(limit) for limit in report.limits),
        store_reads=report.storeReads,
        reaches_store=report.reachesStore,
        watches=report.watches,
    )


def _read_failure(failure: Any) -> RequestFailure:
    kind = FailureKind.CRASH if failure.crashed else FailureKind.ERROR
    return RequestFailure(bytes(failure.fingerprint), failure.server, kind)


def _read_limit(limit: Any) -> LimitReport:
    limit_per_s = None if limit.ended else _read_finite(limit.limitPerS)
    return LimitReport(server=limit.server, limit_per_s=limit_per_s, age_ms=limit.ageMs)


def _read_part_crash(crash: Any) -> PartCrashReport:
    return PartCrashReport(
        part=crash.part,
        crash_id=crash.crashId,
        companions=frozenset(crash.companions),
        weight=crash.weight,
        age_ms=crash.ageMs,
        cleared=crash.cleared,
    )


def _read_prompt(prompt: Any) -> Prompt:
    return Prompt(
        model=prompt.model,
        input_tokens=prompt.inputTokens,
        output_tokens=prompt.outputTokens,
        parts=tuple(PromptPart(part.id, part.tokens) for part in prompt.parts),
    )


def _read_item(item: Any) -> StoredItem:
    revision = extend_revision(item.era, item.revision)
    if not item.removed:
        return StoredItem(item.key, bytes(item.value), revision)
    version = None
    if item._has("removedVersion"):  # noqa: SLF001
        stored = item.removedVersion
        version = EntryVersion(stored.writerStartedMs, stored.number)
    return StoredItem(item.key, None, revision, version)


@singledispatch
def _to_capnp(message: PeerMessage) -> tuple[str, Any]:
    raise TypeError(type(message).__name__)


@_to_capnp.register
def _(message: PeerHello) -> tuple[str, Any]:
    return "hello", attrs.asdict(message)


@_to_capnp.register
def _(message: PeerReport) -> tuple[str, Any]:
    loads = [
        {
            "server": load.server,
            "inFlight": load.in_flight,
            "unreadTokens": list(load.unread_tokens),
            "sensitivity": load.sensitivity,
        }
        for load in message.loads
    ]
    prompts = [
        {
            "server": read.server,
            "model": read.prompt.model,
            "inputTokens": read.prompt.input_tokens,
            "outputTokens": read.prompt.output_tokens,
            "parts": [{"id": part.part_id, "tokens": part.tokens} for part in read.prompt.parts],
        }
        for read in message.prompts
    ]
    report = {
        "configRevision": get_store_revision(message.config_revision),
        "serversRevision": get_store_revision(message.servers_revision),
        "configEra": get_era(message.config_revision),
        "serversEra": get_era(message.servers_revision),
        "loads": loads,
        "prompts": prompts,
        "failures": [
            {
                "fingerprint": failure.fingerprint,
                "server": failure.server,
                "crashed": failure.kind is FailureKind.CRASH,
            }
            for failure in message.failures
        ],
        "partCrashes": [
            {
                "part": crash.part,
                "crashId": crash.crash_id,
                "companions": sorted(crash.companions),
                "weight": crash.weight,
                "ageMs": crash.age_ms,
                "cleared": crash.cleared,
            }
            for crash in message.part_crashes
        ],
        "limits": [
            {
                "server": limit.server,
                "limitPerS": limit.limit_per_s or 0.0,
                "ended": limit.limit_per_s is None,
                "ageMs": limit.age_ms,
            }
            for limit in message.limits
        ],
        "storeReads": message.store_reads,
        "reachesStore": message.reaches_store,
        "watches": message.watches,
    }
    return "report", report


@_to_capnp.register
def _(message: PeerItems) -> tuple[str, Any]:
    return "items", [_build_item(item) for item in message.items]


def _build_item(item: StoredItem) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "key": item.key,
        "value": item.value or b"",
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
