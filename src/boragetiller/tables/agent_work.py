"""Requests that wait or run at an agent."""

from __future__ import annotations

from collections import deque

import attrs

from boragetiller.tables.concurrency_limit import ConcurrencyLimit


@attrs.define(kw_only=True, eq=False)
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
    deadline_ms: int = 0  # a start after this is of no use; 0 for none
    resumed_tokens: int = 0  # relayed by earlier attempts; such work is not refused as late
    started_ms: int | None = None
    first_token_ms: int | None = None
    last_token_ms: int | None = None
    tokens: int = 0
    started_by_aging: bool = False  # started by the aging share
    preempting: bool = False  # told to stop, not yet finished

    def is_unprotected_nonpreemptible(self) -> bool:
        """:return: whether it holds its slot although it is not protected"""
        return not (self.protected or self.preemptible)

    def can_expire(self) -> bool:
        """:return: whether it is refused once its deadline has passed"""
        return bool(self.deadline_ms) and not (self.protected or self.resumed_tokens)

    def due_ms(self) -> int:
        """:return: when its first token is due"""
        return self.arrived_ms + self.first_token_target_ms


@attrs.define(kw_only=True, eq=False)
class CustomerQueue:
    """Waiting work of one customer in one class, oldest first."""

    customer: str
    virtual_tokens: float = 0.0  # tokens charged, divided by the customer's weight
    items: deque[WorkItem] = attrs.Factory(deque)  # may hold items that left the queue
    in_order_heap: bool = False  # whether the order of the class has an entry for it
    count: int = 0
    running: int = 0


@attrs.define(kw_only=True, eq=False)
class ClassQueue:
    """Waiting work of one class."""

    name: str
    tier: int
    protected: bool
    virtual_tokens: float = 0.0  # tokens charged, divided by the weight of the class
    last_served_virtual_tokens: float = 0.0  # virtual tokens of the customer served last
    customers: dict[str, CustomerQueue] = attrs.Factory(dict)
    order_heap: list[tuple[int, int, int, CustomerQueue]] = attrs.Factory(list)  # heap
    overdue: deque[WorkItem] = attrs.Factory(deque)  # the first token is overdue
    overdue_credit: float = 0.0
    customers_by_length: dict[int, dict[str, None]] = attrs.Factory(
        dict
    )  # customers by queue length
    longest_length: int = 0
    count: int = 0
    running: int = 0
    waiting_since_ms: int = 0


@attrs.define
class TierQueue:
    """Classes of one tier."""

    classes: dict[str, ClassQueue] = attrs.Factory(dict)
    last_served_virtual_tokens: float = 0.0  # virtual tokens of the class served last
    count: int = 0


@attrs.define
class WorkTable:
    """Queued and running work by request id, in order of arrival."""

    queued: dict[str, WorkItem] = attrs.Factory(dict)
    running: dict[str, WorkItem] = attrs.Factory(dict)
    max_running: int = 1
    tiers: dict[int, TierQueue] = attrs.Factory(dict)
    expiry_heap: list[tuple[int, int, WorkItem]] = attrs.Factory(list)  # heap by deadline
    limit: ConcurrencyLimit = attrs.Factory(ConcurrencyLimit)
    sequence: int = 0
    backlogged_classes: int = 0  # classes with queued work
    preempting: int = 0
    service_ms: float = 0.0  # mean time of one request in a slot
    first_token_ms: float = 0.0  # mean time from start to first token
    last_aging_start_ms: int | None = None  # last start by the aging share
    aged_running: int = 0
    protected_running: int = 0
    unprotected_nonpreemptible_running: int = 0  # unprotected and not preemptible
    last_protected_arrival_ms: int | None = None  # last arrival of protected work

    def next_sequence(self) -> int:
        """:return: a number that breaks ties in order of arrival"""
        self.sequence += 1
        return self.sequence


__all__ = ["ClassQueue", "CustomerQueue", "TierQueue", "WorkItem", "WorkTable"]
