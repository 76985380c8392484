"""State of one request over all its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.agent_protocol.attempt import Attempt
from boragetiller.router.engine_protocol import EngineTranscript
from boragetiller.router.request import RoutedRequest
from boragetiller.router.response_writers import ResponseWriter
from boragetiller.router.stream_metrics import StreamMetrics
from boragetiller.systems.agent_retry_policy import RequestProgress

if TYPE_CHECKING:
    from boragetiller.router.engine_protocol import ResumePoint


@attrs.define(kw_only=True)
class RequestState:
    """A request, the progress of its attempts and its response; times in milliseconds."""

    request: RoutedRequest
    response_writer: ResponseWriter
    transcript: EngineTranscript
    progress: RequestProgress
    arrived_ms: int
    arrived_wall_ms: int
    stream_metrics: StreamMetrics
    server_status: int | None = None  # of the last attempt's response, None without a response
    tried: set[str] = attrs.Factory(set)


def build_attempt(
    state: RequestState,
    resume: ResumePoint | None,
    crashed_servers: tuple[str, ...],
    *,
    isolated: bool,
) -> Attempt:
    """
    Build the description of the next attempt for the agent.

    :param state: state of the request
    :param resume: part of the response that was generated already, if any
    :param crashed_servers: agents whose backend server crashed while running this body
    :param isolated: whether the agent must run the body in isolation
    :return: the attempt
    """
    request = state.request
    request_class = request.request_class
    return Attempt(
        request_id=request.request_id,
        number=state.progress.attempts,
        method=request.method,
        path=request.path,
        content_type=request.content_type,
        customer=request.customer.name,
        class_name=request_class.name,
        group=request.group.name,
        tier=request_class.tier,
        protected=request_class.protected,
        repeatable=request.repeatable,
        resumable=state.progress.resumable,
        customer_weight=request.customer.weight,
        class_weight=request_class.weight,
        prompt_tokens=request.prompt_tokens,
        first_token_target_ms=request_class.first_token_target_ms,
        between_tokens_target_ms=request_class.between_tokens_target_ms,
        deadline_in_ms=max(0, request_class.deadline_ms - state.progress.elapsed_ms),
        fingerprint=request.fingerprint,
        resumed_tokens=resume.tokens if resume else 0,
        key=request.idempotency_key,
        headers=request.headers,
        arrived_wall_ms=state.arrived_wall_ms,
        isolated=isolated,
        struck=",".join(crashed_servers),
    )


__all__ = ["RequestState", "build_attempt"]
