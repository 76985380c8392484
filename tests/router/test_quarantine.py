"""Simulation of bodies that crash backend servers, with the real quarantine and isolation."""

from __future__ import annotations

import asyncio
import hashlib
import unittest
from random import Random
from typing import TYPE_CHECKING
from unittest.mock import patch

import attrs

from boragetiller.agent.crash_isolation import CrashIsolation
from boragetiller.clock import ManualClock
from boragetiller.errors import BackendCrashed, BackendUnreachable, BoragetillerError, Quarantined
from boragetiller.hashing import mix64, stable_hash
from boragetiller.router.quarantine import Quarantine
from boragetiller.settings import CrashQuarantineSettings
from boragetiller.systems import crash_quarantine
from boragetiller.tables.agents import AgentEntry

if TYPE_CHECKING:
    from boragetiller.control.messages import CrashReport

AGENTS = ("a-1", "a-2", "a-3", "a-4", "a-5")
SETTINGS = CrashQuarantineSettings(isolation_delay_ms=60)
EXCHANGE_STEPS = 10  # until crash reports have reached every process
RESTART_STEPS = 6
MAX_ATTEMPTS = 40


def fingerprint(body: str) -> str:
    """:return: fingerprint of a body in hexadecimal"""
    return hashlib.sha256(body.encode()).hexdigest()


@attrs.define
class Server:
    """Backend server that crashes when it runs a body that starts with `poison`."""

    crashes: int = 0
    down_steps: int = 0
    running: dict[asyncio.Future[None], str] = attrs.Factory(dict)

    async def run(self, body: str) -> None:
        """Run a body; a crash fails all bodies that are running."""
        if self.down_steps:
            raise BackendUnreachable
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.running[future] = body
        await future

    def step(self) -> None:
        """Finish the oldest running body, or crash if that body is poison."""
        self.down_steps = max(0, self.down_steps - 1)
        if not self.running:
            return
        future, body = next(iter(self.running.items()))
        if not body.startswith("poison"):
            del self.running[future]
            future.set_result(None)
            return
        self.crashes += 1
        self.down_steps = RESTART_STEPS
        lost, self.running = self.running, {}
        for waiting in lost:
            waiting.set_exception(BackendCrashed())


class Fleet:
    """Two routers and five agents that receive crash reports with a delay."""

    def __init__(self, seed: int, *, spread_copies: bool = False) -> None:
        self.spread_copies = spread_copies
        self.rng = Random(seed)
        self.clock = ManualClock()
        self.servers = {name: Server() for name in AGENTS}
        self.pending_reports: list[CrashReport] = []
        self.isolations = {
            name: CrashIsolation(
                name, SETTINGS, self.clock, self.pending_reports.extend, _yield_to_loop
            )
            for name in AGENTS
        }
        self.routers = [Quarantine(SETTINGS, self.clock) for _ in range(2)]
        self.entries = [
            AgentEntry(name=name, group="pool", address="", data_port=1) for name in AGENTS
        ]

    async def request(self, router: Quarantine, body: str) -> str:
        """Serve a request as a router does and return `answered` or its error code."""
        body_fingerprint = fingerprint(body)
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            try:
                isolated = router.needs_isolation(body_fingerprint)
                agent = self._choose(router, body_fingerprint, isolated, tried)
                await self._attempt(router, agent, body, isolated)
                return "answered"
            except (BackendCrashed, BackendUnreachable) as error:
                tried.add(agent.name)
                last = error.code
            except Quarantined as error:
                return error.code
            except BoragetillerError as error:
                last = error.code
            if len(tried) == len(AGENTS):
                tried.clear()
            await asyncio.sleep(0)
        return last

    def _choose(
        self, router: Quarantine, body_fingerprint: str, isolated: bool, tried: set[str]
    ) -> AgentEntry:
        seed = int(body_fingerprint[:16], 16)
        if isolated:
            agent = router.choose_isolation_agent(body_fingerprint, seed, self.entries, tried)
            if agent is not None:
                return agent
        ranked = sorted(self.entries, key=lambda e: mix64(stable_hash(e.name) ^ seed), reverse=True)
        if self.spread_copies and router is self.routers[0] and not tried:
            return ranked[3]  # as if the preferred agent were busy
        return next((e for e in ranked if e.name not in tried), ranked[0])

    async def _attempt(
        self, router: Quarantine, agent: AgentEntry, body: str, isolated: bool
    ) -> None:
        isolation, body_fingerprint = self.isolations[agent.name], fingerprint(body)
        sent_ms = self.clock.now_ms()
        try:
            async with isolation.isolate(
                body_fingerprint,
                isolated=isolated,
                keyed=False,
                crashed_servers=router.crashed_servers(body_fingerprint),
            ):
                for _ in range(self.rng.randrange(4)):  # waits for admission
                    await asyncio.sleep(0)
                isolation.check(body_fingerprint, isolated=isolated)
                await self._run(isolation, agent.name, body)
        except BoragetillerError as error:
            router.record_error(body_fingerprint, agent.name, error, sent_ms)
            raise
        if isolated:
            isolation.record_success(body_fingerprint)
            router.record_success(body_fingerprint)

    async def _run(self, isolation: CrashIsolation, name: str, body: str) -> None:
        sent_ms = self.clock.now_ms()
        try:
            await self.servers[name].run(body)
        except BackendCrashed:
            isolation.record_crash(fingerprint(body), sent_ms)
            raise

    async def step(self) -> None:
        """Advance the time by a step; every EXCHANGE_STEPS deliver the crash reports."""
        self.clock.advance(1)
        for _ in range(5):
            await asyncio.sleep(0)
        for server in self.servers.values():
            if self.rng.random() < 0.5:
                server.step()
        if self.pending_reports and self.clock.now_ms() % EXCHANGE_STEPS == 0:
            for crash_report in self.pending_reports:
                for receiver in [*self.isolations.values(), *self.routers]:
                    receiver.handle_crash_report(crash_report, self.clock.now_ms())
            self.pending_reports.clear()

    def crashes(self) -> int:
        """:return: crashes of all servers"""
        return sum(server.crashes for server in self.servers.values())


async def _yield_to_loop(_: float) -> None:
    await asyncio.sleep(0)


async def run_fleet(seed: int, *, spread_copies: bool = False) -> tuple[int, list[str], list[str]]:
    """
    Send copies of one poison body through both routers, mixed with harmless requests.

    :param seed: seed of all random choices
    :param spread_copies: whether the routers place the first copies on different agents
    :return: number of crashes, results of the poison copies, results of the harmless requests
    """
    fleet = Fleet(seed, spread_copies=spread_copies)
    copies, harmless = [], []
    for number in range(8):
        router = fleet.routers[number % 2]
        copies.append(asyncio.create_task(fleet.request(router, "poison")))
        for other in range(3):
            body = f"bystander-{number}-{other}"
            harmless.append(asyncio.create_task(fleet.request(router, body)))
        for _ in range(fleet.rng.randrange(4)):
            await fleet.step()
    for _ in range(2_000):
        if all(task.done() for task in [*copies, *harmless]):
            break
        await fleet.step()
    late = asyncio.create_task(fleet.request(Quarantine(SETTINGS, fleet.clock), "poison"))
    for _ in range(300):
        await fleet.step()
    codes = [[task.result() for task in tasks] for tasks in ([*copies, late], harmless)]
    return fleet.crashes(), codes[0], codes[1]


class QuarantineTest(unittest.TestCase):
    """Bounds on the number of crashes for random orders of events."""

    def test_poison_copies_crash_two_servers_at_most(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                crashes, poison, harmless = asyncio.run(run_fleet(seed))
                self.assertLessEqual(crashes, 2)
                self.assertEqual(set(poison), {"quarantined"})
                self.assertEqual(set(harmless), {"answered"})

    def test_poison_copies_on_two_agents_at_once_crash_no_third(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                crashes, poison, harmless = asyncio.run(run_fleet(seed, spread_copies=True))
                self.assertLessEqual(crashes, 2)
                self.assertEqual(set(poison), {"quarantined"})
                self.assertLessEqual(harmless.count("quarantined"), 0)

    def test_poison_without_isolation_delay_crashes_a_third(self) -> None:
        with patch.object(crash_quarantine, "isolation_wait_ms", lambda *_: 0):
            crashes = [asyncio.run(run_fleet(seed, spread_copies=True))[0] for seed in range(30)]
        self.assertGreater(max(crashes), 2)

    def test_poison_without_check_before_sending_crashes_more(self) -> None:
        with patch.object(CrashIsolation, "check", lambda *_, **__: None):
            self.assertGreater(max(asyncio.run(run_fleet(seed))[0] for seed in range(20)), 2)

    def test_poison_without_crashed_servers_in_attempts_crashes_more(self) -> None:
        with patch.object(Quarantine, "crashed_servers", lambda *_: ()):
            self.assertGreater(max(asyncio.run(run_fleet(seed))[0] for seed in range(30)), 2)

    def test_copies_in_flight_share_one_agent(self) -> None:
        quarantine = Quarantine(SETTINGS, ManualClock())
        quarantine.add_in_flight("x", "a-1")
        quarantine.add_in_flight("x", "a-1")
        quarantine.remove_in_flight("x", "a-1")
        self.assertEqual(quarantine.get_agent_in_use("x"), "a-1")
        quarantine.remove_in_flight("x", "a-1")
        self.assertIsNone(quarantine.get_agent_in_use("x"))

    def test_poison_without_counting_by_crash_quarantines_too_early(self) -> None:
        real = crash_quarantine.record_crash

        def count_copies(
            table: object, body: bytes, server: str, started_ms: int, now_ms: int
        ) -> bool:
            return real(table, body, server, now_ms + 10**9, now_ms)  # type: ignore[arg-type]

        with patch.object(crash_quarantine, "record_crash", count_copies):
            crashes = [asyncio.run(run_fleet(seed))[0] for seed in range(20)]
        self.assertLess(min(crashes), 2)

    def test_crashes_expire(self) -> None:
        clock = ManualClock()
        quarantine = Quarantine(SETTINGS, clock)
        for server in AGENTS[:2]:
            quarantine.record_error(fingerprint("x"), server, BackendCrashed(), 0)
        with self.assertRaises(Quarantined):
            quarantine.needs_isolation(fingerprint("x"))
        clock.advance(SETTINGS.expire_ms + 1)
        quarantine.expire_crashes()
        self.assertFalse(quarantine.needs_isolation(fingerprint("x")))

    def test_isolated_agent_is_the_same_at_every_router(self) -> None:
        fleet = Fleet(1)
        for router in fleet.routers:
            router.record_error(fingerprint("x"), "a-1", BackendCrashed(), 0)
        chosen = {
            router.choose_isolation_agent(fingerprint("x"), 7, order, set()).name  # type: ignore[union-attr]
            for router, order in zip(
                fleet.routers, (fleet.entries, fleet.entries[::-1]), strict=True
            )
        }
        self.assertEqual(len(chosen), 1)
        self.assertNotIn("a-1", chosen)


if __name__ == "__main__":
    unittest.main()
