"""The router's control node: keeps the table of agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.control.client import PeerEndpoint
from boragetiller.control.interfaces import (
    CrashReportHandler,
    GroupMembersGetter,
    ShardOwners,
    ShareLender,
)
from boragetiller.control.limit_shares import LimitShareExchange
from boragetiller.control.messages import Goodbye, Hello, Report, ShareGrant, ShareRequest
from boragetiller.control.node import MS_PER_S, ControlNode
from boragetiller.events import Event, log_event
from boragetiller.platform_clients.hosts import HostState
from boragetiller.settings import Role
from boragetiller.systems import membership
from boragetiller.systems.control_connections import choose_control_connections
from boragetiller.tables.agents import AgentEntry, LoadReport
from boragetiller.tables.members import MemberState, MemberTable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.clock import Clock
    from boragetiller.control.interfaces import (
        ConfigPages,
    )
    from boragetiller.metrics import Metrics
    from boragetiller.platform_clients.hosts import Host
    from boragetiller.settings import Settings
    from boragetiller.tables.agents import AgentTable
    from boragetiller.tables.members import Member

BEATS_PER_AGENT_REPORT = 4  # agents need little from routers
CHECKS_PER_BEAT = 4
NOT_NEEDED = "not_needed"


@attrs.frozen(kw_only=True)
class RouterDependencies:
    """Other parts of the router; each may be missing."""

    get_group_members: GroupMembersGetter | None = None
    shard_owners: ShardOwners | None = None
    crash_report_handler: CrashReportHandler | None = None
    share_lender: ShareLender | None = None


class RouterNode(ControlNode):
    """Dials the agents of the subset and a few routers."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        agents: AgentTable,
        config: ConfigPages,
        clock: Clock,
        metrics: Metrics,
        dependencies: RouterDependencies,
    ) -> None:
        """
        Prepare the node.

        :param settings: settings of the process
        :param incarnation: number of this start of the process
        :param agents: table that this node keeps
        :param config: configuration of this process
        :param clock: monotonic time
        :param metrics: counters
        :param ports: other parts of the router
        """
        super().__init__(
            settings, incarnation, config, clock, metrics, dependencies.crash_report_handler
        )
        self.members = MemberTable()
        self._agents = agents
        self._dependencies = dependencies
        self._process_settings = settings
        self._chosen_from: dict[str, Host] = {}
        self._beats = 0
        self._shares = None
        if dependencies.share_lender is not None:
            self._shares = LimitShareExchange(
                dependencies.share_lender, settings.control, self.exchange.send, clock, self._rng
            )

    async def start(self) -> None:
        """Listen, and begin to send heartbeats, announcements and to watch for silence."""
        await super().start()
        self._tasks.append(asyncio.create_task(self._run_checks()))

    def apply_host_list(self, hosts: Iterable[Host]) -> None:
        """
        Take a reading of the host list.

        :param hosts: every live and leaving host
        """
        now_ms = self._clock.now_ms()
        was_doubted = self.members.incomplete_list_since_ms is not None
        listed = [host for host in hosts if host.name != self._process_settings.name]
        membership.apply_host_list(self.members, listed, self._settings, now_ms)
        self._log_doubt(was_doubted, len(listed))
        if self.members.hosts != self._chosen_from:
            self._choose_connections(now_ms)
        self.update_membership()

    def update_membership(self) -> None:
        """Decide the state of every member anew and bring the table of agents in line."""
        if self._dependencies.get_group_members is not None:
            groups = self._dependencies.get_group_members()
            if groups:
                membership.apply_group_records(self.members, groups)
        changes = membership.update_states(self.members, self._settings, self._clock.now_ms())
        for change in changes:
            self._metrics.increment(f"control.member.{change.new.value}")
            log_event(
                Event.MEMBER_CHANGED,
                host=change.name,
                old=change.old.value,
                new=change.new.value,
            )
        self._update_agents()

    def handle_config_change(self) -> None:
        """Announce pages that came into force, and apply changed members of groups."""
        super().handle_config_change()
        self.update_membership()

    def count_live_routers(self) -> int:
        """:return: how many routers the host list shows as live, this one included"""
        hosts = self.members.hosts.values()
        return 1 + sum(
            host.role == Role.ROUTER.value and host.state is HostState.LIVE for host in hosts
        )

    def _choose_connections(self, now_ms: int) -> None:
        self._chosen_from = self.members.hosts
        known = list(self._chosen_from.values())
        wanted = choose_control_connections(known, self._process_settings)
        membership.set_watched(self.members, wanted, now_ms)
        self.exchange.set_peers(
            PeerEndpoint(host.name, host.address, host.control_port)
            for host in known
            if host.name in wanted and host.control_port
        )

    def _log_doubt(self, was_doubted: bool, listed: int) -> None:
        is_doubted = self.members.incomplete_list_since_ms is not None
        hosts = len(self.members.hosts)
        if is_doubted and not was_doubted:
            self._metrics.increment("control.host_list.doubted")
            log_event(Event.HOST_LIST_DOUBTED, hosts=hosts, listed=listed)
        elif was_doubted and not is_doubted:
            log_event(Event.HOST_LIST_BELIEVED, hosts=hosts)

    def _after_connected(self, peer: Hello) -> None:
        now_ms = self._clock.now_ms()
        if membership.record_connected(self.members, peer.name, peer.incarnation, now_ms):
            self.update_membership()

    def _after_lost(self, peer: Hello) -> None:
        membership.record_disconnected(self.members, peer.name, peer.incarnation)
        self.update_membership()

    def _take_goodbye(self, peer: Hello, message: Goodbye) -> None:
        if message.reason != NOT_NEEDED:
            membership.record_goodbye(self.members, peer.name, peer.incarnation)
            self.update_membership()

    def _take_report(self, peer: Hello, message: Report) -> None:
        member = self.members.members.get(peer.name)
        before = member.draining if member else False
        current = membership.record_heartbeat(
            self.members,
            peer.name,
            peer.incarnation,
            self._clock.now_ms(),
            draining=message.draining,
        )
        if not current or member is None:
            return
        if member.draining != before or not member.is_candidate():
            self.update_membership()
        self._take_load(peer, message)

    def _take_load(self, peer: Hello, message: Report) -> None:
        entry = self._agents.entries.get(peer.name)
        if entry is None:
            return
        entry.update_load(_load_of(message, self._clock.now_ms()))
        if message.owned_shards is not None and self._dependencies.shard_owners is not None:
            self._dependencies.shard_owners.update_shards(
                peer.name, entry.group, peer.incarnation, message.owned_shards
            )

    def _take_share_request(self, peer: Hello, message: ShareRequest) -> None:
        if self._shares is not None and peer.role is Role.ROUTER:
            self._shares.on_request(peer.name, message)

    def _take_share_grant(self, peer: Hello, message: ShareGrant) -> None:
        if self._shares is not None:
            self._shares.on_grant(peer.name, message)

    def _beat(self) -> None:
        self.update_membership()
        report = Report(pages_digest=self._pages.digest)
        routers = self._connected_routers()
        if self._beats % BEATS_PER_AGENT_REPORT == 0:
            self.exchange.broadcast(report)
        else:
            self.exchange.send_all(routers, report)
        self._beats += 1
        if self._shares is not None:
            self._shares.ask(routers)

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / CHECKS_PER_BEAT / MS_PER_S)
            if membership.has_overdue_heartbeat(self.members, self._settings, self._clock.now_ms()):
                self.update_membership()

    def _connected_routers(self) -> list[str]:
        return [
            name
            for name, member in self.members.members.items()
            if member.connected and member.host.role == Role.ROUTER.value
        ]

    def _update_agents(self) -> None:
        entries = self._agents.entries
        present = {
            name: member
            for name, member in self.members.members.items()
            if member.host.role == Role.AGENT.value
        }
        for name, member in present.items():
            entry = entries.get(name)
            if entry is None or _has_moved(entry, member):
                entry = entries[name] = _new_entry(member)
            _update_entry(entry, member)
        for name in [name for name in entries if name not in present]:
            self._retire(name, entries[name])

    def _retire(self, name: str, entry: AgentEntry) -> None:
        entry.leaving = True
        if entry.in_flight == 0:
            del self._agents.entries[name]
            if self._dependencies.shard_owners is not None:
                self._dependencies.shard_owners.remove_agent(name)


def _load_of(message: Report, now_ms: int) -> LoadReport:
    return LoadReport(
        received_ms=now_ms,
        running=message.running,
        max_running=max(1, message.max_running),
        queued=message.queued,
        service_ms=message.service_ms,
        first_token_ms=message.first_token_ms,
        between_tokens_ms=message.between_tokens_ms,
        protected_running=message.protected_running,
    )


def _update_entry(entry: AgentEntry, member: Member) -> None:
    entry.incarnation = member.incarnation
    entry.draining = member.draining
    entry.leaving = member.state is MemberState.LEAVING
    entry.suspected = member.state is MemberState.SUSPECTED and not member.kept_by_floor


def _has_moved(entry: AgentEntry, member: Member) -> bool:
    host = member.host
    return (entry.address, entry.data_port) != (host.address, host.data_port)


def _new_entry(member: Member) -> AgentEntry:
    host = member.host
    return AgentEntry(
        name=host.name,
        group=host.group,
        address=host.address,
        data_port=host.data_port,
        control_port=host.control_port,
        failure_domain=host.failure_domain,
        region=host.region,
        leaving=host.state is HostState.LEAVING,
    )


__all__ = ["RouterDependencies", "RouterNode"]
