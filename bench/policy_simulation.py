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

LINK_MS = 2.0
TICK_MS = 50.0
HEARTBEAT_MS = 1_000.0
DRAIN_MS = 30_000
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
            SimulatedAgent(FakeEngine(f"e{n}", s), self.policy.gate(self.admission))
            for n, s in enumerate(SPEEDS)
        ]
        self.routers = [make_router(self.agents, Policy(policy)) for _ in range(ROUTERS)]
        self.journeys: list[SimulatedRequest] = []
        self.tokens_at: list[tuple[float, SimulatedRequest]] = []
        self._seed = seed

    def run(self) -> None:
        """Run to the end of the scenario and let the engines finish."""
        for number, call in enumerate(make_calls(self.scenario, self._seed)):
            journey = SimulatedRequest(call, f"r{number}", self.rng.choice(self.routers))
            self.journeys.append(journey)
            self.events.schedule(call.arrive_ms, self._arrive, journey)
        for agent in self.agents:
            self.events.schedule(self.rng.random() * TICK_MS, self._tick, agent)
            self.events.schedule(self.rng.random() * HEARTBEAT_MS, self._heartbeat, agent)
        self._schedule_faults()
        self.events.run(self.scenario.end_ms + DRAIN_MS)

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

    def _arrive(self, journey: SimulatedRequest) -> None:
        retry_budget.deposit(journey.router.budget, self.placement)
        deadline_ms = journey.call.arrive_ms + journey.call.load.request_class.deadline_ms
        self.events.schedule(deadline_ms, self._give_up, journey)
        self._place(journey)

    def _place(self, journey: SimulatedRequest) -> None:
        if journey.status != "open":
            return
        request_class = journey.call.load.request_class
        request = AgentPlacementRequest(
            group="tiller-pool",
            tier=request_class.tier,
            prefix_hash=stable_hash(journey.call.prefix) if journey.call.prefix else 0,
            excluded=frozenset(journey.tried) if len(journey.tried) < len(SPEEDS) else frozenset(),
            protected=request_class.protected,
            router_count=ROUTERS,
        )
        router = journey.router
        now_ms = int(self.events.now_ms)
        entry = router.policy.choose(router.entries, request, self.placement, self.rng, now_ms)
        if entry is None:
            self._end(journey, "failed")
            return
        journey.attempts += 1
        journey.tried.add(entry.name)
        journey.agent = next(agent for agent in self.agents if agent.name == entry.name)
        entry.add_in_flight(request_class.tier)
        self.events.schedule(self.events.now_ms + LINK_MS, self._submit, journey, journey.agent)

    def _retry(self, journey: SimulatedRequest, code: str) -> None:
        router = journey.router
        assert journey.agent is not None
        entry = router.entry(journey.agent.name)
        entry.remove_in_flight(journey.call.load.request_class.tier)
        journey.agent = None
        if journey.status != "open":
            return
        now_ms = int(self.events.now_ms)
        if code in ("backend_lost", "backend_unreachable"):
            agent_outliers.record_failure(entry, router.entries, self.placement, now_ms)
        if code == "preempted":
            journey.tried.clear()
            journey.preemptions += 1
            self.events.schedule(now_ms + LINK_MS, self._place, journey)
            return
        spent = journey.attempts - journey.preemptions >= self.placement.max_attempts
        essential = journey.call.load.request_class.protected or journey.produced > 0
        if spent or not retry_budget.withdraw(
            router.budget, code, self.placement, essential=essential
        ):
            self._end(journey, "refused" if code == "overloaded" else "failed")
            return
        delay_ms = retry_budget.retry_delay_ms(journey.attempts, self.placement, self.rng)
        self.events.schedule(now_ms + delay_ms, self._place, journey)

    def _give_up(self, journey: SimulatedRequest) -> None:
        if journey.status != "open" or journey.first_ms is not None:
            return
        agent = journey.agent
        self._end(journey, "abandoned")
        if agent is not None:
            self._leave(agent, journey)
            journey.router.entry(agent.name).remove_in_flight(journey.call.load.request_class.tier)
            journey.agent = None

    def _end(self, journey: SimulatedRequest, status: str) -> None:
        journey.status = status
        journey.ended_ms = self.events.now_ms

    def _submit(self, journey: SimulatedRequest, agent: SimulatedAgent) -> None:
        if journey.status != "open" or journey.agent is not agent:
            return
        agent.present[journey.request_id] = journey
        if not agent.engine.up:
            del agent.present[journey.request_id]
            self._retry(journey, "backend_unreachable")
            return
        now_ms = int(self.events.now_ms)
        self._apply(agent, agent.gate.submit(make_item(journey, now_ms), now_ms))

    def _apply(self, agent: SimulatedAgent, actions: list[AdmissionAction]) -> None:
        for action in actions:
            journey = agent.present.get(action.request_id)
            if journey is None:
                continue
            match action:
                case RefuseWork():
                    del agent.present[action.request_id]
                    self._retry(journey, "overloaded")
                case PreemptWork():
                    at_ms = self.events.now_ms + LINK_MS
                    self.events.schedule(at_ms, self._preempt, agent, journey)
                case _:
                    self._start(agent, journey)

    def _start(self, agent: SimulatedAgent, journey: SimulatedRequest) -> None:
        journey.started_ms.append(self.events.now_ms)
        agent.engine.start(make_stream(journey))
        if not agent.stepping:
            agent.stepping = True
            self._step(agent, agent.epoch)

    def _preempt(self, agent: SimulatedAgent, journey: SimulatedRequest) -> None:
        if agent.present.get(journey.request_id) is journey:
            self._leave(agent, journey)
            self._retry(journey, "preempted")

    def _leave(self, agent: SimulatedAgent, journey: SimulatedRequest) -> None:
        if agent.present.pop(journey.request_id, None) is None:
            return
        stream = agent.engine.cancel(journey.request_id)
        if stream is not None:
            self._account(journey, stream)
        self._apply(agent, agent.gate.finish(journey.request_id, int(self.events.now_ms)))

    def _account(self, journey: SimulatedRequest, stream: Stream) -> None:
        journey.work_ms += stream.work_ms
        if len(journey.started_ms) > 1:
            prefilled = stream.prompt_tokens + stream.resumed_tokens - stream.prefill_tokens_left
            journey.repeated_ms += min(stream.work_ms, prefilled * 0.06)

    def _tick(self, agent: SimulatedAgent) -> None:
        self._apply(agent, agent.gate.run_tick(int(self.events.now_ms)))
        self.events.schedule(self.events.now_ms + TICK_MS, self._tick, agent)

    def _heartbeat(self, agent: SimulatedAgent) -> None:
        for router in self.routers:
            self._report(agent, router)
            agent_outliers.mark_slow(router.entries, self.placement, int(self.events.now_ms))
        self.events.schedule(self.events.now_ms + HEARTBEAT_MS, self._heartbeat, agent)

    def _report(self, agent: SimulatedAgent, router: SimulatedRouter) -> None:
        load = agent.gate.report(int(self.events.now_ms))
        if load is not None:
            at_ms = self.events.now_ms + self.scenario.report_lag_ms
            self.events.schedule(at_ms, self._receive, router.entry(agent.name), load)

    def _receive(self, entry: AgentEntry, load: LoadReport) -> None:
        load.received_ms = int(self.events.now_ms)
        entry.update_load(load)

    def _step(self, agent: SimulatedAgent, epoch: int) -> None:
        if not agent.engine.streams or epoch != agent.epoch:
            agent.stepping = agent.stepping and epoch != agent.epoch
            return
        step_ms, decoding = agent.engine.step()
        self.events.schedule(self.events.now_ms + step_ms, self._step_end, agent, epoch, decoding)

    def _step_end(self, agent: SimulatedAgent, epoch: int, decoding: list[Stream]) -> None:
        if epoch != agent.epoch:
            return
        now_ms = self.events.now_ms
        done = []
        for stream in decoding:
            journey = agent.present.get(stream.request_id)
            if journey is None or agent.engine.streams.get(stream.request_id) is not stream:
                continue
            stream.produced += 1
            self._token(agent, journey, now_ms)
            if stream.produced >= stream.output_tokens:
                done.append((journey, stream))
        for journey, _ in done:
            self._finish(agent, journey)
        self._step(agent, epoch)

    def _token(self, agent: SimulatedAgent, journey: SimulatedRequest, now_ms: float) -> None:
        agent.gate.record_tokens(journey.request_id, int(now_ms))
        if journey.first_ms is None:
            journey.first_ms = now_ms
        journey.last_ms = now_ms
        journey.produced += 1
        if self.scenario.peak_start_ms + 5_000 <= now_ms < self.scenario.peak_end_ms:
            self.tokens_at.append((now_ms, journey))
        if journey.produced % GAP_SAMPLE_TOKENS == 1:
            if journey.produced > 1 and len(journey.started_ms) == 1:
                gap_ms = (now_ms - journey.sampled_ms) / GAP_SAMPLE_TOKENS
                agent_outliers.record_token_gap(
                    journey.router.entry(agent.name), gap_ms, int(now_ms)
                )
            journey.sampled_ms = now_ms

    def _finish(self, agent: SimulatedAgent, journey: SimulatedRequest) -> None:
        self._end(journey, "answered")
        self._leave(agent, journey)
        entry = journey.router.entry(agent.name)
        entry.remove_in_flight(journey.call.load.request_class.tier)
        agent_outliers.record_success(entry)
        journey.agent = None
        self._report(agent, journey.router)

    def _crash(self, agent: SimulatedAgent) -> None:
        agent.epoch += 1
        agent.stepping = False
        lost = {stream.request_id: stream for stream in agent.engine.crash()}
        for journey in list(agent.present.values()):
            stream = lost.get(journey.request_id)
            if stream is not None:
                self._account(journey, stream)
            del agent.present[journey.request_id]
            agent.gate.finish(journey.request_id, int(self.events.now_ms))
            self._retry(journey, "backend_lost" if stream else "backend_unreachable")

    def _restart(self, agent: SimulatedAgent) -> None:
        agent.engine.up = True


__all__ = ["PolicySimulation"]
