"""Tests of membership: each sign, and the faults that must not empty the candidates."""

from __future__ import annotations

import unittest

import attrs

from boragetiller.platform.hosts import Host, HostState
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


def _host(index: int, state: HostState = HostState.LIVE) -> Host:
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
    """Nine agents in three failure domains, all heard at time 0."""

    def setUp(self) -> None:
        self.table = MemberTable()
        self.hosts = [_host(i) for i in range(9)]
        self.names = [host.name for host in self.hosts]
        apply_host_list(self.table, self.hosts, SETTINGS, 0)
        set_watched(self.table, self.names, 0)
        for name in self.names:
            record_connected(self.table, name, 1, 0)
        update_states(self.table, SETTINGS, 0)

    def _candidates(self) -> list[str]:
        return sorted(name for name, m in self.table.members.items() if m.is_candidate())

    def _beat(self, names: list[str], now_ms: int, incarnation: int = 1) -> list[StateChange]:
        for name in names:
            record_heartbeat(self.table, name, incarnation, now_ms)
        return update_states(self.table, SETTINGS, now_ms)

    def test_all_heard_are_live(self) -> None:
        self.assertEqual(self._candidates(), self.names)
        self.assertEqual(self._beat(self.names, 1_000), [])

    def test_silent_host_is_suspected_and_returns(self) -> None:
        self.assertFalse(has_overdue_heartbeat(self.table, SETTINGS, 2 * HEARTBEAT_MS))
        for now_ms in range(HEARTBEAT_MS, 4 * HEARTBEAT_MS, HEARTBEAT_MS):
            silent = has_overdue_heartbeat(self.table, SETTINGS, now_ms)
            changes = self._beat(self.names[1:], now_ms)
            self.assertEqual(silent, bool(changes))
        self.assertEqual(changes, [StateChange("agent-0", MemberState.LIVE, MemberState.SUSPECTED)])
        self.assertEqual(self._candidates(), self.names[1:])
        self._beat(self.names, 4 * HEARTBEAT_MS)
        self.assertEqual(self._candidates(), self.names)

    def test_lost_connection_is_suspected_at_once(self) -> None:
        record_disconnected(self.table, "agent-0", 1)
        self._beat(self.names[1:], 1)
        self.assertNotIn("agent-0", self._candidates())
        record_connected(self.table, "agent-0", 1, 2)
        self._beat([], 2)
        self.assertIn("agent-0", self._candidates())

    def test_each_sign_of_leaving_stops_new_work_at_once(self) -> None:
        leaving = [_host(0, HostState.LEAVING), *self.hosts[1:]]
        signs = {
            "list": lambda: apply_host_list(self.table, leaving, SETTINGS, 1),
            "draining": lambda: record_heartbeat(self.table, "agent-0", 1, 1, draining=True),
            "goodbye": lambda: record_goodbye(self.table, "agent-0", 1),
            "records": lambda: apply_group_records(self.table, {"g": frozenset(self.names[1:])}),
        }
        for name, give_sign in signs.items():
            with self.subTest(name):
                self.setUp()
                give_sign()
                update_states(self.table, SETTINGS, 1)
                self.assertEqual(self._candidates(), self.names[1:])
                self.assertIs(self.table.members["agent-0"].state, MemberState.LEAVING)

    def test_floor_never_brings_back_leaving_hosts(self) -> None:
        leaving = [_host(i, HostState.LEAVING) for i in range(8)]
        apply_host_list(self.table, [*leaving, self.hosts[8]], SETTINGS, 1)
        self._beat([], 10 * REACTION_MS)
        self.assertEqual(self._candidates(), ["agent-8"])

    def test_new_incarnation_counts_anew(self) -> None:
        record_heartbeat(self.table, "agent-0", 1, 1, draining=True)
        record_goodbye(self.table, "agent-0", 1)
        record_disconnected(self.table, "agent-0", 1)
        update_states(self.table, SETTINGS, 1)
        self.assertTrue(record_connected(self.table, "agent-0", 2, 2))
        update_states(self.table, SETTINGS, 2)
        self.assertIn("agent-0", self._candidates())

    def test_late_messages_of_old_incarnation_are_dropped(self) -> None:
        record_connected(self.table, "agent-0", 2, 1)
        self.assertFalse(record_heartbeat(self.table, "agent-0", 1, 2, draining=True))
        record_goodbye(self.table, "agent-0", 1)
        record_disconnected(self.table, "agent-0", 1)
        update_states(self.table, SETTINGS, 3)
        member = self.table.members["agent-0"]
        self.assertEqual((member.state, member.connected), (MemberState.LIVE, True))
        self.assertEqual(member.last_contact_ms, 1)

    def test_absent_host_stays_while_heard_and_goes_when_silent(self) -> None:
        apply_host_list(self.table, self.hosts[1:], SETTINGS, 1)
        self._beat(self.names, 1)
        self.assertIn("agent-0", self._candidates())
        record_disconnected(self.table, "agent-0", 1)
        changes = self._beat(self.names[1:], 2)
        self.assertEqual(changes, [StateChange("agent-0", MemberState.LIVE, MemberState.GONE)])
        self.assertNotIn("agent-0", self.table.members)

    def test_empty_or_short_list_is_not_believed_at_once(self) -> None:
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

    def test_short_list_that_lasts_is_believed(self) -> None:
        for now_ms in range(1, 2 * SETTINGS.list_doubt_ms, SETTINGS.list_doubt_ms):
            apply_host_list(self.table, self.hosts[:3], SETTINGS, now_ms)
        self._beat(self.names[:3], now_ms)
        self.assertEqual(sorted(self.table.members), self.names[:3])

    def test_doubted_list_still_adds_hosts_and_marks_leaving(self) -> None:
        apply_host_list(self.table, [_host(0, HostState.LEAVING), _host(20)], SETTINGS, 1)
        update_states(self.table, SETTINGS, 1)
        self.assertNotIn("agent-0", self._candidates())
        self.assertIn("agent-20", self.table.hosts)
        self.assertIn("agent-5", self.table.hosts)

    def test_lost_failure_domain_leaves_the_others(self) -> None:
        domain = [host.name for host in self.hosts if host.failure_domain == "a"]
        for name in domain:
            record_disconnected(self.table, name, 1)
        update_states(self.table, SETTINGS, 1)
        self.assertEqual(self._candidates(), sorted(set(self.names) - set(domain)))

    def test_losing_every_connection_keeps_the_floor(self) -> None:
        self._beat(self.names[4:], 500)
        for name in self.names:
            record_disconnected(self.table, name, 1)
        update_states(self.table, SETTINGS, 501)
        self.assertEqual(self._candidates(), self.names[4:])
        self._beat([], 100_000)
        self.assertEqual(self._candidates(), self.names[4:])

    def test_mass_restart_comes_back_as_hosts_reconnect(self) -> None:
        for name in self.names:
            record_goodbye(self.table, name, 1)
            record_disconnected(self.table, name, 1)
        update_states(self.table, SETTINGS, 1)
        self.assertEqual(self._candidates(), [])
        for count, name in enumerate(self.names, 1):
            record_connected(self.table, name, 2, 1_000)
            update_states(self.table, SETTINGS, 1_000)
            self.assertEqual(len(self._candidates()), count)

    def test_host_that_never_answers_is_suspected(self) -> None:
        apply_host_list(self.table, [*self.hosts, _host(20)], SETTINGS, 1)
        set_watched(self.table, [*self.names, "agent-20"], 1)
        self._beat(self.names, 2)
        self.assertIn("agent-20", self._candidates())
        self._beat(self.names, REACTION_MS + 2)
        self.assertNotIn("agent-20", self._candidates())

    def test_host_outside_the_subset_gets_nothing_and_goes_once_disconnected(self) -> None:
        set_watched(self.table, self.names[1:], 1)
        update_states(self.table, SETTINGS, 1)
        self.assertEqual(self._candidates(), self.names[1:])
        self.assertIn("agent-0", self.table.members)
        record_disconnected(self.table, "agent-0", 1)
        update_states(self.table, SETTINGS, 2)
        self.assertNotIn("agent-0", self.table.members)

    def test_host_back_in_the_subset_is_used_again(self) -> None:
        set_watched(self.table, self.names[1:], 1)
        set_watched(self.table, self.names, 2)
        update_states(self.table, SETTINGS, 2)
        self.assertEqual(self._candidates(), self.names)

    def test_records_of_another_group_do_not_keep_a_host(self) -> None:
        self.table.members["agent-0"].host = attrs.evolve(self.hosts[0], group="other")
        apply_group_records(self.table, {"g": frozenset(self.names)})
        update_states(self.table, SETTINGS, 1)
        self.assertIs(self.table.members["agent-0"].state, MemberState.LEAVING)


if __name__ == "__main__":
    unittest.main()
