"""Requests queued and running at an agent."""

from __future__ import annotations

from collections import deque

import attrs

from boragetiller.tables.concurrency_limit import ConcurrencyLimit


@attrs.define(kw_only=True, eq=False)
class WorkItem:
    """An attempt of a request at the agent; times are monotonic milliseconds of its clock."""

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
    deadline_ms: int = 0  # latest useful start; 0 for none
    resumed_tokens: int = 0  # relayed by earlier attempts; a resumed request does not expire
    started_ms: int | None = None
    first_token_ms: int | None = None
    last_token_ms: int | None = None
    tokens: int = 0
    started_by_aging: bool = False  # started beyond the limit because its class waited too long
    preempting: bool = False  # preempted, but not finished yet

    def is_unprotected_nonpreemptible(self) -> bool:
        """:return: whether it keeps its slot once started, although it is not protected"""
        return not (self.protected or self.preemptible)

    def can_expire(self) -> bool:
        """:return: whether it is refused if it is still queued at its deadline"""
        return bool(self.deadline_ms) and not (self.protected or self.resumed_tokens)

    def due_ms(self) -> int:
        """:return: time at which its first token is due"""
        return self.arrived_ms + self.first_token_target_ms


@attrs.define(kw_only=True, eq=False)
class CustomerQueue:
    """Queued requests of one customer in one class, oldest first."""

    customer: str
    virtual_tokens: float = 0.0  # tokens charged, divided by the customer's weight
    items: deque[WorkItem] = attrs.Factory(deque)  # may include requests no longer queued
    in_order_heap: bool = False  # whether the order heap of the class has a valid entry for it
    count: int = 0
    running: int = 0


@attrs.define(kw_only=True, eq=False)
class ClassQueue:
    """Queued requests of one class."""

    name: str
    tier: int
    protected: bool
    virtual_tokens: float = 0.0  # tokens charged, divided by the weight of the class
    last_served_virtual_tokens: float = 0.0  # virtual tokens of the customer served last
    customers: dict[str, CustomerQueue] = attrs.Factory(dict)
    order_heap: list[tuple[int, int, int, CustomerQueue]] = attrs.Factory(list)
    overdue: deque[WorkItem] = attrs.Factory(deque)  # the first token would be late
    overdue_credit: float = 0.0  # an overdue request is started once this reaches 1
    customers_by_length: dict[int, dict[str, None]] = attrs.Factory(dict)  # length of their queue
    longest_length: int = 0  # of a customer's queue
    count: int = 0
    running: int = 0
    waiting_since_ms: int = 0


@attrs.define
class TierQueue:
    """Queues of the classes of one tier."""

    classes: dict[str, ClassQueue] = attrs.Factory(dict)
    last_served_virtual_tokens: float = 0.0  # virtual tokens of the class served last
    count: int = 0


@attrs.define
class WorkTable:
    """Queued and running requests by id; the queued ones are in order of arrival."""

    queued: dict[str, WorkItem] = attrs.Factory(dict)
    running: dict[str, WorkItem] = attrs.Factory(dict)
    max_running: int = 1
    tiers: dict[int, TierQueue] = attrs.Factory(dict)
    expiry_heap: list[tuple[int, int, WorkItem]] = attrs.Factory(list)  # by deadline
    limit: ConcurrencyLimit = attrs.Factory(ConcurrencyLimit)
    sequence: int = 0
    backlogged_classes: int = 0  # classes with queued requests
    preempting: int = 0  # running requests that were preempted, but have not finished yet
    service_ms: float = 0.0  # moving average of the time a request occupies a slot
    first_token_ms: float = 0.0  # moving average of the time from start to first token
    last_aging_start_ms: int | None = None
    aged_running: int = 0  # running requests that were started by aging
    protected_running: int = 0
    unprotected_nonpreemptible_running: int = 0
    last_protected_arrival_ms: int | None = None

    def next_sequence(self) -> int:
        """:return: a number that breaks ties between heap entries in order of arrival"""
        self.sequence += 1
        return self.sequence


__all__ = ["ClassQueue", "CustomerQueue", "TierQueue", "WorkItem", "WorkTable"]
