"""Read the load of backend groups for decisions on the number of their servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems.overload.committed_memory import count_own_tokens
from boragetiller.systems.peer_loads import exclude_silent_peers
from boragetiller.tables.server_targets import DomainLoad, ScalingConditions

if TYPE_CHECKING:
    from collections.abc import Collection

    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.heard_routers import HeardRouters
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.state_sync import StateSync
    from boragetiller.tables.routes import ScalingPolicy
    from boragetiller.tables.server_placement import PlacementCostModel
    from boragetiller.tables.servers import BackendServer

PREFILL_HORIZON_MS = 1_000  # a backlog of prompts so long counts as an engine in full use


class GroupLoads:
    """Loads of the servers as this router knows them: its own, those of peers and of responses."""

    def __init__(
        self,
        registry: BackendRegistry,
        state_sync: StateSync,
        heard_routers: HeardRouters,
        metrics: GatewayMetrics,
    ) -> None:
        """
        Create the reader.

        :param registry: backend servers and their loads
        :param state_sync: share of the routers that report, and whether the store is reachable
        :param heard_routers: the known routers
        :param metrics: late and refused requests by group
        """
        self._registry = registry
        self._state_sync = state_sync
        self._metrics = metrics
        self._heard_routers = heard_routers
        self._failures: dict[tuple[str, str], tuple[int, int]] = {}

    def get_policy(self, group: str) -> ScalingPolicy | None:
        """:return: limits of a group in the configuration in force, None if it is not scaled"""
        config = self._registry.config
        known = None if config is None else config.groups.get(group)
        return None if known is None else known.scaling

    def list_subjects(self) -> set[tuple[str, str]]:
        """:return: groups with scaling and the failure domains of their servers"""
        config = self._registry.config
        scaled = {
            group.name
            for group in (config.groups.values() if config is not None else ())
            if group.scaling is not None
        }
        return {
            (server.record.group, server.record.failure_domain)
            for server in self._registry.servers.by_name.values()
            if server.record.group in scaled
        }

    def is_store_reachable(self) -> bool:
        """:return: whether the last call to the store succeeded"""
        return self._state_sync.watcher_election.own_store_reachable

    def read(self, group: str, domain: str, now_ms: int) -> DomainLoad | None:
        """
        Read the load of a group in a failure domain.

        :param group: name of the backend group
        :param domain: failure domain
        :param now_ms: monotonic time in milliseconds
        :return: the load, with the requests that missed their target since the last call
        """
        load = self._read_servers(group, domain, now_ms)
        late, refused = self._read_failures(group)
        last_late, last_refused = self._failures.get((group, domain), (late, refused))
        self._failures[group, domain] = (late, refused)
        return DomainLoad(
            ready=load.ready,
            draining=self._count_draining(group, domain),
            warming=load.warming,
            ejected=load.ejected,
            slots=load.slots,
            memory=load.memory,
            prefill=load.prefill,
            late=late - last_late,
            refused=refused - last_refused,
            age_ms=load.age_ms,
        )

    def read_conditions(
        self, group: str, domain: str, away_ms: int | None, now_ms: int
    ) -> ScalingConditions:
        """
        Read what else allows or forbids fewer servers.

        :param group: name of the backend group
        :param domain: failure domain
        :param away_ms: time since the store or the API was last away, None for never
        :param now_ms: monotonic time in milliseconds
        :return: the conditions
        """
        others = {
            name
            for name in self._registry.servers.find_accepting(group).by_domain
            if name != domain
        }
        return ScalingConditions(
            is_partitioned=self._is_partitioned(),
            away_ms=away_ms,
            other_domains=tuple(
                self._read_servers(group, other, now_ms) for other in sorted(others)
            ),
        )

    def _is_partitioned(self) -> bool:
        is_silent = any(not peer.is_counted for peer in self._registry.peer_loads.by_peer.values())
        return is_silent or bool(self._heard_routers.view.lost)

    def _read_servers(self, group: str, domain: str, now_ms: int) -> DomainLoad:
        registry = self._registry
        exclude_silent_peers(registry.peer_loads, now_ms)
        costs = registry.get_cost_model(group, self._state_sync.reporting_share)
        servers = registry.servers.find_accepting(group).by_domain.get(domain, ())
        count = max(1, len(servers))
        slots = sum(server.record.slots for server in servers)
        requests = sum(_estimate_requests(server, costs, now_ms) for server in servers)
        backlog_ms = sum(_estimate_backlog_ms(server, costs) for server in servers)
        return DomainLoad(
            ready=len(servers),
            warming=sum(_is_warming(server, now_ms) for server in servers),
            ejected=sum(server.health.is_ejected(now_ms) for server in servers),
            slots=requests / max(1, slots),
            memory=self._read_memory(group, servers, costs, now_ms),
            prefill=backlog_ms / (count * PREFILL_HORIZON_MS),
            age_ms=registry.peer_loads.oldest_report_ms(now_ms),
        )

    def _read_memory(
        self,
        group: str,
        servers: Collection[BackendServer],
        costs: PlacementCostModel,
        now_ms: int,
    ) -> float:
        config = self._registry.config
        known = None if config is None else config.groups.get(group)
        if known is None or known.engine is None or not known.engine.memory_tokens:
            return 0.0
        tokens = sum(_estimate_committed_tokens(server, costs, now_ms) for server in servers)
        return tokens / (max(1, len(servers)) * known.engine.memory_tokens)

    def _count_draining(self, group: str, domain: str) -> int:
        records = (server.record for server in self._registry.servers.by_name.values())
        return sum(
            record.draining
            for record in records
            if (record.group, record.failure_domain) == (group, domain)
        )

    def _read_failures(self, group: str) -> tuple[int, int]:
        return self._metrics.late_calls[group], self._metrics.refused_calls[group]


def _estimate_requests(server: BackendServer, costs: PlacementCostModel, now_ms: int) -> float:
    peers = server.peer_load.in_flight / costs.reporting_share
    return server.in_flight + peers + server.estimate_unreported_requests(now_ms)


def _estimate_backlog_ms(server: BackendServer, costs: PlacementCostModel) -> float:
    peers = sum(server.peer_load.unread_tokens) / costs.reporting_share
    return (sum(server.unread_tokens) + peers) / costs.prefill_tokens_per_ms


def _estimate_committed_tokens(
    server: BackendServer, costs: PlacementCostModel, now_ms: int
) -> float:
    """Estimate as placement does: unreported requests count at the average of the known ones."""
    tokens = server.memory.tokens + server.peer_load.committed_tokens / costs.reporting_share
    requests = server.in_flight + server.peer_load.in_flight / costs.reporting_share
    unreported = server.estimate_unreported_requests(now_ms)
    shared = count_own_tokens(server.memory, now_ms) - server.memory.tokens
    return tokens + shared + (unreported * tokens / requests if requests else 0.0)


def _is_warming(server: BackendServer, now_ms: int) -> bool:
    return now_ms - server.joined_ms < server.record.warm_up_left_ms


__all__ = ["GroupLoads"]
