"""Choice of the backend server of an attempt, from the state of this router."""

from __future__ import annotations

import copy
from collections.abc import Callable, Set
from random import Random
from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.choice_refusals import find_refusal
from boragetiller.systems.candidates import select_candidates
from boragetiller.systems.failure_history import exclude_failed_servers
from boragetiller.systems.output_lengths import estimate_output_tokens
from boragetiller.systems.overload.shared_part_copies import find_held_part
from boragetiller.systems.peer_loads import exclude_silent_peers
from boragetiller.systems.response_timeouts import compute_caller_event_timeout_ms
from boragetiller.systems.server_capacity import list_fitting
from boragetiller.systems.server_limits import (
    list_exhausted_servers,
    take_token,
)
from boragetiller.systems.server_placement import (
    compare_candidates,
    compute_stream_sensitivity,
    count_reserved_servers,
)
from boragetiller.tables.output_lengths import OutputLengths
from boragetiller.tables.server_groups import GroupServers
from boragetiller.tables.server_limits import ServerLimitTable
from boragetiller.tables.server_placement import (
    ComparedPlacements,
    Placement,
    PlacementCostModel,
    ServerPlacementRequest,
)
from boragetiller.tables.servers import BackendServer

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.call_state import CallState
    from boragetiller.gateway.choice_refusals import Refusal
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.gateway.state_sync import StateSync

Restriction = Callable[[list[BackendServer], GroupServers], list[BackendServer]]


@attrs.frozen
class ChoiceState:
    """State that a choice changes; a query uses a copy."""

    rng: Random
    limits: ServerLimitTable
    output_lengths: OutputLengths

    def copy(self) -> ChoiceState:
        """:return: a copy that shares nothing with this state"""
        return copy.deepcopy(self)


@attrs.frozen(kw_only=True)
class ServerChoice:
    """The chosen server, and the servers left at each step of the choice."""

    group: GroupServers  # those that accept new requests
    paused: Set[str]  # names of those that have asked for a pause
    exhausted: set[str]  # names of those whose limits leave no room now
    selected: list[BackendServer]  # candidates; see systems.candidates
    candidates: list[BackendServer]  # those that have not failed the request
    compared: ComparedPlacements
    request: ServerPlacementRequest
    costs: PlacementCostModel
    now_ms: int  # monotonic time of the choice

    @property
    def placement(self) -> Placement | None:
        """:return: the chosen server, None if no server has capacity"""
        return self.compared.best

    def list_fitting(self) -> list[Placement]:
        """:return: the compared placements with capacity and memory"""
        if self.request.prompt is None:
            return list(self.compared.placements)
        reserved_count = count_reserved_servers(self.group, self.costs)
        ranks = self.group.reservation_ranks
        return list_fitting(
            self.compared.placements,
            lambda server: ranks[server.name] < reserved_count,
            self.request,
            self.costs,
            self.now_ms,
        )


class ServerChooser:
    """Chooses servers for calls."""

    def __init__(
        self,
        settings: GatewaySettings,
        registry: BackendRegistry,
        state_sync: StateSync,
        clock: Clock,
        rng: Random,
    ) -> None:
        """
        Create the chooser of one process.

        :param settings: settings of the process
        :param registry: backend servers and route configuration
        :param state_sync: share of the routers whose load is known
        :param clock: monotonic clock
        :param rng: seeded random generator
        """
        self.state = ChoiceState(rng, registry.server_limits, registry.output_lengths)
        self._settings = settings
        self._registry = registry
        self._state_sync = state_sync
        self._clock = clock

    def choose(self, state: CallState) -> Placement | None:
        """
        Choose a server for the next attempt of a call, and count the attempt in its limit.

        :param state: the call with its attempts
        :return: the server with its estimates, None if no server has capacity
        """
        exclude_silent_peers(self._registry.peer_loads, self._clock.now_ms())
        placement = self.evaluate(state, self.state).placement
        if placement is not None:
            self.count_attempt(placement)
        return placement

    def count_attempt(self, placement: Placement) -> None:
        """:param placement: server whose limit an attempt is counted in"""
        take_token(self.state.limits, placement.server.name)

    def record_arrival(self, call: AdmittedCall, choice_state: ChoiceState) -> None:
        """
        Include a call in the typical output length of its route.

        :param call: the call
        :param choice_state: the state of the router, or a copy
        """
        output_tokens = estimate_output_tokens(call.metadata, call.group.engine)
        if output_tokens is not None:
            choice_state.output_lengths.record(call.route.name, output_tokens)

    def evaluate(
        self, state: CallState, choice_state: ChoiceState, restrict: Restriction | None = None
    ) -> ServerChoice:
        """
        Choose a server, and change nothing but the given state.

        :param state: the call with its attempts
        :param choice_state: the state of the router, or a copy
        :param restrict: narrows the candidates down, None for no restriction
        :return: the choice
        """
        urgency, now_ms = state.call.urgency, self._clock.now_ms()
        exhausted = list_exhausted_servers(choice_state.limits, urgency, now_ms)
        eligible = self._find_eligible(state)
        choice = self._compare(state, choice_state, eligible, exhausted, restrict)
        is_begin = state.software_version is None and len(eligible.servers) < len(
            choice.group.servers
        )
        if choice.placement is None and is_begin and restrict is None:
            # Better at a version that other routers may not know yet than nowhere.
            return self._compare(state, choice_state, choice.group, exhausted, None)
        return choice

    def _compare(
        self,
        state: CallState,
        choice_state: ChoiceState,
        eligible: GroupServers,
        exhausted: set[str],
        restrict: Restriction | None,
    ) -> ServerChoice:
        """Choose one of the servers at which a call may run as far as its version goes."""
        call = state.call
        servers = self._registry.servers
        group = servers.find_accepting(call.group.name)
        paused = self._registry.pauses.list_paused()
        is_bound = state.software_version is not None and len(eligible.servers) < len(group.servers)
        costs = self._registry.get_cost_model(call.group.name, self._state_sync.reporting_share)
        now_ms = self._clock.now_ms()
        engine = call.group.engine
        # The rules for overload apply to groups whose servers state how long work takes.
        is_timed = call.group.name in self._registry.servers.timed_groups
        placement_request = ServerPlacementRequest(
            prompt=call.metadata.prompt if engine else None,
            urgency=call.urgency,
            target_ms=max(1.0, call.route.target_ms),
            sensitivity=compute_stream_sensitivity(call.route.gap_target_ms, costs),
            failure_domain=self._settings.failure_domain,
            time_left_ms=call.time_left_ms(now_ms),
            caller_event_timeout_ms=compute_caller_event_timeout_ms(
                call.route.target_ms, call.route.gap_target_ms
            ),
            typical_output_tokens=choice_state.output_lengths.average(call.route.name),
            memory_tokens=engine.memory_tokens if engine and is_timed else 0,
            is_retry=state.progress.attempts > 0,
            was_refused=is_timed and state.progress.was_refused,
            # A part of the stream was written in vain if it does not go on.
            response_started=state.progress.relayed_events > 0 or is_bound,
        )
        selected = select_candidates(
            eligible,
            placement_request,
            state.tried_servers | exhausted | paused,
            choice_state.rng,
            now_ms,
        )
        if restrict is not None:
            selected = restrict(selected, group)
        candidates = exclude_failed_servers(
            selected, self._registry.failure_history, call.fingerprint, now_ms
        )
        prompt = placement_request.prompt
        if prompt is not None and is_timed:
            held_part = find_held_part(candidates, prompt, self._registry.part_uses, now_ms)
            placement_request = attrs.evolve(placement_request, held_part=held_part)
        return ServerChoice(
            group=group,
            paused=paused,
            exhausted=exhausted,
            selected=selected,
            candidates=candidates,
            compared=compare_candidates(group, candidates, placement_request, costs, now_ms),
            request=placement_request,
            costs=costs,
            now_ms=now_ms,
        )

    def find_refusal(self, state: CallState) -> Refusal:
        """
        Find why no server could be chosen for a call.

        :param state: the call with its attempts
        :return: reason and detail
        """
        return find_refusal(self._registry, state, self._clock.now_ms())

    def _find_eligible(self, state: CallState) -> GroupServers:
        """:return: servers of the version of a stream, or of versions at which one may begin"""
        call, servers = state.call, self._registry.servers
        versions = None
        if state.software_version is not None:
            versions = frozenset({state.software_version})
        elif call.route.resumable:
            versions = self._registry.group_versions.list_startable(call.group.name)
        return servers.find_accepting(call.group.name, versions)


__all__ = ["ChoiceState", "ServerChoice", "ServerChooser"]
