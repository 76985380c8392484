"""One request on its way, over all its attempts."""

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
    """A request with what happened to it so far; times are in milliseconds."""

    request: RoutedRequest
    response_writer: ResponseWriter
    transcript: EngineTranscript
    progress: RequestProgress
    arrived_ms: int
    arrived_wall_ms: int
    stream_metrics: StreamMetrics
    tried: set[str] = attrs.Factory(set)


def build_attempt(
    state: RequestState, resume: ResumePoint | None, struck: tuple[str, ...], *, isolated: bool
) -> Attempt:
    """
    Describe the next attempt to an agent.

    :param journey: the request so far
    :param resume: what was generated already, if any
    :param struck: agents whose backend server crashed with this body
    :param isolated: whether the agent must run it apart from other struck bodies
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
        key=request.key,
        headers=request.headers,
        arrived_wall_ms=state.arrived_wall_ms,
        isolated=isolated,
        struck=",".join(struck),
    )


__all__ = ["RequestState", "build_attempt"]
