"""
Model of a duty that two routers hold in turn, with fencing tokens of a store that may be restored.

Each router may pause at any step, restart, and lose an answer of the store; the store may execute
an unanswered transaction later, also after a restore. Times are kept as remaining or elapsed ticks,
so a pause may be of any length. A call arrives within `DELIVERY` ticks after it was sent. The API
does not check tokens.

Invariants: no call arrives with a lower token after a higher one; no two routers use one token; no
router returns within `TTL` ticks after another one has acted. Bounds: numbers of acquisitions,
restores and restarts; together they would have too many states, so several models each have some.

    python -m spec.singleton_duties
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from minicheck import Protocol

from spec.checking import check_models
from spec.singleton_duties_state import (
    DELIVERY,
    ERA_TOKENS,
    FORMER,
    LATE_MUTATIONS,
    LOWER,
    NONE,
    RETURNED,
    ROUTERS,
    SHARED,
    TTL,
    WAIT,
    Attempt,
    Mutation,
    Router,
    State,
    put_router,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

BOUNDS = ({"grants": 3, "restores": 1}, {"grants": 3, "restarts": 1})


def duty_steps(state: State, mutation: Mutation | None = None) -> Iterator[tuple[str, State]]:
    """
    List the steps from a state.

    :param state: the state
    :param mutation: the rule that is left out, if any
    :return: label and next state of each step
    """
    if state.violation:
        return
    for label, after in _list_steps(state, mutation):
        yield label, after if mutation in LATE_MUTATIONS else _drop_dead_attempts(after)


def _drop_dead_attempts(state: State) -> State:
    """Drop attempts that the store cannot execute any more, so that fewer states differ."""
    first, second = (
        router._replace(
            attempt=router.attempt if router.granted else _keep_alive(state, router.attempt),
            late=_keep_alive(state, router.late),
            left_token=router.left_token if router.left_age < TTL else 0,
        )
        for router in state.routers
    )
    return state._replace(routers=(first, second))


def _keep_alive(state: State, attempt: Attempt | None) -> Attempt | None:
    if attempt is None or not state.grants_left or attempt.era < state.era:
        return None
    return attempt if attempt.version == len(state.tokens) and attempt.age < TTL else None


def _list_steps(state: State, mutation: Mutation | None) -> Iterator[tuple[str, State]]:
    if all(not router.call or router.call_age < DELIVERY for router in state.routers):
        yield "tick", _advance(state, frozen=NONE)
        if mutation is Mutation.NO_SUSPENDED_TIME:
            yield "tick while 0 is suspended", _advance(state, frozen=0)
    if state.restores_left:
        restored = state._replace(
            era=state.era + 1, restores_left=state.restores_left - 1, holder=NONE, lease_left=0
        )
        tokens = state.tokens if mutation is Mutation.KEYS_WITHOUT_ERA else ()
        for kept in range(len(tokens) + 1):
            yield f"restore {kept}", restored._replace(tokens=tokens[:kept])
    for index in ROUTERS:
        yield from _acquire_steps(state, index, mutation)
        yield from _hold_steps(state, index, mutation)


def _advance(state: State, frozen: int) -> State:
    left = max(0, state.lease_left - 1)
    first, second = (
        _advance_router(router, suspended=index == frozen)
        for index, router in enumerate(state.routers)
    )
    return state._replace(
        lease_left=left,
        holder=state.holder if left else NONE,
        routers=(first, second),
        act_ages=(min(TTL, state.act_ages[0] + 1), min(TTL, state.act_ages[1] + 1)),
    )


def _advance_router(router: Router, *, suspended: bool) -> Router:
    attempt = router.attempt
    left = router.valid_left if suspended else max(0, router.valid_left - 1)
    return router._replace(
        era_age=min(WAIT, router.era_age + 1),
        attempt=attempt and attempt._replace(age=min(TTL, attempt.age + 1)),
        valid_left=left,
        left_age=min(TTL, router.left_age + 1),
        call_age=router.call_age + 1 if router.call else 0,
    )


def _acquire_steps(
    state: State, index: int, mutation: Mutation | None
) -> Iterator[tuple[str, State]]:
    router = state.routers[index]
    if router.era < state.era:
        yield f"learn {index}", put_router(state, index, _learn(router, state.era, mutation))
    attempt = router.attempt
    if attempt is None:
        if _may_request(state, router, mutation):
            new = Attempt(state.era, len(state.tokens), _compute_token(state, mutation))
            yield f"request {index}", put_router(state, index, router._replace(attempt=new))
    else:
        if not router.granted:
            granted = _execute(state, index, attempt, mutation)
            if granted is not None:
                yield f"execute {index}", put_router(granted, index, router._replace(granted=True))
            else:
                yield f"deny {index}", put_router(state, index, router._replace(attempt=None))
        yield f"lose {index}", put_router(state, index, _lose_answer(router, attempt, mutation))
        if router.granted:
            yield f"answer {index}", put_router(
                state, index, _take(state, router, attempt, mutation)
            )
    if router.late is not None:
        executed = _execute(state, index, router.late, mutation)
        if executed is not None:
            yield f"late {index}", put_router(executed, index, router._replace(late=None))
    if state.holder == index and router.era == state.era and not router.token and attempt is None:
        adopted = router._replace(token=state.tokens[-1], valid_left=state.lease_left, late=None)
        yield f"adopt {index}", put_router(state, index, adopted)


def _may_request(state: State, router: Router, mutation: Mutation | None) -> bool:
    if router.token or router.era < state.era or router.era_age < WAIT:
        return False
    if state.holder != NONE and mutation is not Mutation.NO_LEASE_CONDITION:
        return False
    if mutation is Mutation.NO_WAIT_TO_RETURN or router.left_age >= TTL:
        return True
    return bool(state.tokens) and state.tokens[-1] == router.left_token


def _compute_token(state: State, mutation: Mutation | None) -> int:
    previous = state.tokens[-1] if state.tokens else 0
    era = 0 if mutation is Mutation.TOKEN_WITHOUT_ERA else state.era
    return max(previous, era * ERA_TOKENS) + 1


def _execute(state: State, index: int, attempt: Attempt, mutation: Mutation | None) -> State | None:
    """:return: state after the store executed a transaction, None if a condition fails"""
    if not state.grants_left or attempt.age >= TTL:
        return None
    if attempt.era != state.era and mutation is not Mutation.KEYS_WITHOUT_ERA:
        return None
    if state.holder != NONE and mutation is not Mutation.NO_LEASE_CONDITION:
        return None
    if attempt.version != len(state.tokens) and mutation is not Mutation.NO_TOKEN_CONDITION:
        return None
    return state._replace(
        tokens=(*state.tokens, attempt.token),
        grants_left=state.grants_left - 1,
        holder=index,
        lease_left=TTL - attempt.age,
    )


def _lose_answer(router: Router, attempt: Attempt, mutation: Mutation | None) -> Router:
    late = None if router.granted else attempt._replace(age=0)  # the lease is renewed meanwhile
    lost = router._replace(attempt=None, granted=False, late=late)
    if mutation is Mutation.ACTS_WITHOUT_ANSWER:
        return lost._replace(token=attempt.token, valid_left=TTL - attempt.age)
    return lost


def _take(state: State, router: Router, attempt: Attempt, mutation: Mutation | None) -> Router:
    after = router._replace(attempt=None, granted=False)
    if attempt.era != state.era:
        return _learn(after, state.era, mutation)
    left = TTL if mutation is Mutation.COUNTED_FROM_ANSWER else TTL - attempt.age
    return after._replace(token=attempt.token, valid_left=left)


def _learn(router: Router, era: int, mutation: Mutation | None) -> Router:
    """Learn of a new era; the duty is not held any more."""
    age = WAIT if mutation is Mutation.NO_WAIT_IN_NEW_ERA else 0
    return _leave(router)._replace(era=era, era_age=age)


def _leave(router: Router) -> Router:
    if not router.token:
        return router
    return router._replace(token=0, valid_left=0, left_age=0, left_token=router.token)


def _hold_steps(state: State, index: int, mutation: Mutation | None) -> Iterator[tuple[str, State]]:
    router = state.routers[index]
    if state.restarts_left and router != Router():
        age = WAIT if mutation is Mutation.NO_WAIT_AFTER_START else 0
        late = router.late or router.attempt if not router.granted else None
        new = Router(state.era, age, late=late, call=router.call, call_age=router.call_age)
        holder = index + FORMER if state.holder == index else state.holder
        yield f"restart {index}", put_router(state, index, new)._replace(
            holder=holder, restarts_left=state.restarts_left - 1
        )
    if router.token:
        if state.holder == index and router.era == state.era:
            renewed = put_router(state, index, router._replace(valid_left=TTL))
            yield f"renew {index}", renewed._replace(lease_left=TTL)
        if not router.call:
            if router.valid_left == 0:
                yield f"expire {index}", put_router(state, index, _leave(router))
            elif state.holder == index and router.era == state.era:
                freed = put_router(state, index, _leave(router))
                yield f"free {index}", freed._replace(holder=NONE, lease_left=0)
            if may_send(router, mutation):
                sent = router._replace(call=router.token, call_age=0)
                yield f"send {index}", put_router(state, index, sent)
    if router.call:
        yield f"arrive {index}", _arrive(state, index)


def may_send(router: Router, mutation: Mutation | None = None) -> bool:
    """:return: whether a router may send a call now"""
    if mutation is Mutation.NO_CHECK_AT_SEND:
        return True
    needed = 0 if mutation is Mutation.NO_DELIVERY_TIME else DELIVERY
    return router.valid_left > needed


def _arrive(state: State, index: int) -> State:
    router = state.routers[index]
    violation = ""
    if router.call < state.last_token:
        violation = LOWER
    elif state.last_actor not in (NONE, index):
        if router.call == state.last_token:
            violation = SHARED
        elif state.act_ages[index] < TTL:
            violation = RETURNED
    ages = (0, state.act_ages[1]) if index == 0 else (state.act_ages[0], 0)
    after = put_router(state, index, router._replace(call=0, call_age=0))
    return after._replace(
        act_ages=ages, last_actor=index, last_token=router.call, violation=violation
    )


def duty_model(
    mutation: Mutation | None = None, *, grants: int = 3, restores: int = 0, restarts: int = 0
) -> Protocol:
    """
    Build the model.

    :param mutation: the rule that is left out, if any
    :param grants: largest number of acquisitions
    :param restores: largest number of restores of the store
    :param restarts: largest number of restarts of routers
    :return: the model
    """
    return Protocol(
        name=f"singleton_duties-{grants}-{restores}-{restarts}",
        candidate=False,
        fields=State._fields,
        initial=State(grants_left=grants, restores_left=restores, restarts_left=restarts),
        transitions=lambda fields: list(duty_steps(State(*fields), mutation)),
        invariants={
            name: lambda d, name=name: d["violation"] != name for name in (LOWER, SHARED, RETURNED)
        },
    )


if __name__ == "__main__":
    sys.exit(check_models([duty_model(**bounds) for bounds in BOUNDS]))

__all__ = ["BOUNDS", "duty_model", "duty_steps", "may_send"]
