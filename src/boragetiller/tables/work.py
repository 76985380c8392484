"""Requests that wait or run at an agent."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class WorkItem:
    """One attempt at the agent; times are monotonic milliseconds of the agent's clock."""

    request_id: str
    attempt: int
    customer: str
    class_name: str
    tier: int
    protected: bool = False
    preemptible: bool = False
    customer_weight: float = 1.0
    class_weight: float = 1.0
    prompt_tokens: int = 0
    first_token_target_ms: int = 680
    between_tokens_target_ms: int = 45
    fingerprint: str = ""
    arrived_ms: int = 0
    deadline_ms: int = 0
    started_ms: int | None = None
    first_token_ms: int | None = None
    last_token_ms: int | None = None
    tokens: int = 0


@attrs.define
class WorkTable:
    """Queued and running work by request id, in order of arrival."""

    queued: dict[str, WorkItem] = attrs.Factory(dict)
    running: dict[str, WorkItem] = attrs.Factory(dict)
    max_running: int = 1


__all__ = ["WorkItem", "WorkTable"]
