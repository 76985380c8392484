"""Configuration pages: three writers with lost replies and stale reads, and a node that follows.

One page holds fields `a` and `b`. Two writers give `a` different values, a third gives `b` one.
A request may take effect at any later time, its reply may be lost, a read may return any earlier
page, and a writer may give up at any time and run again. The page keeps the identifiers of its
last write only and the record a history of two writes, so that a settlement must reckon with
dropped ones. A run that follows an honest unknown may say "not accepted" only where the history
shows it.

Invariants: a page never moves back at a node; no accepted field is overwritten by a writer that had
not seen it; each write takes effect at most once; each answer to a writer is true.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

WANTED = ({"a": 1}, {"b": 1}, {"a": 2})
KEPT_IDENTIFIERS = 1
KEPT_HISTORY = 2
MAX_REVISION = 4


class Mutation(Enum):
    """A rule that a seeded variant leaves out."""

    NODE_TAKES_ANY_REVISION = "the node takes pages without comparing revisions"
    PUT_WITHOUT_EXPECTED = "the store is written without the expected revision"
    OLD_PAGE_SENT_AGAIN = "after a conflict the page read first is sent with the new revision"
    NO_BASE = "a writer's fields are laid over the page without its base"
    LOST_IS_NOT_ACCEPTED = "a lost reply is answered with not accepted"
    DROPPED_IS_NOT_ACCEPTED = "an identifier that is not listed is taken as not accepted"
    RERUN_FORGETS = "a rerun that gives up says that nothing was ever written"
    STALE_IS_NEWER = "a read older than the request settles it"


class Answer(Enum):
    """What a writer was told."""

    NONE = "none"
    ACCEPTED = "accepted"
    REFUSED = "refused"  # conflict, or nothing was written
    UNKNOWN = "unknown"


class Page(NamedTuple):
    """The page at one revision."""

    a: int = 0
    b: int = 0
    identifiers: tuple[int, ...] = ()
    writer: int = -1


class Request(NamedTuple):
    """A compare-and-swap on its way; the content builds on the page `source`."""

    writer: int
    expected: int
    source: int


class Writer(NamedTuple):
    """One run of the command, and the next after an honest unknown."""

    base: int = -1
    waiting: Request | None = None
    reply: str = ""
    lost: int = -1  # expected revision of the first request without a reply
    first_read: int = -1
    answer: Answer = Answer.NONE
    reruns: int = 1
    is_rerun: bool = False


class State(NamedTuple):
    """Store, network, writers and one node."""

    pages: tuple[Page, ...] = (Page(),)
    requests: frozenset[Request] = frozenset()
    writers: tuple[Writer, ...] = (Writer(), Writer(), Writer())
    held: int = 0
    reverted: bool = False
    overwritten: bool = False
    repeated: bool = False


Step = tuple[str, State]


def build(
    mistake: Mutation | None = None, reruns: tuple[int, ...] = (1, 0, 0), *, node: bool = False
) -> Protocol:
    """
    Build the specification.

    :param mistake: the rule to leave out
    :param reruns: how often each writer may run again, for as many writers as take part
    :param node: whether a node follows the page
    :return: the model for the checker
    """
    found: list[State] = []  # a seeded variant is searched up to its first violation

    def transitions(fields: tuple[object, ...]) -> list[Step]:
        if found:
            return []
        steps = list(_steps(State(*fields), mistake))  # type: ignore[arg-type]
        found.extend(after for _, after in steps if _is_violation(after))
        return steps

    return Protocol(
        name="config_pages",
        candidate=False,
        fields=State._fields,
        initial=State(
            writers=tuple(Writer(reruns=count) for count in reruns), held=0 if node else -1
        ),
        transitions=transitions,
        invariants={
            "never_reverts": lambda d: not d["reverted"],
            "accepted_is_not_overwritten": lambda d: not d["overwritten"],
            "takes_effect_once": lambda d: not d["repeated"],
            "answers_are_true": lambda d: _answers_are_true(d["pages"], d["writers"]),
        },
    )


def _is_violation(state: State) -> bool:
    flagged = state.reverted or state.overwritten or state.repeated
    return flagged or not _answers_are_true(state.pages, state.writers)


def _answers_are_true(pages: tuple[Page, ...], writers: tuple[Writer, ...]) -> bool:
    effective = {page.writer for page in pages}
    return all(
        writer.answer in (Answer.NONE, Answer.UNKNOWN)
        or (writer.answer is Answer.ACCEPTED) == (index in effective)
        for index, writer in enumerate(writers)
    )


def _steps(state: State, mistake: Mutation | None) -> Iterator[Step]:
    yield from _node_steps(state, mistake)
    yield from _request_steps(state, mistake)
    for index, writer in enumerate(state.writers):
        if writer.answer is Answer.UNKNOWN and writer.reruns:
            again = Writer(base=writer.base, reruns=writer.reruns - 1, is_rerun=True)
            yield f"rerun {index}", _with_writer(state, index, again)
        if writer.answer is not Answer.NONE:
            continue
        if writer.waiting is None:
            yield from _read_steps(state, index, writer, mistake)
        else:
            yield from _reply_steps(state, index, writer, mistake)
        if writer.base >= 0 and writer.waiting is None:
            yield f"give up {index}", _answered(state, index, _undecided(writer, mistake))


def _node_steps(state: State, mistake: Mutation | None) -> Iterator[Step]:
    if state.held < 0:
        return
    for revision in range(len(state.pages)):  # from a read, a watch or a peer
        if revision > state.held:
            yield f"node takes {revision}", state._replace(held=revision)
        elif revision < state.held and mistake is Mutation.NODE_TAKES_ANY_REVISION:
            yield f"node takes {revision}", state._replace(held=revision, reverted=True)


def _request_steps(state: State, mistake: Mutation | None) -> Iterator[Step]:
    current = len(state.pages) - 1
    for request in state.requests:
        if current >= MAX_REVISION:
            continue
        after = _applied(state._replace(requests=state.requests - {request}), request)
        after = _replied(after, request, "done")
        if mistake is not Mutation.PUT_WITHOUT_EXPECTED:
            for other in after.requests:  # their expected revision is gone for good
                after = _replied(after, other, "conflict")
            after = after._replace(requests=frozenset())
        yield f"request of {request.writer} takes effect", after


def _replied(state: State, request: Request, reply: str) -> State:
    writer = state.writers[request.writer]
    if writer.waiting != request:
        return state
    return _with_writer(state, request.writer, writer._replace(reply=reply))


def _applied(state: State, request: Request) -> State:
    source, current = state.pages[request.source], state.pages[-1]
    wanted = WANTED[request.writer]
    base = state.pages[state.writers[request.writer].base]
    page = source._replace(
        **wanted,
        identifiers=(*source.identifiers, request.writer)[-KEPT_IDENTIFIERS:],
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
    state: State, index: int, writer: Writer, mistake: Mutation | None
) -> Iterator[Step]:
    for revision in range(len(state.pages)):
        began = writer._replace(base=revision) if writer.base < 0 else writer
        if began.base > revision:
            continue  # older than the base, the writer reads again
        yield f"{index} reads {revision}", _after_read(state, index, began, revision, mistake)


def _after_read(
    state: State, index: int, writer: Writer, revision: int, mistake: Mutation | None
) -> State:
    reaches_base = revision - writer.base <= KEPT_HISTORY
    history = state.pages[max(writer.base, revision - KEPT_HISTORY) + 1 : revision + 1]
    if index in state.pages[revision].identifiers or index in [page.writer for page in history]:
        return _answered(state, index, Answer.ACCEPTED, writer)
    if writer.lost >= 0 and revision < writer.lost and mistake is Mutation.STALE_IS_NEWER:
        return _answered(state, index, Answer.REFUSED, writer)
    if writer.lost >= 0 and revision < writer.lost:
        return _with_writer(state, index, writer)
    if writer.lost >= 0 and revision > writer.lost:
        dropped = revision - writer.lost > KEPT_IDENTIFIERS and not reaches_base
        if dropped and mistake is not Mutation.DROPPED_IS_NOT_ACCEPTED:
            return _answered(state, index, Answer.UNKNOWN, writer)
        writer = writer._replace(lost=-1)
    if not reaches_base and mistake not in (Mutation.DROPPED_IS_NOT_ACCEPTED, Mutation.NO_BASE):
        return _answered(state, index, _undecided(writer, mistake), writer)
    return _after_merge(state, index, writer, revision, mistake)


def _after_merge(
    state: State, index: int, writer: Writer, revision: int, mistake: Mutation | None
) -> State:
    page, base = state.pages[revision], state.pages[writer.base]
    changed = [name for name in WANTED[index] if getattr(page, name) != getattr(base, name)]
    if changed and mistake is not Mutation.NO_BASE:
        return _answered(state, index, Answer.REFUSED, writer)
    source = revision
    if mistake is Mutation.OLD_PAGE_SENT_AGAIN and writer.first_read >= 0:
        source = writer.first_read
    request = Request(index, revision, source)
    late = revision < len(state.pages) - 1 and mistake is not Mutation.PUT_WITHOUT_EXPECTED
    first_read = source if mistake is Mutation.OLD_PAGE_SENT_AGAIN else -1
    reply = "conflict" if late else ""
    sent = writer._replace(waiting=request, reply=reply, first_read=first_read)
    after = _with_writer(state, index, sent)
    return after if late else after._replace(requests=after.requests | {request})


def _reply_steps(
    state: State, index: int, writer: Writer, mistake: Mutation | None
) -> Iterator[Step]:
    assert writer.waiting is not None
    if writer.reply == "done":
        yield f"{index} hears done", _answered(state, index, Answer.ACCEPTED)
    if writer.reply == "conflict":
        heard = writer._replace(waiting=None, reply="")
        yield f"{index} hears conflict", _with_writer(state, index, heard)
    if mistake is Mutation.LOST_IS_NOT_ACCEPTED:
        yield f"{index} times out", _answered(state, index, Answer.REFUSED)
        return
    lost = writer.lost if writer.lost >= 0 else writer.waiting.expected
    yield (
        f"{index} times out",
        _with_writer(state, index, writer._replace(waiting=None, reply="", lost=lost)),
    )


def _undecided(writer: Writer, mistake: Mutation | None) -> Answer:
    earlier = writer.is_rerun and mistake is not Mutation.RERUN_FORGETS
    return Answer.UNKNOWN if writer.lost >= 0 or earlier else Answer.REFUSED


def _answered(state: State, index: int, answer: Answer, writer: Writer | None = None) -> State:
    known = writer or state.writers[index]
    done = Writer(known.base, answer=answer, reruns=known.reruns)
    return _with_writer(state, index, done)


def _with_writer(state: State, index: int, writer: Writer) -> State:
    writers = (*state.writers[:index], writer, *state.writers[index + 1 :])
    return state._replace(writers=writers)


__all__ = ["Answer", "Mutation", "build"]
