"""
Discrete-event simulation of one group's agents with the product's systems of shards and claims.

Only the store, the host list and the calls are simulated.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.settings import ClaimSettings
from boragetiller.store_eras import extend_revision, get_era, get_store_revision
from boragetiller.systems import shards
from boragetiller.systems.shard_pages import decode_page, encode_page
from boragetiller.systems.shard_segments import handle_segment_written
from boragetiller.tables.claims import DIGEST_BYTES, ShardCall
from boragetiller.tables.shard_actions import (
    DeleteSegment,
    ReadPage,
    ReadSegments,
    RefuseCall,
    ReplayResponse,
    RunCall,
    ShardAction,
    WritePage,
    WriteSegment,
)
from boragetiller.tables.shards import ShardTable
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from random import Random

    from boragetiller.errors import BoragetillerError

STORE_DELAY_MS = 3
STORE_TIMEOUT_MS = 1_000
SERVICE_TIME_MS = 50
HOST_LIST_INTERVAL_MS = 1_000
MAX_REDIRECTS = 4


@attrs.define(kw_only=True)
class Call:
    """One attempt of a caller with an idempotency key, and its outcome."""

    key: str
    body: str
    sent_ms: int
    agent: str = ""
    redirects: int = 0
    verdict: Verdict | None = None
    code: str = ""
    finished_ms: int | None = None
    response: str | None = None


@attrs.define(kw_only=True)
class Faults:
    """Fault probabilities of a store call, and whether the store is unavailable."""

    store_down: bool = False
    lost_replies: float = 0.0
    late_writes: float = (
        0.0  # probability that the reply is lost and the write applied up to `late_ms` later
    )
    late_ms: int = 20_000


@attrs.frozen(kw_only=True)
class StoreCopy:
    """Entries of the store and its revision at one moment."""

    entries: dict[str, tuple[Any, int]]
    revision: int


@attrs.define(kw_only=True)
class AgentState:
    """One agent process."""

    name: str
    table: ShardTable
    alive: bool = True
    paused: bool = False
    calls: dict[int, tuple[Call, ShardCall]] = attrs.Factory(dict)
    deferred: list[Callable[[], None]] = attrs.Factory(list)


class ShardSimulation:
    """The agents with their store, host list and calls, driven by one event queue."""

    def __init__(
        self,
        names: tuple[str, ...],
        rng: Random,
        *,
        settings: ClaimSettings | None = None,
        shard_count: int = 16,
        tick_ms: int = 50,
        host_list_lag_ms: int = 0,
    ) -> None:
        """
        Start the agents.

        :param names: names of the agents
        :param rng: seeded generator of store faults
        :param settings: settings of the claims, defaults if None
        :param shard_count: number of shards of the group
        :param tick_ms: tick interval of an agent in milliseconds
        :param host_list_lag_ms: delay of the host list in milliseconds
        """
        self.now_ms = 0
        self.settings = settings or ClaimSettings()
        self.faults = Faults()
        self.store: dict[str, tuple[Any, int]] = {}
        self.store_calls: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.false_not_run: list[str] = []
        self.hosts = set(names)
        self.host_list_lag_ms = host_list_lag_ms
        self._rng = rng
        self._shard_count = shard_count
        self._tick_ms = tick_ms
        self._revision = 0
        self._era = 1
        self._event_count = 0
        self._next_call = 0
        self._incarnations: Counter[str] = Counter()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self.agents: dict[str, AgentState] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """
        Start an agent, or restart it with a new incarnation.

        :param name: name of the agent
        """
        self._incarnations[name] += 1
        table = shards.new_shard_table(name, self._incarnations[name], self._shard_count)
        agent = AgentState(name=name, table=table)
        self.agents[name] = agent
        self.schedule(0, lambda: self._poll_hosts(agent))
        self.schedule(1, lambda: self._tick(agent))

    def crash(self, name: str) -> None:
        """
        Kill an agent; its calls end with the verdict MAY_HAVE_RUN.

        :param name: name of the agent
        """
        agent = self.agents[name]
        agent.alive = False
        for call, _ in agent.calls.values():
            self._finish_call(call, Verdict.MAY_HAVE_RUN, "agent_lost")

    def pause(self, name: str, duration_ms: int) -> None:
        """
        Pause an agent; its events are handled when it resumes.

        :param name: name of the agent
        :param duration_ms: duration in milliseconds
        """
        agent = self.agents[name]
        agent.paused = True
        self.schedule(duration_ms, lambda: self._resume(agent))

    def set_listed(self, name: str, *, listed: bool) -> None:
        """
        Add a host to the host list or remove it, effective after the list's lag.

        :param name: the host
        :param listed: whether the list contains it
        """
        change = self.hosts.add if listed else self.hosts.discard
        self.schedule(self.host_list_lag_ms, lambda: change(name))

    def send(self, key: str, agent: str, body: str = "body") -> Call:
        """
        Send a call to an agent.

        :param key: idempotency key
        :param agent: name of the agent
        :param body: request body
        :return: the call, whose outcome is set when it finishes
        """
        call = Call(key=key, body=body, sent_ms=self.now_ms, agent=agent)
        self._deliver(call)
        return call

    def read_page(self, index: int) -> tuple[bytes | None, int]:
        """:return: stored form of the page of a shard and its extended revision"""
        value, revision = self.store.get(f"page/{index}", (None, 0))
        return value, extend_revision(self._era, revision)

    def copy_store(self) -> StoreCopy:
        """:return: copy of the store for :meth:`restore_store`"""
        return StoreCopy(entries=dict(self.store), revision=self._revision)

    def restore_store(self, copy: StoreCopy) -> None:
        """
        Lose all changes since a copy; their revisions are given out again.

        :param copy: the state to return to
        """
        self.store, self._revision = dict(copy.entries), copy.revision
        self._era += 1

    def find_owner(self, key: str) -> str | None:
        """:return: the running agent that owns the shard of the key, None if there is none"""
        index = shards.shard_of("acme", key, self._shard_count)
        for agent in self.agents.values():
            serves = agent.alive and not agent.paused
            if serves and index in agent.table.owned_shards():
                return agent.name
        return None

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """
        Schedule an action.

        :param delay_ms: delay in milliseconds
        :param action: the action
        """
        self._event_count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._event_count, action))

    def run(self, duration_ms: int) -> None:
        """
        Advance virtual time.

        :param duration_ms: duration in milliseconds
        """
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms

    def _deliver(self, call: Call) -> None:
        agent = self.agents[call.agent]
        if not agent.alive:
            self._finish_call(call, Verdict.MAY_HAVE_RUN, "agent_unreachable")
        else:
            self._run_or_defer(agent, lambda: self._submit(agent, call))

    def _run_or_defer(self, agent: AgentState, work: Callable[[], None]) -> None:
        if agent.paused:
            agent.deferred.append(work)
        elif agent.alive:
            work()

    def _resume(self, agent: AgentState) -> None:
        agent.paused = False
        deferred, agent.deferred = agent.deferred, []
        for work in deferred:
            self._run_or_defer(agent, work)

    def _submit(self, agent: AgentState, call: Call) -> None:
        self._next_call += 1
        entry = ShardCall(
            call_id=self._next_call,
            shard=shards.shard_of("acme", call.key, self._shard_count),
            digest=blake2b(call.key.encode(), digest_size=DIGEST_BYTES).digest(),
            fingerprint=blake2b(call.body.encode(), digest_size=8).digest(),
            age_ms=self.now_ms - call.sent_ms,
        )
        agent.calls[entry.call_id] = (call, entry)
        self.schedule(
            self.settings.commit_timeout_ms, lambda: self._handle_commit_timeout(agent, entry)
        )
        now = (self.now_ms, self.now_ms)
        self._apply(agent, shards.submit_call(agent.table, entry, self.settings, *now))

    def _handle_commit_timeout(self, agent: AgentState, entry: ShardCall) -> None:
        if entry.call_id in agent.calls and agent.calls[entry.call_id][0].code != "running":
            self._run_or_defer(agent, lambda: self._withdraw(agent, entry))

    def _withdraw(self, agent: AgentState, entry: ShardCall) -> None:
        call, _ = agent.calls.get(entry.call_id, (None, None))
        if call is None or call.code == "running":
            return
        del agent.calls[entry.call_id]
        error = shards.withdraw_call(agent.table, entry)
        self._finish_call(call, error.verdict, error.code)

    def _apply(self, agent: AgentState, actions: list[ShardAction]) -> None:
        for action in actions:
            match action:
                case RunCall(call_id=call_id):
                    self._run_call(agent, call_id)
                case ReplayResponse(call_id=call_id, response=response):
                    call, _ = agent.calls.pop(call_id)
                    call.response = response
                    self._finish_call(call, Verdict.RAN, "replayed")
                case RefuseCall(call_id=call_id, error=error):
                    self._refuse(agent, call_id, error)
                case _:
                    self._start_store_call(agent, action)

    def _run_call(self, agent: AgentState, call_id: int) -> None:
        call, entry = agent.calls[call_id]
        self.runs[call.key] += 1
        call.code = "running"
        response = f"{call.key}:{call.body}:{self.runs[call.key]}"

        def finish() -> None:
            agent.calls.pop(call_id, None)
            call.response = response
            self._finish_call(call, Verdict.RAN, "answered")
            actions = shards.finish_call(agent.table, entry, response, len(response), self.settings)
            self._apply(agent, actions)

        self.schedule(SERVICE_TIME_MS, lambda: self._run_or_defer(agent, finish))

    def _refuse(self, agent: AgentState, call_id: int, error: BoragetillerError) -> None:
        call, _ = agent.calls.pop(call_id)
        if error.code == "not_owner" and error.owner and call.redirects < MAX_REDIRECTS:
            call.redirects += 1
            call.agent = error.owner
            self.schedule(1, lambda: self._deliver(call))
            return
        verdict = Verdict.MAY_HAVE_RUN if error.code == "not_owner" else error.verdict
        self._finish_call(call, verdict, error.code)

    def _finish_call(self, call: Call, verdict: Verdict, code: str) -> None:
        if call.finished_ms is not None:
            return
        call.verdict, call.code, call.finished_ms = verdict, code, self.now_ms
        if verdict is Verdict.NOT_RUN and code != "key_reused" and self.runs[call.key]:
            self.false_not_run.append(call.key)

    def _poll_hosts(self, agent: AgentState) -> None:
        if not agent.alive:
            return
        listed = frozenset(self.hosts)
        live = tuple(sorted(listed))
        started_ms = self.now_ms
        update = lambda: shards.update_hosts(agent.table, live, listed, started_ms)  # noqa: E731
        self._run_or_defer(agent, update)
        self.schedule(HOST_LIST_INTERVAL_MS, lambda: self._poll_hosts(agent))

    def _tick(self, agent: AgentState) -> None:
        if not agent.alive:
            return
        if not agent.paused:
            now = (self.now_ms, self.now_ms)
            self._apply(agent, shards.run_tick(agent.table, self.settings, *now))
        self.schedule(self._tick_ms, lambda: self._tick(agent))

    def _start_store_call(self, agent: AgentState, action: ShardAction) -> None:
        self.store_calls[type(action).__name__] += 1
        if self.faults.store_down:
            self._schedule_for_agent(
                agent, STORE_TIMEOUT_MS, lambda: self._handle_failure(agent, action)
            )
            return
        known_era = agent.table.era  # the client refuses writes based on an earlier one
        if isinstance(action, WritePage) and get_era(action.expected_revision) < known_era:
            self._schedule_for_agent(
                agent, STORE_DELAY_MS, lambda: self._handle_reply(agent, action, 0)
            )
            return
        late = isinstance(action, WritePage) and self._rng.random() < self.faults.late_writes
        if late:
            self.schedule(self._rng.randrange(self.faults.late_ms), lambda: self._execute(action))
            self._schedule_for_agent(
                agent, STORE_TIMEOUT_MS, lambda: self._handle_failure(agent, action)
            )
            return
        self.schedule(STORE_DELAY_MS, lambda: self._execute_and_reply(agent, action))

    def _execute_and_reply(self, agent: AgentState, action: ShardAction) -> None:
        result = self._execute(action)
        if self._rng.random() < self.faults.lost_replies:
            self._schedule_for_agent(
                agent, STORE_TIMEOUT_MS, lambda: self._handle_failure(agent, action)
            )
        else:
            self._schedule_for_agent(
                agent, STORE_DELAY_MS, lambda: self._handle_reply(agent, action, result)
            )

    def _schedule_for_agent(
        self, agent: AgentState, delay_ms: int, work: Callable[[], None]
    ) -> None:
        self.schedule(delay_ms, lambda: self._run_or_defer(agent, work))

    def _execute(self, action: ShardAction) -> Any:
        match action:
            case ReadPage(shard=shard):
                return self.read_page(shard)
            case WritePage(shard=shard, page=page, expected_revision=expected):
                return self._put(f"page/{shard}", encode_page(page), expected)
            case ReadSegments(shard=shard, numbers=numbers):
                keys = {number: f"segment/{shard}/{number}" for number in numbers}
                return {n: self.store.get(key, ((), 0))[0] for n, key in keys.items()}
            case WriteSegment(shard=shard, number=number, claims=claims):
                return self._put(f"segment/{shard}/{number}", claims, 0)
            case DeleteSegment(shard=shard, number=number):
                return self.store.pop(f"segment/{shard}/{number}", None)
        return None

    def _put(self, key: str, value: Any, expected: int) -> int:
        """Write if the store's own revision is the expected one; the store compares no eras."""
        if self.store.get(key, (None, 0))[1] != get_store_revision(expected):
            return 0
        self._revision += 1
        self.store[key] = (value, self._revision)
        return extend_revision(self._era, self._revision)

    def _handle_reply(self, agent: AgentState, action: ShardAction, result: Any) -> None:
        now = (self.now_ms, self.now_ms)
        match action:
            case ReadPage(shard=shard):
                page = decode_page(result[0]) if result[0] is not None else None
                actions = shards.handle_page_read(
                    agent.table, shard, page, result[1], self.settings, *now
                )
                self._apply(agent, actions)
            case WritePage() if result and get_era(result) != get_era(action.expected_revision):
                self._handle_failure(agent, action)
            case WritePage() if result:
                actions = shards.handle_page_written(
                    agent.table, action, result, self.settings, *now
                )
                self._apply(agent, actions)
            case WritePage(shard=shard):
                shards.handle_write_failure(agent.table, shard, conflict=True, now_ms=self.now_ms)
            case ReadSegments(shard=shard):
                shards.handle_segments_read(agent.table, shard, result)
            case WriteSegment(shard=shard, number=number, claims=claims):
                if result:
                    handle_segment_written(agent.table.shards[shard], number, claims)
                else:
                    self._handle_failure(agent, action)

    def _handle_failure(self, agent: AgentState, action: ShardAction) -> None:
        match action:
            case WritePage(shard=shard):
                shards.handle_write_failure(agent.table, shard, conflict=False, now_ms=self.now_ms)
            case ReadPage(shard=shard) | ReadSegments(shard=shard) | WriteSegment(shard=shard):
                shards.handle_read_failure(agent.table, shard, self.settings, self.now_ms)


__all__ = ["AgentState", "Call", "Faults", "ShardSimulation"]
