"""State of the model of a duty that two routers hold in turn, and its mutations."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

TTL = 2
DELIVERY = 1
WAIT = TTL + DELIVERY  # after a start or a restore
ERA_TOKENS = 100  # tokens of one era
NONE = -1
FORMER = 2  # added to the index of a router whose earlier process holds the lease
ROUTERS = (0, 1)


class Mutation(Enum):
    """A rule that a mutated protocol leaves out; the checker must find each."""

    NO_CHECK_AT_SEND = "the lease is checked when the duty is acquired, not when a call is sent"
    NO_SUSPENDED_TIME = "the clock of the lease stops while the host is suspended"
    COUNTED_FROM_ANSWER = "the lease is counted from the answer, not from the request"
    NO_DELIVERY_TIME = "the delivery time of a call is not subtracted"
    NO_LEASE_CONDITION = "the transaction does not require that no router holds the duty"
    NO_TOKEN_CONDITION = "the transaction does not require that the token is the one that was read"
    ACTS_WITHOUT_ANSWER = "an unanswered attempt counts as successful"
    TOKEN_WITHOUT_ERA = "tokens do not contain the era of the store"
    KEYS_WITHOUT_ERA = "a late transaction of an earlier era changes the keys of this era"
    NO_WAIT_IN_NEW_ERA = "a duty is acquired at once after a restore"
    NO_WAIT_AFTER_START = "a duty is acquired at once after a start"
    NO_WAIT_TO_RETURN = "a router acquires a duty at once that another one held since"


# Attempts that are dead in the protocol may be executed under these.
LATE_MUTATIONS = (Mutation.KEYS_WITHOUT_ERA, Mutation.NO_TOKEN_CONDITION)


class Attempt(NamedTuple):
    """A transaction that acquires the duty."""

    era: int
    version: int  # of the token key, as it was read
    token: int
    age: int = 0  # ticks since the lease was requested


class Router(NamedTuple):
    """One router."""

    era: int = 1  # newest known one
    era_age: int = WAIT  # ticks since that is known, or since the start
    attempt: Attempt | None = None  # sent, not answered yet
    granted: bool = False  # the store executed it
    late: Attempt | None = None  # given up by the router, but the store may still execute it
    token: int = 0  # of the held duty
    valid_left: int = 0
    left_age: int = TTL  # ticks since it last held the duty
    left_token: int = 0
    call: int = 0  # token of the call in flight
    call_age: int = 0


class State(NamedTuple):
    """State of the whole model."""

    era: int = 1
    tokens: tuple[int, ...] = ()  # values of the token key; their number is its version
    grants_left: int = 3
    restores_left: int = 0
    restarts_left: int = 0
    holder: int = NONE  # router whose lease the other key has
    lease_left: int = 0
    routers: tuple[Router, Router] = (Router(), Router())
    act_ages: tuple[int, int] = (TTL, TTL)  # ticks since the last call of each router arrived
    last_actor: int = NONE
    last_token: int = 0
    violation: str = ""


LOWER = "no lower token after a higher one"
SHARED = "no token of two routers"
RETURNED = "no return within the lease"


def put_router(state: State, index: int, router: Router) -> State:
    """:return: state with one router replaced"""
    routers = (router, state.routers[1]) if index == 0 else (state.routers[0], router)
    return state._replace(routers=routers)


__all__ = [
    "DELIVERY",
    "ERA_TOKENS",
    "FORMER",
    "LATE_MUTATIONS",
    "LOWER",
    "NONE",
    "RETURNED",
    "ROUTERS",
    "SHARED",
    "TTL",
    "WAIT",
    "Attempt",
    "Mutation",
    "Router",
    "State",
    "put_router",
]
