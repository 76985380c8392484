"""Prompts that routers sent to engines, as they report them to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.gateway.peer_messages import CachedPrompt
from boragetiller.systems.overload.committed_memory import record_peer_parts
from boragetiller.systems.overload.shared_part_copies import record_use
from boragetiller.systems.prefix_cache import estimate_cache_tokens, record_prefill
from boragetiller.tables.recent_items import RecentItems

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.routes import EngineProfile
    from boragetiller.tables.server_placement import PlacementCostModel
    from boragetiller.tables.servers import BackendServer

MAX_RECENT_PROMPTS = 512  # enough for those sent in the 100 ms between two reports


class PromptReports:
    """Records what engines have in their prefix caches, from this router and from its peers."""

    def __init__(self, registry: BackendRegistry, costs: PlacementCostModel, clock: Clock) -> None:
        """
        Start without prompts.

        :param registry: backend servers and route configuration
        :param costs: default figures of the placement cost model
        :param clock: monotonic clock
        """
        self.recent: RecentItems[CachedPrompt] = RecentItems.with_capacity(MAX_RECENT_PROMPTS)
        self._registry = registry
        self._costs = costs
        self._clock = clock

    def record_own(self, server: BackendServer, prompt: Prompt, engine: EngineProfile) -> None:
        """
        Record a prompt that this router sent to an engine, also for the next report.

        :param server: the engine
        :param prompt: the prompt
        :param engine: engine profile of its group
        """
        self._record_prefill(server, prompt, engine)
        self.recent.add(CachedPrompt(server=server.name, prompt=prompt))

    def apply(self, prompt: CachedPrompt) -> None:
        """:param prompt: a prompt that a peer reports; of an unknown server it is left out"""
        server = self._registry.servers.by_name.get(prompt.server)
        if server is None or self._registry.config is None:
            return
        group = self._registry.config.groups.get(server.record.group)
        if group is not None and group.engine is not None:
            self._record_prefill(server, prompt.prompt, group.engine)
            record_peer_parts(server.memory, prompt.prompt, self._clock.now_ms())

    def _record_prefill(self, server: BackendServer, prompt: Prompt, engine: EngineProfile) -> None:
        cache_tokens = estimate_cache_tokens(engine)
        record_use(self._registry.part_uses, prompt, self._clock.now_ms())
        record_prefill(server, prompt, self._costs, cache_tokens, self._clock.now_ms())


__all__ = ["PromptReports"]
