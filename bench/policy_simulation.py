"""One engine group in virtual time: callers, routers with stale reports, agents and engines."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from bench.fake_engine import EventQueue, FakeEngine, Stream
from bench.policy_baselines import Policy
from bench.policy_entities import (
    SimulatedAgent,
    SimulatedRequest,
    make_item,
    make_router,
    make_stream,
)
from bench.policy_scenarios import ROUTERS, SPEEDS, STRAGGLER_FACTOR, make_calls
from boragetiller.hashing import stable_hash
from boragetiller.settings import AdmissionSettings, PlacementSettings
from boragetiller.systems import agent_outliers, retry_budget
from boragetiller.systems.agent_placement import AgentPlacementRequest
from boragetiller.tables.admission_actions import AdmissionAction, PreemptWork, RefuseWork

if TYPE_CHECKING:
    from bench.policy_entities import SimulatedRouter
    from bench.policy_scenarios import Scenario
    from boragetiller.tables.agents import AgentEntry, LoadReport

NETWORK_DELAY_MS = 2.0
TICK_MS = 50.0
HEARTBEAT_MS = 1_000.0
DRAIN_TIME_MS = 30_000
GAP_SAMPLE_TOKENS = 16


class PolicySimulation:
    """One run of a scenario under a policy."""

    def __init__(
        self,
        scenario: Scenario,
        policy: str,
        seed: int,
        admission: AdmissionSettings | None = None,
        placement: PlacementSettings | None = None,
    ) -> None:
        """
        Put the parts together.

        :param scenario: demand and faults
        :param policy: name of the policy
        :param seed: of all generators
        :param admission: settings of the agents
        :param placement: settings of the routers
        """
        self.scenario = scenario
        self.policy = Policy(policy)
        self.admission = admission or AdmissionSettings()
        self.placement = placement or PlacementSettings()
        self.rng = Random(seed)
        self.events = EventQueue()
        self.agents = [
            SimulatedAgent(FakeEngine(f"e{n}", s), self.policy.new_admission(self.admission))
            for n, s in enumerate(SPEEDS)
        ]
        self.routers = [make_router(self.agents, Policy(policy)) for _ in range(ROUTERS)]
        self.requests: list[SimulatedRequest] = []
        self.peak_tokens: list[tuple[float, SimulatedRequest]] = []
        self._seed = seed

    def run(self) -> None:
        """Run to the end of the scenario and let the engines finish."""
        for number, call in enumerate(make_calls(self.scenario, self._seed)):
            sim_request = SimulatedRequest(call, f"r{number}", self.rng.choice(self.routers))
            self.requests.append(sim_request)
            self.events.schedule(call.arrive_ms, self._receive_call, sim_request)
        for agent in self.agents:
            self.events.schedule(self.rng.random() * TICK_MS, self._tick, agent)
            self.events.schedule(self.rng.random() * HEARTBEAT_MS, self._heartbeat, agent)
        self._schedule_faults()
        self.events.run(self.scenario.end_ms + DRAIN_TIME_MS)

    def _schedule_faults(self) -> None:
        scenario = self.scenario
        if scenario.straggler:
            self.events.schedule(scenario.peak_start_ms, self._slow_down, scenario.straggler)
        if scenario.crash_ms:
            self.events.schedule(scenario.crash_ms, self._crash, self.agents[0])
            restart_ms = scenario.crash_ms + scenario.crash_duration_ms
            self.events.schedule(restart_ms, self._restart, self.agents[0])

    def _slow_down(self, name: str) -> None:
        engine = next(agent.engine for agent in self.agents if agent.name == name)
        engine.speed *= STRAGGLER_FACTOR

    def _receive_call(self, sim_request: SimulatedRequest) -> None:
        retry_budget.deposit(sim_request.router.retry_budget, self.placement)
        deadline_ms = sim_request.call.arrive_ms + sim_request.call.load.request_class.deadline_ms
        self.events.schedule(deadline_ms, self._abandon, sim_request)
        self._place(sim_request)

    def _place(self, sim_request: SimulatedRequest) -> None:
        if sim_request.status != "open":
            return
        request_class = sim_request.call.load.request_class
        request = AgentPlacementRequest(
            group="tiller-pool",
            tier=request_class.tier,
            prefix_hash=stable_hash(sim_request.call.prefix) if sim_request.call.prefix else 0,
            excluded=(
                frozenset(sim_request.tried)
                if len(sim_request.tried) < len(SPEEDS)
                else frozenset()
            ),
            protected=request_class.protected,
            router_count=ROUTERS,
        )
        router = sim_request.router
        now_ms = int(self.events.now_ms)
        entry = router.policy.choose(router.entries, request, self.placement, self.rng, now_ms)
        if entry is None:
            self._finish_request(sim_request, "failed")
            return
        sim_request.attempts += 1
        sim_request.tried.add(entry.name)
        sim_request.agent = next(agent for agent in self.agents if agent.name == entry.name)
        entry.add_in_flight(request_class.tier)
        self.events.schedule(
            self.events.now_ms + NETWORK_DELAY_MS, self._submit, sim_request, sim_request.agent
        )

    def _retry(self, sim_request: SimulatedRequest, code: str) -> None:
        router = sim_request.router
        assert sim_request.agent is not None
        entry = router.get_entry(sim_request.agent.name)
        entry.remove_in_flight(sim_request.call.load.request_class.tier)
        sim_request.agent = None
        if sim_request.status != "open":
            return
        now_ms = int(self.events.now_ms)
        if code in ("backend_lost", "backend_unreachable"):
            agent_outliers.record_failure(entry, router.entries, self.placement, now_ms)
        if code == "preempted":
            sim_request.tried.clear()
            sim_request.preemptions += 1
            self.events.schedule(now_ms + NETWORK_DELAY_MS, self._place, sim_request)
            return
        attempts_exhausted = (
            sim_request.attempts - sim_request.preemptions >= self.placement.max_attempts
        )
        essential = (
            sim_request.call.load.request_class.protected or sim_request.generated_tokens > 0
        )
        if attempts_exhausted or not retry_budget.withdraw(
            router.retry_budget, code, self.placement, essential=essential
        ):
            self._finish_request(sim_request, "refused" if code == "overloaded" else "failed")
            return
        delay_ms = retry_budget.retry_delay_ms(sim_request.attempts, self.placement, self.rng)
        self.events.schedule(now_ms + delay_ms, self._place, sim_request)

    def _abandon(self, sim_request: SimulatedRequest) -> None:
        if sim_request.status != "open" or sim_request.first_token_ms is not None:
            return
        agent = sim_request.agent
        self._finish_request(sim_request, "abandoned")
        if agent is not None:
            self._remove_request(agent, sim_request)
            sim_request.router.get_entry(agent.name).remove_in_flight(
                sim_request.call.load.request_class.tier
            )
            sim_request.agent = None

    def _finish_request(self, sim_request: SimulatedRequest, status: str) -> None:
        sim_request.status = status
        sim_request.ended_ms = self.events.now_ms

    def _submit(self, sim_request: SimulatedRequest, agent: SimulatedAgent) -> None:
        if sim_request.status != "open" or sim_request.agent is not agent:
            return
        agent.requests[sim_request.request_id] = sim_request
        if not agent.engine.up:
            del agent.requests[sim_request.request_id]
            self._retry(sim_request, "backend_unreachable")
            return
        now_ms = int(self.events.now_ms)
        self._apply(agent, agent.admission.submit(make_item(sim_request, now_ms), now_ms))

    def _apply(self, agent: SimulatedAgent, actions: list[AdmissionAction]) -> None:
        for action in actions:
            sim_request = agent.requests.get(action.request_id)
            if sim_request is None:
                continue
            match action:
                case RefuseWork():
                    del agent.requests[action.request_id]
                    self._retry(sim_request, "overloaded")
                case PreemptWork():
                    at_ms = self.events.now_ms + NETWORK_DELAY_MS
                    self.events.schedule(at_ms, self._preempt, agent, sim_request)
                case _:
                    self._start(agent, sim_request)

    def _start(self, agent: SimulatedAgent, sim_request: SimulatedRequest) -> None:
        sim_request.started_ms.append(self.events.now_ms)
        agent.engine.start(make_stream(sim_request))
        if not agent.step_scheduled:
            agent.step_scheduled = True
            self._step(agent, agent.engine_incarnation)

    def _preempt(self, agent: SimulatedAgent, sim_request: SimulatedRequest) -> None:
        if agent.requests.get(sim_request.request_id) is sim_request:
            self._remove_request(agent, sim_request)
            self._retry(sim_request, "preempted")

    def _remove_request(self, agent: SimulatedAgent, sim_request: SimulatedRequest) -> None:
        if agent.requests.pop(sim_request.request_id, None) is None:
            return
        stream = agent.engine.cancel(sim_request.request_id)
        if stream is not None:
            self._record_work(sim_request, stream)
        self._apply(agent, agent.admission.finish(sim_request.request_id, int(self.events.now_ms)))

    def _record_work(self, sim_request: SimulatedRequest, stream: Stream) -> None:
        sim_request.work_ms += stream.work_ms
        if len(sim_request.started_ms) > 1:
            prefilled = stream.prompt_tokens + stream.resumed_tokens - stream.prefill_tokens_left
            sim_request.repeated_work_ms += min(stream.work_ms, prefilled * 0.06)

    def _tick(self, agent: SimulatedAgent) -> None:
        self._apply(agent, agent.admission.run_tick(int(self.events.now_ms)))
        self.events.schedule(self.events.now_ms + TICK_MS, self._tick, agent)

    def _heartbeat(self, agent: SimulatedAgent) -> None:
        for router in self.routers:
            self._send_load_report(agent, router)
            agent_outliers.mark_slow(router.entries, self.placement, int(self.events.now_ms))
        self.events.schedule(self.events.now_ms + HEARTBEAT_MS, self._heartbeat, agent)

    def _send_load_report(self, agent: SimulatedAgent, router: SimulatedRouter) -> None:
        load = agent.admission.build_load_report(int(self.events.now_ms))
        if load is not None:
            at_ms = self.events.now_ms + self.scenario.report_lag_ms
            self.events.schedule(
                at_ms, self._receive_load_report, router.get_entry(agent.name), load
            )

    def _receive_load_report(self, entry: AgentEntry, load: LoadReport) -> None:
        load.received_ms = int(self.events.now_ms)
        entry.update_load(load)

    def _step(self, agent: SimulatedAgent, engine_incarnation: int) -> None:
        if not agent.engine.streams or engine_incarnation != agent.engine_incarnation:
            agent.step_scheduled = (
                agent.step_scheduled and engine_incarnation != agent.engine_incarnation
            )
            return
        step_ms, decoding = agent.engine.step()
        self.events.schedule(
            self.events.now_ms + step_ms, self._step_end, agent, engine_incarnation, decoding
        )

    def _step_end(
        self, agent: SimulatedAgent, engine_incarnation: int, decoding: list[Stream]
    ) -> None:
        if engine_incarnation != agent.engine_incarnation:
            return
        now_ms = self.events.now_ms
        done = []
        for stream in decoding:
            sim_request = agent.requests.get(stream.request_id)
            if sim_request is None or agent.engine.streams.get(stream.request_id) is not stream:
                continue
            stream.generated_tokens += 1
            self._record_token(agent, sim_request, now_ms)
            if stream.generated_tokens >= stream.output_tokens:
                done.append((sim_request, stream))
        for sim_request, _ in done:
            self._finish(agent, sim_request)
        self._step(agent, engine_incarnation)

    def _record_token(
        self, agent: SimulatedAgent, sim_request: SimulatedRequest, now_ms: float
    ) -> None:
        agent.admission.record_tokens(sim_request.request_id, int(now_ms))
        if sim_request.first_token_ms is None:
            sim_request.first_token_ms = now_ms
        sim_request.last_token_ms = now_ms
        sim_request.generated_tokens += 1
        if self.scenario.peak_start_ms + 5_000 <= now_ms < self.scenario.peak_end_ms:
            self.peak_tokens.append((now_ms, sim_request))
        if sim_request.generated_tokens % GAP_SAMPLE_TOKENS == 1:
            if sim_request.generated_tokens > 1 and len(sim_request.started_ms) == 1:
                gap_ms = (now_ms - sim_request.last_gap_sample_ms) / GAP_SAMPLE_TOKENS
                agent_outliers.record_token_gap(
                    sim_request.router.get_entry(agent.name), gap_ms, int(now_ms)
                )
            sim_request.last_gap_sample_ms = now_ms

    def _finish(self, agent: SimulatedAgent, sim_request: SimulatedRequest) -> None:
        self._finish_request(sim_request, "answered")
        self._remove_request(agent, sim_request)
        entry = sim_request.router.get_entry(agent.name)
        entry.remove_in_flight(sim_request.call.load.request_class.tier)
        agent_outliers.record_success(entry)
        sim_request.agent = None
        self._send_load_report(agent, sim_request.router)

    def _crash(self, agent: SimulatedAgent) -> None:
        agent.engine_incarnation += 1
        agent.step_scheduled = False
        lost = {stream.request_id: stream for stream in agent.engine.crash()}
        for sim_request in list(agent.requests.values()):
            stream = lost.get(sim_request.request_id)
            if stream is not None:
                self._record_work(sim_request, stream)
            del agent.requests[sim_request.request_id]
            agent.admission.finish(sim_request.request_id, int(self.events.now_ms))
            self._retry(sim_request, "backend_lost" if stream else "backend_unreachable")

    def _restart(self, agent: SimulatedAgent) -> None:
        agent.engine.up = True


__all__ = ["PolicySimulation"]
