"""Messages between routers without agents, and their bytes."""

from __future__ import annotations

from functools import singledispatch
from pathlib import Path
from typing import Any

import attrs
import capnp

from boragetiller.control.errors import BadFrame
from boragetiller.control.packing import WORD_BYTES, pack, unpack
from boragetiller.gateway.settings import Endpoint
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.failure_history import FailureKind, RequestFailure
from boragetiller.tables.store_view import StoredItem

LENGTH_BYTES = 4
ENVELOPE_WORDS = 256
ITEM_WORDS = 64  # a key has at most 200 bytes
MAX_FRAME_BYTES = 4_194_304  # holds one store value of a megabyte, with room

_SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")), imports=[])


@attrs.frozen(kw_only=True)
class PeerHello:
    """First message of a connection: who sends, and where it listens."""

    name: str
    incarnation: int
    address: str
    port: int


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """What the sender has under way at a backend server."""

    server: str
    in_flight: int  # 0 when nothing is under way there any more
    unread_tokens: tuple[int, ...]  # prompt tokens not yet read there, by urgency
    sensitivity: float  # sum over its streams; see systems.server_placement


@attrs.frozen(kw_only=True)
class CachedPrompt:
    """A prompt that a backend server has read for the sender."""

    server: str
    prompt: Prompt


@attrs.frozen(kw_only=True)
class PeerReport:
    """Heartbeat: what changed of the sender's work, and how far it has followed the store."""

    config_revision: int
    servers_revision: int
    loads: tuple[ReportedLoad, ...] = ()  # that differ from those of earlier reports
    prompts: tuple[CachedPrompt, ...] = ()
    failures: tuple[RequestFailure, ...] = ()
    store_reads: int = 0  # plain reads of the store by the sender
    reaches_store: bool = False  # its calls to the store are answered
    watches: bool = False  # it watches the list of backend servers itself

    def differs_from(self, last: PeerReport | None) -> bool:
        """
        Tell whether a peer learns something from it.

        :param last: the report that the peer got before, None for none
        :return: whether something differs
        """
        if last is None or self.loads or self.prompts or self.failures:
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
    """Store entries that the receiver has not seen."""

    items: tuple[StoredItem, ...]


@attrs.frozen
class PeerRouters:
    """Where other routers listen that the sender hears."""

    endpoints: tuple[Endpoint, ...]


PeerMessage = PeerHello | PeerReport | PeerItems | PeerRouters


def encode_frame(message: PeerMessage) -> bytes:
    """
    Serialize a message with its length before it.

    :param message: the message
    :return: a frame
    :raises FrameTooLarge: the message does not fit into one segment
    """
    name, value = _to_capnp(message)
    words = _first_segment_words(message)
    data = pack(_SCHEMA.Envelope.new_message(num_first_segment_words=words, **{name: value}))
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_payload(data: bytes) -> PeerMessage:
    """
    Parse a message.

    :param data: bytes of a frame without its length
    :return: the message
    :raises BadFrame: the bytes are no message that this version knows
    """
    envelope = unpack(_SCHEMA.Envelope, data)
    try:
        return _from_capnp(envelope)
    except (capnp.KjException, RuntimeError, ValueError, TypeError) as error:
        raise BadFrame(str(error)[:100]) from error


def _first_segment_words(message: PeerMessage) -> int:
    if isinstance(message, PeerItems):
        return ENVELOPE_WORDS + sum(
            ITEM_WORDS + len(item.value or b"") // WORD_BYTES for item in message.items
        )
    if isinstance(message, PeerRouters):
        return ENVELOPE_WORDS + ITEM_WORDS * len(message.endpoints)
    if isinstance(message, PeerReport):
        parts = sum(len(read.prompt.parts) for read in message.prompts)
        entries = len(message.loads) + len(message.prompts) + parts + len(message.failures)
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
    raise BadFrame("unknown message")


def _read_report(report: Any) -> PeerReport:
    loads = [
        ReportedLoad(
            server=load.server,
            in_flight=load.inFlight,
            unread_tokens=tuple(load.unreadTokens),
            sensitivity=load.sensitivity,
        )
        for load in report.loads
    ]
    prompts = [
        CachedPrompt(server=prompt.server, prompt=_read_prompt(prompt)) for prompt in report.prompts
    ]
    return PeerReport(
        config_revision=report.configRevision,
        servers_revision=report.serversRevision,
        loads=tuple(loads),
        prompts=tuple(prompts),
        failures=tuple(_read_failure(failure) for failure in report.failures),
        store_reads=report.storeReads,
        reaches_store=report.reachesStore,
        watches=report.watches,
    )


def _read_failure(failure: Any) -> RequestFailure:
    kind = FailureKind.CRASH if failure.crashed else FailureKind.ERROR
    return RequestFailure(bytes(failure.fingerprint), failure.server, kind)


def _read_prompt(prompt: Any) -> Prompt:
    return Prompt(
        model=prompt.model,
        input_tokens=prompt.inputTokens,
        output_tokens=prompt.outputTokens,
        parts=tuple(PromptPart(part.id, part.tokens) for part in prompt.parts),
    )


def _read_item(item: Any) -> StoredItem:
    value = None if item.removed else bytes(item.value)
    return StoredItem(item.key, value, item.revision)


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
        "configRevision": message.config_revision,
        "serversRevision": message.servers_revision,
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
        "storeReads": message.store_reads,
        "reachesStore": message.reaches_store,
        "watches": message.watches,
    }
    return "report", report


@_to_capnp.register
def _(message: PeerItems) -> tuple[str, Any]:
    items = [
        {
            "key": item.key,
            "value": item.value or b"",
            "revision": item.revision,
            "removed": item.value is None,
        }
        for item in message.items
    ]
    return "items", items


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
