"""Seeded random fault sequences for the decisions about shards and claims."""

from __future__ import annotations

from random import Random

from bench.shard_simulation import Call, Faults, ShardSimulation
from boragetiller.settings import ClaimSettings

NAMES = ("a", "b", "c")
SETTINGS = ClaimSettings(
    memory_after_ms=4_000,
    renew_ms=1_200,
    pause_limit_ms=1_500,
    max_clock_skew_ms=100,
    retry_horizon_ms=15_000,
    max_call_age_ms=9_000,
    commit_timeout_ms=8_000,
    rebalance_after_ms=3_000,
    page_claims=8,
)
UNLISTED_AFTER_MS = 1_600
RECOVERY_MS = 15_000


class FaultHistory:
    """One sequence of calls, crashes, pauses, store outages, lost replies and late writes."""

    def __init__(self, seed: int) -> None:
        """:param seed: seed of all random choices"""
        self._rng = Random(seed)
        self.simulation = ShardSimulation(
            NAMES, self._rng, settings=SETTINGS, shard_count=4, tick_ms=100, host_list_lag_ms=500
        )
        self.calls: list[Call] = []
        self.restores = False  # whether the store is restored from older copies
        self._copies = [self.simulation.copy_store()]
        self._faulty_agents: set[str] = set()

    def run(self, steps: int) -> None:
        """
        Run the sequence, then let the agents recover without faults.

        :param steps: number of events
        """
        self.simulation.run(3_000)
        for step in range(steps):
            self._step(step)
            self.simulation.run(self._rng.choice((5, 50, 300, 1_500)))
        self.simulation.faults = Faults()
        self.simulation.run(RECOVERY_MS)

    def violations(self) -> list[str]:
        """:return: keys that ran more than once, or got the verdict NOT_RUN although they ran"""
        repeated = [
            f"{key} ran {runs} times" for key, runs in self.simulation.runs.items() if runs > 1
        ]
        return repeated + [
            f"{key} answered NOT_RUN but ran" for key in self.simulation.false_not_run
        ]

    def _step(self, step: int) -> None:
        draw = self._rng.random()
        if draw < 0.6:
            self._send(f"k{step // 12}-{self._rng.randrange(4)}")
        elif draw < 0.66:
            self.simulation.faults.lost_replies = self._rng.choice((0.0, 0.2, 0.6))
            self.simulation.faults.late_writes = self._rng.choice((0.0, 0.2, 0.5))
        elif draw < 0.72:
            self.simulation.faults.store_down = not self.simulation.faults.store_down
        elif draw < 0.8:
            self._inject_agent_fault(self._rng.choice(NAMES))
        elif self.restores and draw < 0.84:
            self._restore_store()

    def _restore_store(self) -> None:
        """Go back to one of the last copies half of the times, else make a new one."""
        if self._rng.random() < 0.5:
            self._copies = [*self._copies, self.simulation.copy_store()][-3:]
            return
        index = self._rng.randrange(len(self._copies))
        self.simulation.restore_store(self._copies[index])
        self._copies = self._copies[: index + 1]

    def _send(self, key: str) -> None:
        owner = self.simulation.find_owner(key)
        use_owner = owner is not None and self._rng.random() < 0.6
        agent = owner if use_owner and owner else self._rng.choice(NAMES)
        self.calls.append(self.simulation.send(key, agent))

    def _inject_agent_fault(self, name: str) -> None:
        if name in self._faulty_agents:
            return
        self._faulty_agents.add(name)
        duration_ms = self._rng.choice((300, 2_500, 7_000))
        crash = self._rng.random() < 0.5
        if crash:
            self.simulation.crash(name)
        else:
            self.simulation.pause(name, duration_ms)
        if duration_ms > UNLISTED_AFTER_MS:
            self.simulation.schedule(
                UNLISTED_AFTER_MS, lambda: self.simulation.set_listed(name, listed=False)
            )
        self.simulation.schedule(duration_ms, lambda: self._restore(name, crash))

    def _restore(self, name: str, crashed: bool) -> None:
        if crashed:
            self.simulation.start(name)
        self.simulation.set_listed(name, listed=True)
        self._faulty_agents.discard(name)


__all__ = ["NAMES", "SETTINGS", "FaultHistory"]
