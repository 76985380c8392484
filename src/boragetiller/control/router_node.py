"""Control node of a router: tracks the members of the fleet and maintains the agent table."""

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

HEARTBEATS_PER_AGENT_REPORT = 4  # agents use only its page digest
CHECKS_PER_HEARTBEAT = 4
GOODBYE_NOT_NEEDED = "not_needed"


@attrs.frozen(kw_only=True)
class RouterDependencies:
    """Components of the router that its control node calls; each is optional."""

    get_group_members: GroupMembersGetter | None = None
    shard_owners: ShardOwners | None = None
    crash_report_handler: CrashReportHandler | None = None
    share_lender: ShareLender | None = None


class RouterNode(ControlNode):
    """Connects to the agents of the subset and to a few router peers."""

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
        Configure the node; `start` opens the port and begins to send.

        :param settings: settings of the process
        :param incarnation: number of this start of the process
        :param agents: table that this node maintains
        :param config: configuration pages of this process
        :param clock: monotonic time
        :param metrics: counters
        :param dependencies: other components of the router
        """
        super().__init__(
            settings, incarnation, config, clock, metrics, dependencies.crash_report_handler
        )
        self.members = MemberTable()
        self._agents = agents
        self._dependencies = dependencies
        self._process_settings = settings
        self._hosts_at_last_choice: dict[str, Host] = {}
        self._heartbeat_count = 0
        self._limit_shares = None
        if dependencies.share_lender is not None:
            self._limit_shares = LimitShareExchange(
                dependencies.share_lender, settings.control, self.exchange.send, clock, self._rng
            )

    async def start(self) -> None:
        """Start to listen, to send heartbeats and announcements, and to check for silent peers."""
        await super().start()
        self._tasks.append(asyncio.create_task(self._check_heartbeats()))

    def apply_host_list(self, hosts: Iterable[Host]) -> None:
        """
        Apply a poll of the host list.

        :param hosts: all live and leaving hosts
        """
        now_ms = self._clock.now_ms()
        was_incomplete = self.members.incomplete_list_since_ms is not None
        listed = [host for host in hosts if host.name != self._process_settings.name]
        membership.apply_host_list(self.members, listed, self._settings, now_ms)
        self._log_host_list_state(was_incomplete, len(listed))
        if self.members.hosts != self._hosts_at_last_choice:
            self._choose_connections(now_ms)
        self.update_membership()

    def update_membership(self) -> None:
        """Update the state of all members and the agent table."""
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
        """Announce the pages that were applied, and apply changes in the members of groups."""
        super().handle_config_change()
        self.update_membership()

    def count_live_routers(self) -> int:
        """:return: number of routers that are live in the host list, including this one"""
        hosts = self.members.hosts.values()
        return 1 + sum(
            host.role == Role.ROUTER.value and host.state is HostState.LIVE for host in hosts
        )

    def _choose_connections(self, now_ms: int) -> None:
        self._hosts_at_last_choice = self.members.hosts
        hosts = list(self._hosts_at_last_choice.values())
        wanted = choose_control_connections(hosts, self._process_settings)
        membership.set_watched(self.members, wanted, now_ms)
        self.exchange.set_peers(
            PeerEndpoint(host.name, host.address, host.control_port)
            for host in hosts
            if host.name in wanted and host.control_port
        )

    def _log_host_list_state(self, was_incomplete: bool, listed: int) -> None:
        is_incomplete = self.members.incomplete_list_since_ms is not None
        hosts = len(self.members.hosts)
        if is_incomplete and not was_incomplete:
            self._metrics.increment("control.host_list.doubted")
            log_event(Event.HOST_LIST_DOUBTED, hosts=hosts, listed=listed)
        elif was_incomplete and not is_incomplete:
            log_event(Event.HOST_LIST_BELIEVED, hosts=hosts)

    def _handle_connected(self, peer: Hello) -> None:
        now_ms = self._clock.now_ms()
        if membership.record_connected(self.members, peer.name, peer.incarnation, now_ms):
            self.update_membership()

    def _handle_disconnected(self, peer: Hello) -> None:
        membership.record_disconnected(self.members, peer.name, peer.incarnation)
        self.update_membership()

    def _handle_goodbye(self, peer: Hello, message: Goodbye) -> None:
        if message.reason != GOODBYE_NOT_NEEDED:
            membership.record_goodbye(self.members, peer.name, peer.incarnation)
            self.update_membership()

    def _handle_report(self, peer: Hello, message: Report) -> None:
        member = self.members.members.get(peer.name)
        was_draining = member.draining if member else False
        is_current = membership.record_heartbeat(
            self.members,
            peer.name,
            peer.incarnation,
            self._clock.now_ms(),
            draining=message.draining,
        )
        if not is_current or member is None:
            return
        if member.draining != was_draining or not member.is_candidate():
            self.update_membership()
        self._update_load(peer, message)

    def _update_load(self, peer: Hello, message: Report) -> None:
        entry = self._agents.entries.get(peer.name)
        if entry is None:
            return
        entry.update_load(_build_load_report(message, self._clock.now_ms()))
        if message.owned_shards is not None and self._dependencies.shard_owners is not None:
            self._dependencies.shard_owners.update_shards(
                peer.name, entry.group, peer.incarnation, message.owned_shards
            )

    def _handle_share_request(self, peer: Hello, message: ShareRequest) -> None:
        if self._limit_shares is not None and peer.role is Role.ROUTER:
            self._limit_shares.on_share_request(peer.name, message)

    def _handle_share_grant(self, peer: Hello, message: ShareGrant) -> None:
        if self._limit_shares is not None:
            self._limit_shares.on_share_grant(peer.name, message)

    def _send_heartbeats(self) -> None:
        self.update_membership()
        report = Report(pages_digest=self._page_relay.digest)
        routers = self._list_connected_routers()
        if self._heartbeat_count % HEARTBEATS_PER_AGENT_REPORT == 0:
            self.exchange.broadcast(report)
        else:
            self.exchange.send_all(routers, report)
        self._heartbeat_count += 1
        if self._limit_shares is not None:
            self._limit_shares.request_shares(routers)

    async def _check_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / CHECKS_PER_HEARTBEAT / MS_PER_S)
            if membership.has_overdue_heartbeat(self.members, self._settings, self._clock.now_ms()):
                self.update_membership()

    def _list_connected_routers(self) -> list[str]:
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
            if entry is None or _has_new_address(entry, member):
                entry = entries[name] = _build_entry(member)
            _update_entry(entry, member)
        for name in [name for name in entries if name not in present]:
            self._remove_agent(name, entries[name])

    def _remove_agent(self, name: str, entry: AgentEntry) -> None:
        entry.leaving = True
        if entry.in_flight == 0:
            del self._agents.entries[name]
            if self._dependencies.shard_owners is not None:
                self._dependencies.shard_owners.remove_agent(name)


def _build_load_report(message: Report, now_ms: int) -> LoadReport:
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


def _has_new_address(entry: AgentEntry, member: Member) -> bool:
    host = member.host
    return (entry.address, entry.data_port) != (host.address, host.data_port)


def _build_entry(member: Member) -> AgentEntry:
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
