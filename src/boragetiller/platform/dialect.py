"""The HTTP dialect of the platform's services: how entries and hosts look on the wire."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.platform.hosts import Host, HostState
from boragetiller.platform.store import Entry

if TYPE_CHECKING:
    from aiohttp import StreamReader

REVISION_HEADER = "X-Revision"
MAX_REQUEST_BYTES = 2_000_000


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
    """
    line = b"\n"
    while line == b"\n":
        line = await stream.readline()
    if not line:
        return None
    head = json.loads(line)
    value = await stream.readexactly(int(head["length"]))
    return Entry(str(head["key"]), value, int(head["revision"]))


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
    try:
        return Host(**{**data, "state": HostState(data.get("state", "live"))})
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
