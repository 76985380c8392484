"""What servers, callers and the driver of a soak write down; all times are `time.monotonic()`."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path


@attrs.frozen
class Arrival:
    """A request that reached a server, and how the server answered it."""

    at_s: float
    server: str
    request_id: str
    status: int  # 200 for a run that began, whatever came of it
    ran: bool
    retry_after_s: float | None = None  # None also for one that is no number of seconds


@attrs.frozen
class StreamEvent:
    """An event that a caller received."""

    number: int
    version: str
    run: str


@attrs.define
class Attempt:
    """A request of a caller and what it got."""

    request_id: str
    router: str
    route: str
    sent_s: float
    operation: str = ""  # same for all requests that a caller sends for one result
    status: int = 0  # 0 without a response
    sealed: bool = False
    whole: bool = False  # the body came with its end
    body_matches: bool = True
    retry_after_s: float | None = None
    resumes: str | None = None
    events: list[StreamEvent] = attrs.Factory(list)
    left: bool = False  # the caller broke the stream off


@attrs.frozen
class Impairment:
    """A span in which a router did not run freely or was cut off."""

    router: str
    kind: str
    start_s: float
    end_s: float


@attrs.frozen
class ConfigChange:
    """A version of the configuration, which the store has confirmed."""

    version: int
    at_s: float


@attrs.frozen
class ConfigProbe:
    """A request on the route that a version added."""

    router: str
    version: int
    sent_s: float
    status: int  # 0 without a response


@attrs.define
class Ledger:
    """All records of a run."""

    arrivals: list[Arrival] = attrs.Factory(list)
    attempts: list[Attempt] = attrs.Factory(list)
    impairments: list[Impairment] = attrs.Factory(list)
    changes: list[ConfigChange] = attrs.Factory(list)
    probes: list[ConfigProbe] = attrs.Factory(list)


def read_arrivals(paths: Iterable[Path]) -> list[Arrival]:
    """
    Read the arrivals that servers wrote as JSON lines.

    :param paths: files; a killed server may have cut its last line
    :return: arrivals in the order of time
    """
    arrivals = []
    for path in paths:
        for line in path.read_text().splitlines(keepends=True):
            if line.endswith("\n"):
                arrivals.append(Arrival(**json.loads(line)))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def write_lines(path: Path, records: Iterable[Any]) -> None:
    """Write records as JSON lines."""
    path.write_text("".join(json.dumps(attrs.asdict(each)) + "\n" for each in records))


__all__ = [
    "Arrival",
    "Attempt",
    "ConfigChange",
    "ConfigProbe",
    "Impairment",
    "Ledger",
    "StreamEvent",
    "read_arrivals",
    "write_lines",
]
