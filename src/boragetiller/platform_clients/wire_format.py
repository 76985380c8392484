"""Wire format of the platform's services: encodes and decodes store entries and hosts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.platform_clients.store import Entry
from boragetiller.store_eras import MAX_REVISION
from boragetiller.value_checks import check_count, is_encodable

if TYPE_CHECKING:
    from aiohttp import StreamReader

REVISION_HEADER = "X-Revision"
ERA_HEADER = "Store-Era"  # in all responses of the store
MAX_PORT = 65_535
MAX_ENTRY_BYTES = 16_000_000  # several times the size limit of a value
MAX_REQUEST_BYTES = 2_000_000
_INTEGER_FIELDS = ("data_port", "control_port")
_HOST_FIELD_TYPES = {
    field.name: int if field.name in _INTEGER_FIELDS else str for field in attrs.fields(Host)
}


def encode_entry(entry: Entry) -> bytes:
    """
    Encode an entry as a line of JSON with its metadata, followed by the raw value.

    :param entry: the entry
    :return: bytes for the body of a listing or a watch
    """
    head = {"key": entry.key, "revision": entry.revision, "length": len(entry.value)}
    return json.dumps(head).encode() + b"\n" + entry.value


async def read_entry(stream: StreamReader) -> Entry | None:
    """
    Read the next entry, skipping the empty lines that keep a watch alive.

    :param stream: body of a listing or a watch
    :return: the entry, None at the end of the stream
    :raises ValueError: the metadata line is malformed
    :raises KeyError: a metadata field is missing
    :raises EOFError: the stream ends inside an entry
    """
    line = b"\n"
    while line == b"\n":
        line = await stream.readline()
    if not line:
        return None
    head = json.loads(line)
    if not isinstance(head, dict):
        raise ValueError("entry metadata must be a JSON object")
    length = check_count(head["length"], MAX_ENTRY_BYTES)
    revision = check_count(head["revision"], MAX_REVISION)
    return Entry(str(head["key"]), await stream.readexactly(length), revision)


def encode_host(host: Host) -> dict[str, Any]:
    """
    Encode a host as a JSON object.

    :param host: the host
    :return: fields of the object
    """
    return {**attrs.asdict(host), "state": host.state.value}


def decode_host(data: Any) -> Host:
    """
    Decode a host from a parsed JSON value; a missing state means live.

    :param data: the parsed value
    :return: the host
    :raises ValueError: not an object, or a field is unknown, missing or of the wrong type
    """
    if not isinstance(data, dict):
        raise ValueError("a host must be a JSON object")
    fields = {"state": HostState.LIVE.value, **data}
    for name, value in fields.items():
        if type(value) is not _HOST_FIELD_TYPES.get(name):
            raise ValueError(f"host field {name!r} is unknown or has the wrong type")
        if isinstance(value, str):
            if not is_encodable(value):
                raise ValueError(f"host field {name!r}: lone surrogates are not allowed")
        elif not 0 <= value <= MAX_PORT:
            raise ValueError(f"host field {name!r}: got {value!r:.40}; must be 0 to {MAX_PORT}")
    fields["state"] = HostState(fields["state"])
    try:
        return Host(**fields)
    except TypeError as error:
        raise ValueError(str(error)) from error


__all__ = [
    "ERA_HEADER",
    "MAX_REQUEST_BYTES",
    "REVISION_HEADER",
    "decode_host",
    "encode_entry",
    "encode_host",
    "read_entry",
]
