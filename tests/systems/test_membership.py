"""Tests of membership: each source of state, and faults that must leave candidates."""

from __future__ import annotations

import unittest

import attrs

from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.settings import ControlSettings
from boragetiller.systems.membership import (
    apply_group_records,
    apply_host_list,
    has_overdue_heartbeat,
    record_connected,
    record_disconnected,
    record_goodbye,
    record_heartbeat,
    set_watched,
    update_states,
)
from boragetiller.tables.members import MemberState, MemberTable, StateChange

SETTINGS = ControlSettings(key="k")
HEARTBEAT_MS = SETTINGS.heartbeat_ms
REACTION_MS = 3_000


def _build_host(index: int, state: HostState = HostState.LIVE) -> Host:
    return Host(
        name=f"agent-{index}",
        role="agent",
        address="127.0.0.1",
        data_port=1,
        control_port=2,
        failure_domain="abc"[index % 3],
        group="g",
        state=state,
    )


class MembershipTest(unittest.TestCase):
    """Nine agents in three failure domains, all connected at time 0."""

    def setUp(self) -> None:
        self.table = MemberTable()
        self.hosts = [_build_host(i) for i in range(9)]
        self.names = [host.name for host in self.hosts]
        apply_host_list(self.table, self.hosts, SETTINGS, 0)
        set_watched(self.table, self.names, 0)
        for name in self.names:
            record_connected(self.table, name, 1, 0)
        update_states(self.table, SETTINGS, 0)

    def _list_candidates(self) -> list[str]:
        return sorted(name for name, m in self.table.members.items() if m.is_candidate())

    def _send_heartbeats(
        self, names: list[str], now_ms: int, incarnation: int = 1
    ) -> list[StateChange]:
        for name in names:
            record_heartbeat(self.table, name, incarnation, now_ms)
        return update_states(self.table, SETTINGS, now_ms)

    def test_hosts_that_send_heartbeats_are_live(self) -> None:
        self.assertEqual(self._list_candidates(), self.names)
        self.assertEqual(self._send_heartbeats(self.names, 1_000), [])

    def test_silent_host_is_suspected_until_its_next_heartbeat(self) -> None:
        self.assertFalse(has_overdue_heartbeat(self.table, SETTINGS, 2 * HEARTBEAT_MS))
        for now_ms in range(HEARTBEAT_MS, 4 * HEARTBEAT_MS, HEARTBEAT_MS):
            silent = has_overdue_heartbeat(self.table, SETTINGS, now_ms)
            changes = self._send_heartbeats(self.names[1:], now_ms)
            self.assertEqual(silent, bool(changes))
        self.assertEqual(changes, [StateChange("agent-0", MemberState.LIVE, MemberState.SUSPECTED)])
        self.assertEqual(self._list_candidates(), self.names[1:])
        self._send_heartbeats(self.names, 4 * HEARTBEAT_MS)
        self.assertEqual(self._list_candidates(), self.names)

    def test_host_is_suspected_as_soon_as_its_connection_breaks(self) -> None:
        record_disconnected(self.table, "agent-0", 1)
        self._send_heartbeats(self.names[1:], 1)
        self.assertNotIn("agent-0", self._list_candidates())
        record_connected(self.table, "agent-0", 1, 2)
        self._send_heartbeats([], 2)
        self.assertIn("agent-0", self._list_candidates())

    def test_host_is_leaving_as_soon_as_any_source_says_so(self) -> None:
        leaving = [_build_host(0, HostState.LEAVING), *self.hosts[1:]]
        sources = {
            "list": lambda: apply_host_list(self.table, leaving, SETTINGS, 1),
            "draining": lambda: record_heartbeat(self.table, "agent-0", 1, 1, draining=True),
            "goodbye": lambda: record_goodbye(self.table, "agent-0", 1),
            "records": lambda: apply_group_records(self.table, {"g": frozenset(self.names[1:])}),
        }
        for name, report_leaving in sources.items():
            with self.subTest(name):
                self.setUp()
                report_leaving()
                update_states(self.table, SETTINGS, 1)
                self.assertEqual(self._list_candidates(), self.names[1:])
                self.assertIs(self.table.members["agent-0"].state, MemberState.LEAVING)

    def test_candidate_floor_does_not_include_leaving_hosts(self) -> None:
        leaving = [_build_host(i, HostState.LEAVING) for i in range(8)]
        apply_host_list(self.table, [*leaving, self.hosts[8]], SETTINGS, 1)
        self._send_heartbeats([], 10 * REACTION_MS)
        self.assertEqual(self._list_candidates(), ["agent-8"])

    def test_new_incarnation_resets_the_state(self) -> None:
        record_heartbeat(self.table, "agent-0", 1, 1, draining=True)
        record_goodbye(self.table, "agent-0", 1)
        record_disconnected(self.table, "agent-0", 1)
        update_states(self.table, SETTINGS, 1)
        self.assertTrue(record_connected(self.table, "agent-0", 2, 2))
        update_states(self.table, SETTINGS, 2)
        self.assertIn("agent-0", self._list_candidates())

    def test_late_messages_of_old_incarnation_are_dropped(self) -> None:
        record_connected(self.table, "agent-0", 2, 1)
        self.assertFalse(record_heartbeat(self.table, "agent-0", 1, 2, draining=True))
        record_goodbye(self.table, "agent-0", 1)
        record_disconnected(self.table, "agent-0", 1)
        update_states(self.table, SETTINGS, 3)
        member = self.table.members["agent-0"]
        self.assertEqual((member.state, member.connected), (MemberState.LIVE, True))
        self.assertEqual(member.last_contact_ms, 1)

    def test_unlisted_host_is_gone_only_once_silent(self) -> None:
        apply_host_list(self.table, self.hosts[1:], SETTINGS, 1)
        self._send_heartbeats(self.names, 1)
        self.assertIn("agent-0", self._list_candidates())
        record_disconnected(self.table, "agent-0", 1)
        changes = self._send_heartbeats(self.names[1:], 2)
        self.assertEqual(changes, [StateChange("agent-0", MemberState.LIVE, MemberState.GONE)])
        self.assertNotIn("agent-0", self.table.members)

    def test_empty_or_short_list_does_not_remove_hosts_at_once(self) -> None:
        for listed in ([], self.hosts[:3]):
            with self.subTest(hosts=len(listed)):
                self.setUp()
                for name in self.names:
                    record_disconnected(self.table, name, 1)
                apply_host_list(self.table, listed, SETTINGS, 1)
                update_states(self.table, SETTINGS, 1)
                self.assertEqual(len(self.table.members), 9)
                apply_host_list(self.table, self.hosts, SETTINGS, 2)
                self.assertIsNone(self.table.incomplete_list_since_ms)

    def test_short_list_removes_hosts_once_it_lasts(self) -> None:
        for now_ms in range(1, 2 * SETTINGS.list_doubt_ms, SETTINGS.list_doubt_ms):
            apply_host_list(self.table, self.hosts[:3], SETTINGS, now_ms)
        self._send_heartbeats(self.names[:3], now_ms)
        self.assertEqual(sorted(self.table.members), self.names[:3])

    def test_incomplete_list_adds_hosts_and_marks_them_as_leaving(self) -> None:
        apply_host_list(
            self.table, [_build_host(0, HostState.LEAVING), _build_host(20)], SETTINGS, 1
        )
        update_states(self.table, SETTINGS, 1)
        self.assertNotIn("agent-0", self._list_candidates())
        self.assertIn("agent-20", self.table.hosts)
        self.assertIn("agent-5", self.table.hosts)

    def test_failed_failure_domain_leaves_the_others_as_candidates(self) -> None:
        domain = [host.name for host in self.hosts if host.failure_domain == "a"]
        for name in domain:
            record_disconnected(self.table, name, 1)
        update_states(self.table, SETTINGS, 1)
        self.assertEqual(self._list_candidates(), sorted(set(self.names) - set(domain)))

    def test_candidate_floor_holds_when_all_connections_break(self) -> None:
        self._send_heartbeats(self.names[4:], 500)
        for name in self.names:
            record_disconnected(self.table, name, 1)
        update_states(self.table, SETTINGS, 501)
        self.assertEqual(self._list_candidates(), self.names[4:])
        self._send_heartbeats([], 100_000)
        self.assertEqual(self._list_candidates(), self.names[4:])

    def test_restarted_hosts_become_candidates_as_they_reconnect(self) -> None:
        for name in self.names:
            record_goodbye(self.table, name, 1)
            record_disconnected(self.table, name, 1)
        update_states(self.table, SETTINGS, 1)
        self.assertEqual(self._list_candidates(), [])
        for count, name in enumerate(self.names, 1):
            record_connected(self.table, name, 2, 1_000)
            update_states(self.table, SETTINGS, 1_000)
            self.assertEqual(len(self._list_candidates()), count)

    def test_host_that_never_connects_is_suspected(self) -> None:
        apply_host_list(self.table, [*self.hosts, _build_host(20)], SETTINGS, 1)
        set_watched(self.table, [*self.names, "agent-20"], 1)
        self._send_heartbeats(self.names, 2)
        self.assertIn("agent-20", self._list_candidates())
        self._send_heartbeats(self.names, REACTION_MS + 2)
        self.assertNotIn("agent-20", self._list_candidates())

    def test_host_outside_the_subset_is_no_candidate_and_is_removed_once_disconnected(self) -> None:
        set_watched(self.table, self.names[1:], 1)
        update_states(self.table, SETTINGS, 1)
        self.assertEqual(self._list_candidates(), self.names[1:])
        self.assertIn("agent-0", self.table.members)
        record_disconnected(self.table, "agent-0", 1)
        update_states(self.table, SETTINGS, 2)
        self.assertNotIn("agent-0", self.table.members)

    def test_host_back_in_the_subset_is_a_candidate_again(self) -> None:
        set_watched(self.table, self.names[1:], 1)
        set_watched(self.table, self.names, 2)
        update_states(self.table, SETTINGS, 2)
        self.assertEqual(self._list_candidates(), self.names)

    def test_host_is_leaving_if_only_another_group_names_it(self) -> None:
        self.table.members["agent-0"].host = attrs.evolve(self.hosts[0], group="other")
        apply_group_records(self.table, {"g": frozenset(self.names)})
        update_states(self.table, SETTINGS, 1)
        self.assertIs(self.table.members["agent-0"].state, MemberState.LEAVING)


if __name__ == "__main__":
    unittest.main()
