"""Backend servers that routers reach directly, without an agent."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import attrs

from boragetiller.hashing import stable_hash
from boragetiller.tables.committed_memory import CommittedMemory
from boragetiller.tables.server_speed import ServerSpeed

URGENCY_LEVELS = 10  # 0 is the most urgent; see systems.routing

REPORTED_LOAD_WEIGHT = 0.3  # of the latest response; smooths the lag of other routers' reports
REPORTED_LOAD_TTL_MS = 2_000


@attrs.frozen(kw_only=True)
class ServerRecord:
    """Registration of one incarnation of a backend server."""

    name: str
    group: str
    address: str  # IP:PORT
    failure_domain: str
    slots: int
    draining: bool
    started_ms: int  # wall-clock time of its start since the epoch, 0 if not given
    software_version: str = ""  # what two versions write does not fit together
    sequence: int = 0  # rises with each entry that the incarnation writes
    warm_up_left_ms: float  # how long the server will remain slow after its start


class Incarnation(NamedTuple):
    """
    What tells an incarnation of a server from others under the same name.

    Its pause also holds after its entry names another group or version, for which all else that
    the router knows of it is dropped; see `ServerTable.replace`.
    """

    name: str
    started_ms: int  # wall-clock time of its start, 0 if not given
    address: str

    @classmethod
    def of(cls, record: ServerRecord) -> Incarnation:
        """
        Build the key of a registration.

        :param record: the registration
        :return: the key of its incarnation
        """
        return cls(record.name, record.started_ms, record.address)


@attrs.define
class PendingPrompt:
    """Prompt of a request that this router sent and that has had no event yet."""

    tokens: int  # estimate of the tokens that are not in the engine's cache
    urgency: int


@attrs.define
class ServerHealth:
    """Passive health state of a backend server at this router."""

    failures: int = 0  # consecutive
    ejections: int = 0  # since the last success
    ejected_until_ms: int = 0  # monotonic time

    def is_ejected(self, now_ms: int) -> bool:
        """:return: whether new requests avoid the server"""
        return now_ms < self.ejected_until_ms


@attrs.frozen(kw_only=True)
class PeerLoad:
    """Load of another router at a backend server."""

    in_flight: int
    unread_tokens: tuple[int, ...]  # prompt tokens that wait for prefill, by urgency
    sensitivity: float  # to stalls, summed over its streams
    committed_tokens: int = 0  # of the server's memory; see systems.overload.committed_memory


@attrs.define
class PeerLoadSum:
    """Sum of the loads of all other routers at a backend server."""

    routers: int = 0  # number of routers whose loads are included
    in_flight: int = 0
    sensitivity: float = 0.0  # to stalls
    committed_tokens: int = 0
    unread_tokens: list[int] = attrs.field(factory=lambda: [0] * URGENCY_LEVELS)

    def add(self, load: PeerLoad) -> None:
        """:param load: load of one router, not included yet"""
        self._change(load, 1)

    def subtract(self, load: PeerLoad) -> None:
        """:param load: load of one router, as it was added"""
        self._change(load, -1)
        if self.routers == 0:
            self.sensitivity = 0.0  # removes the accumulated rounding error

    def _change(self, load: PeerLoad, sign: int) -> None:
        self.routers += sign
        self.in_flight += sign * load.in_flight
        self.sensitivity += sign * load.sensitivity
        self.committed_tokens += sign * load.committed_tokens
        for urgency, tokens in enumerate(load.unread_tokens[:URGENCY_LEVELS]):
            self.unread_tokens[urgency] += sign * tokens


@attrs.define(eq=False)
class BackendServer:
    """A backend server with this router's load on it and estimates of its other load."""

    record: ServerRecord
    in_flight: int = 0
    sensitivity: float = 0.0  # to stalls, summed over this router's streams
    # Tokens of this router's prompts that wait for prefill, by urgency.
    unread_tokens: list[int] = attrs.field(factory=lambda: [0] * URGENCY_LEVELS)
    _pending: dict[str, PendingPrompt] = attrs.field(factory=dict, init=False)  # by request id
    peer_load: PeerLoadSum = attrs.field(factory=PeerLoadSum)
    cached_parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)  # tokens by part id
    cached_tokens: int = 0  # sum over the cached parts
    recent_prefill_tokens: float = 0.0  # exponentially decaying sum; see systems.prefix_cache
    prefill_updated_ms: int = 0  # monotonic time of the last update of recent_prefill_tokens
    health: ServerHealth = attrs.field(factory=ServerHealth)
    speed: ServerSpeed = attrs.field(factory=ServerSpeed)
    memory: CommittedMemory = attrs.field(factory=CommittedMemory)
    full_until_ms: int = 0  # no new requests before, since the server refused one as full
    # Monotonic time at which this router first saw the incarnation.
    joined_ms: int = 0
    _unreported_requests: float = attrs.field(init=False, default=0.0)
    _load_reported_ms: int = attrs.field(init=False, default=-REPORTED_LOAD_TTL_MS)
    name_hash: int = attrs.field(
        init=False, default=attrs.Factory(lambda self: stable_hash(self.record.name), True)
    )
    reservation_hash: int = attrs.field(  # ranks servers of equal speed; see GroupServers
        init=False, default=attrs.Factory(lambda self: stable_hash("quiet", self.record.name), True)
    )

    @property
    def name(self) -> str:
        """:return: name of the server"""
        return self.record.name

    def record_reported_load(self, requests: int, now_ms: int) -> None:
        """
        Record the number of requests that the server reports.

        :param requests: running and waiting requests of all routers
        :param now_ms: monotonic time in milliseconds
        """
        latest = max(0.0, requests - self.in_flight - self.peer_load.in_flight)
        average = self.estimate_unreported_requests(now_ms)
        self._unreported_requests = average + REPORTED_LOAD_WEIGHT * (latest - average)
        self._load_reported_ms = now_ms

    def reported_load_age_ms(self, now_ms: int) -> int | None:
        """
        Compute how long ago the server last reported its number of requests.

        :param now_ms: monotonic time in milliseconds
        :return: age in milliseconds, None if it is too old to count
        """
        age_ms = now_ms - self._load_reported_ms
        return age_ms if age_ms < REPORTED_LOAD_TTL_MS else None

    def estimate_unreported_requests(self, now_ms: int) -> float:
        """
        Estimate the number of requests at the server that no router has reported.

        :param now_ms: monotonic time in milliseconds
        :return: moving average, 0 if the server has not reported its load recently
        """
        return (
            self._unreported_requests
            if now_ms - self._load_reported_ms < REPORTED_LOAD_TTL_MS
            else 0.0
        )

    def add_pending_prompt(self, request_id: str, prompt: PendingPrompt) -> None:
        """
        Add a prompt that waits for prefill.

        :param request_id: id of its request
        :param prompt: size and urgency of the prompt
        """
        self.remove_pending_prompt(request_id)
        self._pending[request_id] = prompt
        self.unread_tokens[_get_urgency_level(prompt)] += prompt.tokens

    def remove_pending_prompt(self, request_id: str) -> None:
        """:param request_id: id of a request that has had its first event or has ended"""
        prompt = self._pending.pop(request_id, None)
        if prompt is not None:
            self.unread_tokens[_get_urgency_level(prompt)] -= prompt.tokens

    def pending_requests(self) -> set[str]:
        """:return: ids of the requests whose prompts wait for prefill"""
        return set(self._pending)


def _get_urgency_level(prompt: PendingPrompt) -> int:
    return min(max(0, prompt.urgency), URGENCY_LEVELS - 1)


__all__ = [
    "URGENCY_LEVELS",
    "BackendServer",
    "Incarnation",
    "PeerLoad",
    "PeerLoadSum",
    "PendingPrompt",
    "ServerHealth",
    "ServerRecord",
]
