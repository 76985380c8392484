"""
Model of configuration pages with up to three writers, lost replies, stale reads and one node.

One page holds the fields `a` and `b`. Two writers set `a` to different values, a third sets `b`.
A request may take effect at any later time, its reply may be lost, a read may return any earlier
page, and a writer may give up at any time and run again. The page keeps the identifier of its last
write only and the record a history of two writes, so a writer that looks for its own write has to
allow for identifiers that were dropped. A run after an "unknown" result may report "not accepted"
only if the history proves it.

Invariants: a page's revision never decreases at a node; no writer overwrites an accepted field that
it has not read; each write takes effect at most once; each result reported to a writer is true.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

WRITTEN_FIELDS = ({"a": 1}, {"b": 1}, {"a": 2})
PAGE_WRITE_IDS = 1
RECORD_HISTORY_LENGTH = 2
MAX_REVISION = 4


class Mutation(Enum):
    """A rule that a mutated protocol leaves out."""

    NODE_APPLIES_ANY_REVISION = "the node applies pages without comparing revisions"
    PUT_WITHOUT_EXPECTED_REVISION = "the store is written without the expected revision"
    RETRY_WITH_OLD_PAGE = (
        "after a conflict the page of the first read is sent with the new revision"
    )
    MERGE_WITHOUT_BASE = "a writer's fields are merged into the page without comparing its base"
    LOST_REPLY_IS_NOT_ACCEPTED = "a lost reply is reported as not accepted"
    DROPPED_ID_IS_NOT_ACCEPTED = (
        "a write whose identifier is not listed is reported as not accepted"
    )
    RERUN_IGNORES_EARLIER_RUN = "a rerun that gives up reports that nothing was written"
    STALE_READ_SETTLES_WRITE = "a read older than the request decides its outcome"


class WriterResult(Enum):
    """Result of one run, as reported to the writer."""

    NONE = "none"
    ACCEPTED = "accepted"
    REFUSED = "refused"  # after a conflict, or because nothing was written
    UNKNOWN = "unknown"


class Page(NamedTuple):
    """The page at one revision."""

    a: int = 0
    b: int = 0
    write_ids: tuple[int, ...] = ()
    writer: int = -1


class Request(NamedTuple):
    """A compare-and-swap in flight; its content is based on the page of revision `source`."""

    writer: int
    expected: int
    source: int


class Writer(NamedTuple):
    """One run of the command, or a rerun after an unknown result."""

    base: int = -1
    pending_request: Request | None = None
    reply: str = ""
    unanswered_revision: int = -1  # expected revision of the first request without a reply
    first_read: int = -1
    result: WriterResult = WriterResult.NONE
    reruns: int = 1
    is_rerun: bool = False


class State(NamedTuple):
    """State of the store, the network, the writers and the node."""

    pages: tuple[Page, ...] = (Page(),)
    requests: frozenset[Request] = frozenset()
    writers: tuple[Writer, ...] = (Writer(), Writer(), Writer())
    node_revision: int = 0
    reverted: bool = False
    overwritten: bool = False
    repeated: bool = False


Step = tuple[str, State]


def build(
    mutation: Mutation | None = None, reruns: tuple[int, ...] = (1, 0, 0), *, node: bool = False
) -> Protocol:
    """
    Build the specification.

    :param mutation: the rule that is left out, None for the correct protocol
    :param reruns: maximum number of reruns of each writer; its length is the number of writers
    :param node: whether a node reads the page
    :return: the model for the checker
    """
    found: list[State] = []  # the search of a mutation ends at its first violation

    def transitions(fields: tuple[object, ...]) -> list[Step]:
        if found:
            return []
        steps = list(_steps(State(*fields), mutation))  # type: ignore[arg-type]
        found.extend(after for _, after in steps if _is_violation(after))
        return steps

    return Protocol(
        name="config_pages",
        candidate=False,
        fields=State._fields,
        initial=State(
            writers=tuple(Writer(reruns=count) for count in reruns), node_revision=0 if node else -1
        ),
        transitions=transitions,
        invariants={
            "never_reverts": lambda d: not d["reverted"],
            "accepted_is_not_overwritten": lambda d: not d["overwritten"],
            "takes_effect_once": lambda d: not d["repeated"],
            "results_are_true": lambda d: _results_are_true(d["pages"], d["writers"]),
        },
    )


def _is_violation(state: State) -> bool:
    flagged = state.reverted or state.overwritten or state.repeated
    return flagged or not _results_are_true(state.pages, state.writers)


def _results_are_true(pages: tuple[Page, ...], writers: tuple[Writer, ...]) -> bool:
    effective = {page.writer for page in pages}
    return all(
        writer.result in (WriterResult.NONE, WriterResult.UNKNOWN)
        or (writer.result is WriterResult.ACCEPTED) == (index in effective)
        for index, writer in enumerate(writers)
    )


def _steps(state: State, mutation: Mutation | None) -> Iterator[Step]:
    yield from _node_steps(state, mutation)
    yield from _request_steps(state, mutation)
    for index, writer in enumerate(state.writers):
        if writer.result is WriterResult.UNKNOWN and writer.reruns:
            again = Writer(base=writer.base, reruns=writer.reruns - 1, is_rerun=True)
            yield f"rerun {index}", _replace_writer(state, index, again)
        if writer.result is not WriterResult.NONE:
            continue
        if writer.pending_request is None:
            yield from _read_steps(state, index, writer, mutation)
        else:
            yield from _reply_steps(state, index, writer, mutation)
        if writer.base >= 0 and writer.pending_request is None:
            yield f"give up {index}", _finish_run(
                state, index, _result_without_effect(writer, mutation)
            )


def _node_steps(state: State, mutation: Mutation | None) -> Iterator[Step]:
    if state.node_revision < 0:
        return
    for revision in range(len(state.pages)):  # received by a read, a watch or from a peer
        if revision > state.node_revision:
            yield f"node applies {revision}", state._replace(node_revision=revision)
        elif revision < state.node_revision and mutation is Mutation.NODE_APPLIES_ANY_REVISION:
            yield f"node applies {revision}", state._replace(node_revision=revision, reverted=True)


def _request_steps(state: State, mutation: Mutation | None) -> Iterator[Step]:
    current = len(state.pages) - 1
    for request in state.requests:
        if current >= MAX_REVISION:
            continue
        after = _apply_request(state._replace(requests=state.requests - {request}), request)
        after = _set_reply(after, request, "done")
        if mutation is not Mutation.PUT_WITHOUT_EXPECTED_REVISION:
            for other in after.requests:  # their expected revision can no longer be current
                after = _set_reply(after, other, "conflict")
            after = after._replace(requests=frozenset())
        yield f"request of {request.writer} takes effect", after


def _set_reply(state: State, request: Request, reply: str) -> State:
    writer = state.writers[request.writer]
    if writer.pending_request != request:
        return state
    return _replace_writer(state, request.writer, writer._replace(reply=reply))


def _apply_request(state: State, request: Request) -> State:
    source, current = state.pages[request.source], state.pages[-1]
    wanted = WRITTEN_FIELDS[request.writer]
    base = state.pages[state.writers[request.writer].base]
    page = source._replace(
        **wanted,
        write_ids=(*source.write_ids, request.writer)[-PAGE_WRITE_IDS:],
        writer=request.writer,
    )
    overwritten = any(
        getattr(page, name) != getattr(current, name)
        and (name not in wanted or getattr(base, name) != getattr(current, name))
        for name in ("a", "b")
    )
    repeated = any(each.writer == request.writer for each in state.pages)
    return state._replace(
        pages=(*state.pages, page),
        overwritten=state.overwritten or overwritten,
        repeated=state.repeated or repeated,
    )


def _read_steps(
    state: State, index: int, writer: Writer, mutation: Mutation | None
) -> Iterator[Step]:
    for revision in range(len(state.pages)):
        with_base = writer._replace(base=revision) if writer.base < 0 else writer
        if with_base.base > revision:
            continue  # older than the base, the writer reads again
        yield f"{index} reads {revision}", _after_read(state, index, with_base, revision, mutation)


def _after_read(
    state: State, index: int, writer: Writer, revision: int, mutation: Mutation | None
) -> State:
    reaches_base = revision - writer.base <= RECORD_HISTORY_LENGTH
    history = state.pages[max(writer.base, revision - RECORD_HISTORY_LENGTH) + 1 : revision + 1]
    if index in state.pages[revision].write_ids or index in [page.writer for page in history]:
        return _finish_run(state, index, WriterResult.ACCEPTED, writer)
    if (
        writer.unanswered_revision >= 0
        and revision < writer.unanswered_revision
        and mutation is Mutation.STALE_READ_SETTLES_WRITE
    ):
        return _finish_run(state, index, WriterResult.REFUSED, writer)
    if writer.unanswered_revision >= 0 and revision < writer.unanswered_revision:
        return _replace_writer(state, index, writer)
    if writer.unanswered_revision >= 0 and revision > writer.unanswered_revision:
        dropped = revision - writer.unanswered_revision > PAGE_WRITE_IDS and not reaches_base
        if dropped and mutation is not Mutation.DROPPED_ID_IS_NOT_ACCEPTED:
            return _finish_run(state, index, WriterResult.UNKNOWN, writer)
        writer = writer._replace(unanswered_revision=-1)
    if not reaches_base and mutation not in (
        Mutation.DROPPED_ID_IS_NOT_ACCEPTED,
        Mutation.MERGE_WITHOUT_BASE,
    ):
        return _finish_run(state, index, _result_without_effect(writer, mutation), writer)
    return _after_merge(state, index, writer, revision, mutation)


def _after_merge(
    state: State, index: int, writer: Writer, revision: int, mutation: Mutation | None
) -> State:
    page, base = state.pages[revision], state.pages[writer.base]
    changed = [name for name in WRITTEN_FIELDS[index] if getattr(page, name) != getattr(base, name)]
    if changed and mutation is not Mutation.MERGE_WITHOUT_BASE:
        return _finish_run(state, index, WriterResult.REFUSED, writer)
    source = revision
    if mutation is Mutation.RETRY_WITH_OLD_PAGE and writer.first_read >= 0:
        source = writer.first_read
    request = Request(index, revision, source)
    late = (
        revision < len(state.pages) - 1 and mutation is not Mutation.PUT_WITHOUT_EXPECTED_REVISION
    )
    first_read = source if mutation is Mutation.RETRY_WITH_OLD_PAGE else -1
    reply = "conflict" if late else ""
    sent = writer._replace(pending_request=request, reply=reply, first_read=first_read)
    after = _replace_writer(state, index, sent)
    return after if late else after._replace(requests=after.requests | {request})


def _reply_steps(
    state: State, index: int, writer: Writer, mutation: Mutation | None
) -> Iterator[Step]:
    assert writer.pending_request is not None
    if writer.reply == "done":
        yield f"{index} receives done", _finish_run(state, index, WriterResult.ACCEPTED)
    if writer.reply == "conflict":
        after_conflict = writer._replace(pending_request=None, reply="")
        yield f"{index} receives conflict", _replace_writer(state, index, after_conflict)
    if mutation is Mutation.LOST_REPLY_IS_NOT_ACCEPTED:
        yield f"{index} times out", _finish_run(state, index, WriterResult.REFUSED)
        return
    unanswered_revision = (
        writer.unanswered_revision
        if writer.unanswered_revision >= 0
        else writer.pending_request.expected
    )
    yield (
        f"{index} times out",
        _replace_writer(
            state,
            index,
            writer._replace(
                pending_request=None, reply="", unanswered_revision=unanswered_revision
            ),
        ),
    )


def _result_without_effect(writer: Writer, mutation: Mutation | None) -> WriterResult:
    earlier = writer.is_rerun and mutation is not Mutation.RERUN_IGNORES_EARLIER_RUN
    return (
        WriterResult.UNKNOWN if writer.unanswered_revision >= 0 or earlier else WriterResult.REFUSED
    )


def _finish_run(
    state: State, index: int, result: WriterResult, writer: Writer | None = None
) -> State:
    known = writer or state.writers[index]
    done = Writer(known.base, result=result, reruns=known.reruns)
    return _replace_writer(state, index, done)


def _replace_writer(state: State, index: int, writer: Writer) -> State:
    writers = (*state.writers[:index], writer, *state.writers[index + 1 :])
    return state._replace(writers=writers)


__all__ = ["WriterResult", "Mutation", "build"]
