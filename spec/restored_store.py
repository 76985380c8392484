"""
Model of one entry of a store that is restored from older copies, as two routers see it.

The writer writes rising versions, and may write the newest one again after a restore. The store
may be copied and restored at any time; it then counts the same revisions again. A router reads the
store at any time, and receives what the other one knows: the newest item, and what it keeps in
force in its place. The routers are the product's own :class:`StoreView`.

Invariants: the version in force at a router never falls; a router that has read the writer's newest
version from the store has it in force.

    python -m spec.restored_store
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from boragetiller.store_eras import extend_revision
from boragetiller.tables.store_view import EntryVersion, StoredItem, StoreView
from spec.checking import check_models

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY = "entry"
MAX_VERSION = 3
MAX_ERA = 3
MAX_REVISION = 4
ROUTERS = (0, 1)


class Mutation(Enum):
    """A rule that a mutated protocol leaves out; the checker must find each."""

    REVISION_WITHOUT_ERA = "items are ordered by the store's own revision"
    ERA_WITHOUT_VERSION = "an item of a later era always comes into force"


class Stored(NamedTuple):
    """The store's state: version of the entry, its revision, and the store's revision."""

    version: int = 1
    item_revision: int = 1
    revision: int = 1


class Known(NamedTuple):
    """Items that a router knows."""

    newest: StoredItem | None = None
    retained: StoredItem | None = None


class State(NamedTuple):
    """State of the whole model."""

    era: int = 1
    stored: Stored = Stored()
    copy: Stored = Stored()
    written: int = 1
    routers: tuple[Known, Known] = (Known(), Known())
    fell: bool = False
    missed: bool = False


def build(mutation: Mutation | None = None) -> Protocol:
    """
    Build the specification.

    :param mutation: the rule that is left out, None for the correct protocol
    :return: the model for the checker
    """
    return Protocol(
        name="restored_store",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda fields: list(_steps(State(*fields), mutation)),
        invariants={
            "never_falls": lambda d: not d["fell"],
            "newest_is_in_force": lambda d: not d["missed"],
        },
    )


def _steps(state: State, mutation: Mutation | None) -> Iterator[tuple[str, State]]:
    if state.fell or state.missed:
        return
    stored = state.stored
    if stored.revision < MAX_REVISION:
        next_revision = stored.revision + 1
        if state.written < MAX_VERSION:
            version = state.written + 1
            after = Stored(version, next_revision, next_revision)
            yield "write", state._replace(stored=after, written=version)
        if stored.version < state.written:
            after = Stored(state.written, next_revision, next_revision)
            yield "write again", state._replace(stored=after)
        yield "other entry changes", state._replace(stored=stored._replace(revision=next_revision))
    if state.copy != stored:
        yield "copy", state._replace(copy=stored)
    if state.era < MAX_ERA:
        yield "restore", state._replace(stored=state.copy, era=state.era + 1)
    for router in ROUTERS:
        item = _build_item(state, mutation)
        after_read = _apply(state, router, (item,), mutation)
        missed = stored.version == state.written and (
            _get_version(after_read.routers[router]) != state.written
        )
        yield f"router {router} reads", after_read._replace(missed=missed)
        other = state.routers[1 - router]
        sent = tuple(item for item in other if item is not None)
        yield f"router {router} hears the other", _apply(state, router, sent, mutation)


def _build_item(state: State, mutation: Mutation | None) -> StoredItem:
    era = 1 if mutation is Mutation.REVISION_WITHOUT_ERA else state.era
    revision = extend_revision(era, state.stored.item_revision)
    return StoredItem(KEY, str(state.stored.version).encode(), revision)


def _apply(
    state: State, router: int, items: tuple[StoredItem, ...], mutation: Mutation | None
) -> State:
    known = state.routers[router]
    view = StoreView(_ignore_version if mutation is Mutation.ERA_WITHOUT_VERSION else _read_version)
    if known.newest is not None:
        view.items[KEY] = known.newest
    if known.retained is not None:
        view.retained[KEY] = known.retained
    view.apply(items)
    updated = Known(view.items.get(KEY), view.retained.get(KEY))
    routers = (updated, state.routers[1]) if router == 0 else (state.routers[0], updated)
    return state._replace(routers=routers, fell=_get_version(updated) < _get_version(known))


def _get_version(known: Known) -> int:
    item = known.retained or known.newest
    return 0 if item is None or item.value is None else int(item.value)


def _read_version(_key: str, value: bytes) -> EntryVersion | None:
    return EntryVersion(0, int(value))


def _ignore_version(_key: str, _value: bytes) -> EntryVersion | None:
    return None


if __name__ == "__main__":
    sys.exit(check_models([build()]))

__all__ = ["Mutation", "State", "build"]
