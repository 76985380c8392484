"""The HTTP dialect of the platform's services: how entries and hosts look on the wire."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.platform_clients.store import Entry

if TYPE_CHECKING:
    from aiohttp import StreamReader

REVISION_HEADER = "X-Revision"
MAX_REQUEST_BYTES = 2_000_000
_INTEGER_FIELDS = ("data_port", "control_port")
_HOST_FIELD_TYPES = {
    field.name: int if field.name in _INTEGER_FIELDS else str for field in attrs.fields(Host)
}


def encode_entry(entry: Entry) -> bytes:
    """
    Encode an entry as a line of JSON and the value after it.

    :param entry: the entry
    :return: bytes for a list answer or a watch
    """
    head = {"key": entry.key, "revision": entry.revision, "length": len(entry.value)}
    return json.dumps(head).encode() + b"\n" + entry.value


async def read_entry(stream: StreamReader) -> Entry | None:
    """
    Read the next entry; empty lines are keep-alives.

    :param stream: body of a list answer or of a watch
    :return: the entry, None at the end of the stream
    :raises ValueError: the stream holds something else
    :raises KeyError: a field is missing
    :raises TypeError: a field is of another type
    :raises EOFError: the stream ends inside an entry
    """
    line = b"\n"
    while line == b"\n":
        line = await stream.readline()
    if not line:
        return None
    head = json.loads(line)
    if not isinstance(head, dict):
        raise ValueError("the head of an entry must be an object")
    length, revision = int(head["length"]), int(head["revision"])
    if length < 0 or revision < 0:
        raise ValueError("negative length or revision")
    return Entry(str(head["key"]), await stream.readexactly(length), revision)


def encode_host(host: Host) -> dict[str, Any]:
    """
    Encode a host.

    :param host: the host
    :return: an object for JSON
    """
    return {**attrs.asdict(host), "state": host.state.value}


def decode_host(data: Any) -> Host:
    """
    Decode a host.

    :param data: an object out of JSON
    :return: the host
    :raises ValueError: the object does not fit
    """
    if not isinstance(data, dict):
        raise ValueError("a host must be an object")
    fields = {"state": HostState.LIVE.value, **data}
    for name, value in fields.items():
        if type(value) is not _HOST_FIELD_TYPES.get(name):
            raise ValueError(f"host field {name!r} is unknown or of another type")
    fields["state"] = HostState(fields["state"])
    try:
        return Host(**fields)
    except TypeError as error:
        raise ValueError(str(error)) from error


__all__ = [
    "MAX_REQUEST_BYTES",
    "REVISION_HEADER",
    "decode_host",
    "encode_entry",
    "encode_host",
    "read_entry",
]
