"""Work times and committed memory of servers in reports between routers."""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING

import attrs

from bench.gateway_scale import _build_prompt, _build_router
from boragetiller.clock import ManualClock
from boragetiller.gateway.peer_messages import decode_payload, encode_frame
from boragetiller.systems.overload.committed_memory import commit_request
from boragetiller.systems.overload.server_speed import lasting_work_time
from boragetiller.tables.report_entries import ServerSpeedReport
from boragetiller.tables.routes import EngineProfile

if TYPE_CHECKING:
    from boragetiller.gateway.state_sync import StateSync


class EngineReportsTest(unittest.TestCase):
    """Two routers before the same eight servers; reports pass through their encoding."""

    def setUp(self) -> None:
        self.clock = ManualClock(1_000)
        self.routers = [_build_router(8, self.clock) for _ in range(2)]
        self.registry, self.sync = self.routers[0]
        self.peer_registry, self.peer_sync = self.routers[1]
        self.names = list(self.registry.servers.by_name)
        self.cursor = self.sync.create_cursor()

    def observe(self, name: str, work_time: float) -> None:
        self.sync.speeds.record_response(self.registry.servers.by_name[name], work_time)

    def exchange(self) -> tuple[ServerSpeedReport, ...]:
        report = self.sync.build_report(self.cursor)
        self.peer_sync.apply_report("r0", decode_payload(encode_frame(report)[4:]))
        return report.speeds

    def peer_work_time(self, name: str) -> float:
        speed = self.peer_registry.servers.by_name[name].speed
        return lasting_work_time(speed, self.clock.now_ms())

    def test_observation_reaches_the_ranks_of_a_peer(self) -> None:
        # Guards against routers that reserve different engines.
        def rank(sync: StateSync, index: int) -> dict[str, int]:
            sync.speeds.update_ranks()
            return self.routers[index][0].servers.find_accepting("engines").reservation_ranks

        first = min(rank(self.peer_sync, 1), key=rank(self.peer_sync, 1).__getitem__)
        self.clock.advance(1_500)
        self.observe(first, 1.7)
        self.exchange()
        self.assertEqual(rank(self.peer_sync, 1)[first], 7)
        self.assertEqual(rank(self.sync, 0), rank(self.peer_sync, 1))
        self.clock.advance(10_000)  # the server stops naming its work time
        self.assertEqual(rank(self.peer_sync, 1)[first], 0)

    def test_report_has_the_newest_own_observation_of_each_server_once(self) -> None:
        # Guards against reports that relay or repeat what peers know.
        self.observe(self.names[0], 1.7)
        self.clock.advance(40)
        self.observe(self.names[0], 0.7)
        self.clock.advance(10)
        self.assertEqual(
            self.exchange(), (ServerSpeedReport(server=self.names[0], work_percent=70, age_ms=10),)
        )
        self.assertEqual(self.exchange(), ())
        self.assertEqual(self.peer_sync.build_report(self.peer_sync.create_cursor()).speeds, ())

    def test_commitments_and_shared_parts_reach_a_peer(self) -> None:
        # Guards against an engine that each router fills up to its whole memory.
        prompt, engine = _build_prompt(Random(1)), EngineProfile(slots=8, memory_tokens=500_000)
        server = self.registry.servers.by_name[self.names[0]]
        server.in_flight = 1
        commit_request(server.memory, prompt, 100.0, self.clock.now_ms())
        self.sync.record_prompt(server, prompt, engine)
        self.exchange()
        seen = self.peer_registry.servers.by_name[server.name]
        self.assertEqual(seen.peer_load.committed_tokens, 8_600)
        self.assertEqual(list(seen.memory.peer_parts), [p.part_id for p in prompt.shared_parts])

    def test_reports_of_unknown_servers_earlier_incarnations_and_absurd_values(self) -> None:
        self.clock.advance(200)
        old = ServerSpeedReport(server=self.names[0], work_percent=170, age_ms=500)
        unknown = attrs.evolve(old, server="gone", age_ms=0)
        zero = attrs.evolve(old, server=self.names[1], work_percent=0, age_ms=0)
        self.peer_sync.speeds.apply_reports("r0", (old, unknown, zero))
        self.assertEqual([self.peer_work_time(name) for name in self.names[:2]], [1.0, 1.0])


if __name__ == "__main__":
    unittest.main()
