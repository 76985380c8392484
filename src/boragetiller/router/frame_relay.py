"""Relay of an agent's frames to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.agent_protocol.frames import Frame, FrameKind, ResponseHead, parse_head
from boragetiller.errors import BackendFailed, BackendUnavailable
from boragetiller.router.engine_protocol import rewrite_resumed_chunk
from boragetiller.router.response_writers import EVENT_STREAM
from boragetiller.status_verdicts import implies_not_run

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.router.load_balancer import LoadBalancer
    from boragetiller.router.request_state import RequestState
    from boragetiller.tables.agents import AgentEntry

RETRY_AFTER_S = 1  # while the agents of a group take no work


class FrameRelay:
    """Relays the frames of attempts, and measures the pace of agents without that of callers."""

    def __init__(self, load_balancer: LoadBalancer, clock: Clock) -> None:
        """
        Create the relay of one process.

        :param load_balancer: learns the time between tokens of agents
        :param clock: monotonic clock
        """
        self._load_balancer = load_balancer
        self._clock = clock

    async def relay(
        self, state: RequestState, agent: AgentEntry, frames: list[Frame], tokens_before: int
    ) -> None:
        """
        Relay frames.

        :param state: state of the request
        :param agent: the agent that sent them
        :param frames: frames of the response in order
        :param tokens_before: tokens of earlier attempts, which the caller has
        :raises BoragetillerError: the response cannot be relayed
        """
        content = b"".join(frame.payload for frame in frames if frame.kind is FrameKind.DATA)
        if frames[0].kind is FrameKind.HEAD:
            await self._relay_head(state, parse_head(frames[0].payload))
        if tokens_before:
            content = rewrite_resumed_chunk(content, tokens_before)
        if not content:
            return
        if state.request.for_engine:
            state.transcript.append(content)
            self._record_tokens(state, agent, content)
        began_ms = self._clock.now_ms()
        await state.response_writer.write_data(content)
        state.stream_metrics.record_caller_wait(self._clock.now_ms() - began_ms)

    async def _relay_head(self, state: RequestState, head: ResponseHead) -> None:
        state.server_status = head.status
        if implies_not_run(head.status):
            raise BackendUnavailable(
                f"backend server responded with status {head.status}, "
                "which does not show that it did not run the request",
                retry_after_s=RETRY_AFTER_S if state.request.repeatable else None,
            )
        if state.response_writer.response_started and not head.content_type.startswith(
            EVENT_STREAM
        ):
            raise BackendFailed(
                f"engine responded to a resumed stream with status {head.status} and no events"
            )
        await state.response_writer.write_head(head)

    def _record_tokens(self, state: RequestState, agent: AgentEntry, content: bytes) -> None:
        gap_ms = state.stream_metrics.record_chunk(content, self._clock.now_ms())
        if gap_ms is not None:
            self._load_balancer.record_token_gap(agent, gap_ms)


__all__ = ["RETRY_AFTER_S", "FrameRelay"]
