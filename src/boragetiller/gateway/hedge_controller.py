"""Hedged attempts within the operators' limits."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.gateway.hedge_race import HedgeRace
from boragetiller.gateway.hedging import PlacedResult
from boragetiller.systems.hedging.allowance import allows_hedge, record_hedge, record_request
from boragetiller.systems.hedging.decision import (
    PASSING_REFUSALS,
    compute_hedge_share,
    filter_hedge_candidates,
    find_refusal,
    has_enough_samples,
    list_check_intervals_ms,
)
from boragetiller.systems.peer_loads import exclude_silent_peers
from boragetiller.systems.response_timeouts import compute_hedge_delay_ms
from boragetiller.tables.hedging import HedgeAllowance, HedgeRefusal

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.call_state import CallState
    from boragetiller.gateway.call_telemetry import CallTelemetry
    from boragetiller.gateway.latency_exchange import LatencyExchange
    from boragetiller.gateway.outgoing_attempts import StreamState
    from boragetiller.gateway.sender import CallSender
    from boragetiller.gateway.server_choice import ServerChooser
    from boragetiller.tables.direct_attempts import DirectAttemptResult
    from boragetiller.tables.hedging import HedgingSettings
    from boragetiller.tables.server_groups import GroupServers
    from boragetiller.tables.server_placement import Placement
    from boragetiller.tables.servers import BackendServer


class HedgeController:
    """Sends calls, and hedges the slow ones."""

    def __init__(
        self,
        settings: HedgingSettings,
        registry: BackendRegistry,
        chooser: ServerChooser,
        sender: CallSender,
        latencies: LatencyExchange,
        telemetry: CallTelemetry,
        clock: Clock,
    ) -> None:
        """
        Create the controller of one process.

        :param settings: the operators' limits
        :param registry: retry budgets
        :param chooser: chooses the servers of hedged attempts
        :param sender: makes attempts
        :param latencies: recent response times of the routes
        :param telemetry: logs and counts
        :param clock: monotonic clock
        """
        self._settings = settings
        self._registry = registry
        self._chooser = chooser
        self._sender = sender
        self._latencies = latencies
        self._telemetry = telemetry
        self._clock = clock
        self._allowances: dict[str, HedgeAllowance] = {}  # by route

    def log_settings(self) -> None:
        """Log the limits in force."""
        log_event(
            Event.HEDGING_ENABLED,
            request_share=self._settings.default.request_share,
            prompt_token_share=self._settings.default.prompt_token_share,
            routes=sorted(self._settings.by_route),
        )

    async def send(self, state: CallState, placement: Placement) -> list[PlacedResult]:
        """
        Make an attempt at a server, hedged if it is slow and the limits allow it.

        :param state: the call with its attempts
        :param placement: the server
        :return: results of all attempts, the one to use last
        :raises CallerDisconnected: the caller closed its connection
        """
        share = self._count_request(state)
        if share <= 0.0 or state.progress.relayed_events:
            result = await self._sender.send(state.call, placement, state.progress, state.stream)
            return [PlacedResult(placement, result)]
        started_ms = self._clock.now_ms()
        race = HedgeRace(
            partial(self._send_one, state),
            state.stream,
            partial(self._record_response, state, started_ms),
        )
        route = state.call.route
        quantiles = self._latencies.compute_quantiles(route.name, share)
        delay_ms = compute_hedge_delay_ms(route.target_ms)
        if has_enough_samples(quantiles.samples, share):
            delay_ms = quantiles.hedge_ms
        try:
            race.start(placement)
            second: Placement | HedgeRefusal | None = None
            for wait_ms in list_check_intervals_ms(delay_ms):
                if await race.wait_for_response(wait_ms):
                    break
                second = self._choose_second(state, quantiles.median_ms)
                if second not in PASSING_REFUSALS:
                    break
            if second is None:
                return await race.finish()
            if isinstance(second, HedgeRefusal):
                self._telemetry.record_hedge_withheld(state.call, second)
                return await race.finish()
            race.start(second)
            hedged_after_ms = self._clock.now_ms() - started_ms
            results = await race.finish()
            winner = race.winner.placement if race.winner is not None else None
            self._telemetry.record_hedge_ended(
                state.call, placement, second, winner, hedged_after_ms
            )
            return results
        finally:
            await race.close()

    async def _send_one(
        self, state: CallState, placement: Placement, stream: StreamState | None
    ) -> DirectAttemptResult:
        return await self._sender.send(state.call, placement, state.progress, stream)

    def _count_request(self, state: CallState) -> float:
        """
        Count the first attempt of a call in the allowance of its route.

        :return: share of such calls that may be hedged, 0 if this one may not be
        """
        call = state.call
        shares = self._settings.get_shares(call.route.name)
        if state.progress.attempts == 0 and len(state.tried_servers) <= 1:
            allowance = self._allowances.setdefault(call.route.name, HedgeAllowance())
            record_request(allowance, shares, count_prompt_tokens(call), self._clock.now_ms())
        for_engine = call.group.engine is not None
        if not call.route.repeatable or (for_engine and call.metadata.prompt is None):
            return 0.0
        return compute_hedge_share(shares, for_engine=for_engine)

    def _record_response(self, state: CallState, started_ms: int) -> None:
        if state.progress.attempts == 0:
            took_ms = self._clock.now_ms() - started_ms
            self._latencies.record(state.call.route.name, took_ms)

    def _choose_second(self, state: CallState, usual_ms: float) -> Placement | HedgeRefusal:
        """Choose the server of the hedged attempt, and spend the limits if there is one."""
        call, progress, now_ms = state.call, state.progress, self._clock.now_ms()
        allowance = self._allowances[call.route.name]
        budget = self._registry.get_retry_budget(call.group.name)
        prompt_tokens = count_prompt_tokens(call)
        if len(progress.may_have_run_on) + 1 >= progress.max_servers:
            return HedgeRefusal.ATTEMPTS
        if not allows_hedge(allowance, prompt_tokens):
            return HedgeRefusal.SHARE
        if not budget.allows_hedge(now_ms):
            return HedgeRefusal.RETRY_BUDGET

        def restrict(selected: list[BackendServer], group: GroupServers) -> list[BackendServer]:
            return filter_hedge_candidates(selected, group.servers, now_ms)

        exclude_silent_peers(self._registry.peer_loads, now_ms)
        choice = self._chooser.evaluate(state, self._chooser.state, restrict)
        refusal = find_refusal(choice.compared, call.time_left_ms(now_ms), usual_ms)
        if refusal is not None:
            return refusal
        placement = choice.placement
        assert placement is not None
        self._chooser.count_attempt(placement)
        record_hedge(allowance, prompt_tokens)
        budget.record_hedge(now_ms)
        state.tried_servers.add(placement.server.name)
        self._telemetry.record_hedged(call, placement)
        self._telemetry.record_hedge_sent(call, prompt_tokens)
        return placement


def count_prompt_tokens(call: AdmittedCall) -> int:
    """
    Count the prompt tokens that a call costs an engine.

    :param call: the call
    :return: tokens, at most what an engine can hold, so that a caller's wrong figure earns no
        more; 0 for a plain service
    """
    if call.group.engine is None or call.metadata.prompt is None:
        return 0
    return min(call.metadata.prompt.input_tokens, call.group.engine.memory_tokens)


__all__ = ["HedgeController"]
