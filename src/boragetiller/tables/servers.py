"""Backend servers that routers reach directly, without an agent beside them."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from boragetiller.hashing import stable_hash

URGENCY_LEVELS = 10  # 0 is the most urgent; see systems.routing

REPORTED_LOAD_WEIGHT = 0.3  # of the latest answer; reports of other routers come a little later
REPORTED_LOAD_TTL_MS = 2_000


@attrs.frozen(kw_only=True)
class ServerRecord:
    """One incarnation of a backend server as it registered itself."""

    name: str
    group: str
    address: str  # IP:PORT
    failure_domain: str
    slots: int
    draining: bool
    started_ms: int  # wall-clock time of its start since the epoch, 0 when not told
    warm_up_left_ms: float  # how long it stays slow after its start


@attrs.define
class PendingPrompt:
    """A request that this router sent and whose first event has not come."""

    tokens: int  # not held in the engine's cache, as far as known
    urgency: int


@attrs.define
class ServerHealth:
    """Outcomes of requests that this router sent."""

    failures: int = 0  # in a row
    ejections: int = 0  # since the last success
    ejected_until_ms: int = 0

    def is_ejected(self, now_ms: int) -> bool:
        """:return: whether new work avoids the server"""
        return now_ms < self.ejected_until_ms


@attrs.frozen(kw_only=True)
class PeerLoad:
    """What another router has under way at a backend server."""

    in_flight: int
    unread_tokens: tuple[int, ...]  # prompt tokens not yet read there, by urgency
    sensitivity: float  # sum over its streams


@attrs.define
class PeerLoadSum:
    """What all other routers together have under way at a backend server."""

    routers: int = 0
    in_flight: int = 0
    sensitivity: float = 0.0
    unread_tokens: list[int] = attrs.field(factory=lambda: [0] * URGENCY_LEVELS)

    def add(self, load: PeerLoad) -> None:
        """:param load: of one router, not contained yet"""
        self._change(load, 1)

    def subtract(self, load: PeerLoad) -> None:
        """:param load: of one router, as it was added"""
        self._change(load, -1)
        if self.routers == 0:
            self.sensitivity = 0.0  # what rounding has left

    def _change(self, load: PeerLoad, sign: int) -> None:
        self.routers += sign
        self.in_flight += sign * load.in_flight
        self.sensitivity += sign * load.sensitivity
        for urgency, tokens in enumerate(load.unread_tokens[:URGENCY_LEVELS]):
            self.unread_tokens[urgency] += sign * tokens


@attrs.define(eq=False)
class BackendServer:
    """A backend server with this router's work on it and what it believes of the rest."""

    record: ServerRecord
    in_flight: int = 0
    sensitivity: float = 0.0  # to stalls, summed over the streams under way
    unread_tokens: list[int] = attrs.field(factory=lambda: [0] * URGENCY_LEVELS)  # of own prompts
    _pending: dict[str, PendingPrompt] = attrs.field(factory=dict, init=False)  # by request id
    peer_load: PeerLoadSum = attrs.field(factory=PeerLoadSum)
    cached_parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)  # part id to tokens
    cached_tokens: int = 0
    recent_prefill_tokens: float = (
        0.0  # prompt tokens read lately, decaying; see systems.prompt_cache
    )
    prefill_updated_ms: int = 0
    health: ServerHealth = attrs.field(factory=ServerHealth)
    full_until_ms: int = 0  # it refused work for lack of places
    joined_ms: int = 0
    _hidden_requests: float = attrs.field(init=False, default=0.0)
    _load_reported_ms: int = attrs.field(init=False, default=-REPORTED_LOAD_TTL_MS)
    name_hash: int = attrs.field(
        init=False, default=attrs.Factory(lambda self: stable_hash(self.record.name), True)
    )

    @property
    def name(self) -> str:
        """:return: name of the server"""
        return self.record.name

    def record_reported_load(self, requests: int, now_ms: int) -> None:
        """
        Take how many requests the server says it has.

        :param requests: running and waiting ones, of all routers
        :param now_ms: monotonic time in milliseconds
        """
        hidden = max(0.0, requests - self.in_flight - self.peer_load.in_flight)
        known = self.unreported_requests(now_ms)
        self._hidden_requests = known + REPORTED_LOAD_WEIGHT * (hidden - known)
        self._load_reported_ms = now_ms

    def unreported_requests(self, now_ms: int) -> float:
        """
        Tell how many requests are there of which no router has told.

        :param now_ms: monotonic time in milliseconds
        :return: requests of routers that are not heard, 0 when the server has told nothing of late
        """
        return (
            self._hidden_requests if now_ms - self._load_reported_ms < REPORTED_LOAD_TTL_MS else 0.0
        )

    def add_pending_prompt(self, request_id: str, prompt: PendingPrompt) -> None:
        """
        Note a prompt that waits to be read.

        :param request_id: id of its request
        :param prompt: its size and urgency
        """
        self.remove_pending_prompt(request_id)
        self._pending[request_id] = prompt
        self.unread_tokens[_level(prompt)] += prompt.tokens

    def remove_pending_prompt(self, request_id: str) -> None:
        """:param request_id: id of a request whose prompt is read, or that has ended"""
        prompt = self._pending.pop(request_id, None)
        if prompt is not None:
            self.unread_tokens[_level(prompt)] -= prompt.tokens

    def pending_requests(self) -> set[str]:
        """:return: ids of the requests whose prompts wait to be read"""
        return set(self._pending)


def _level(prompt: PendingPrompt) -> int:
    return min(max(0, prompt.urgency), URGENCY_LEVELS - 1)


__all__ = [
    "URGENCY_LEVELS",
    "BackendServer",
    "PeerLoadSum",
    "PeerLoad",
    "PendingPrompt",
    "ServerHealth",
    "ServerRecord",
]
