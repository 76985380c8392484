"""Answers of a process's operator port, as JSON on the wire."""

from __future__ import annotations

import typing
from typing import Any, TypeVar

import attrs

from boragetiller.errors import BoragetillerError

T = TypeVar("T")


class InvalidResponse(BoragetillerError):
    """The operator port sent an answer that this command cannot read."""

    code = "answer_invalid"


@attrs.frozen(kw_only=True)
class ConfigStatus:
    """The configuration of one node; `GET /status` has it as `config`."""

    ready: bool
    reason: str = ""  # why it is not ready
    store: str = ""  # not_tried, reached or unreachable
    pages: int = 0
    newest_revision: int = 0
    customers: int = 0
    classes: int = 0
    groups: int = 0
    unreadable: tuple[str, ...] = ()
    reference_problems: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class AgentStatus:
    """An agent as the router sees it."""

    name: str
    group: str
    failure_domain: str = ""
    state: str = "live"  # live, draining, leaving or suspected
    in_flight: int = 0
    running: int = 0
    max_running: int = 0
    queued: tuple[int, ...] = ()  # by tier
    report_age_ms: int | None = None


@attrs.frozen(kw_only=True)
class NodeStatus:
    """Answer of `GET /status`."""

    name: str
    role: str
    failure_domain: str = ""
    region: str = ""
    draining: bool = False
    config: ConfigStatus
    agents: tuple[AgentStatus, ...] = ()


@attrs.frozen(kw_only=True)
class NodePage:
    """The page of a record at one node; the age counts from when it came into force there."""

    node: str
    page_revision: int
    age_ms: int | None = None


@attrs.frozen(kw_only=True)
class RecordStatus:
    """Answer of `GET /status/record/<kind>/<name>`; the answering node comes first in `nodes`."""

    record: str
    page: int
    record_revision: int | None = None  # None when the answering node has no such record
    problem: str = ""  # why the answering node cannot read it
    nodes: tuple[NodePage, ...] = ()


@attrs.frozen(kw_only=True)
class ExplainStep:
    """One decision; `at_ms` counts from the arrival of the request."""

    at_ms: int
    step: str
    detail: str = ""


@attrs.frozen(kw_only=True)
class Explanation:
    """Answer of `GET /explain/<request id>`."""

    request_id: str
    router: str
    steps: tuple[ExplainStep, ...] = ()


def parse_message(target: type[T], body: Any) -> T:
    """
    Build a message from decoded JSON; keys that are not known here are skipped.

    :param target: class of the message
    :param body: decoded JSON
    :return: the message
    :raises InvalidResponse: when a needed key is missing or of the wrong form
    """
    try:
        message: T = _decode(target, body)
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise InvalidResponse(f"answer is no {target.__name__}: {error}") from error
    return message


def _decode(target: Any, body: Any) -> Any:
    if attrs.has(target):
        if not isinstance(body, dict):
            raise TypeError("not an object")
        attrs.resolve_types(target)
        fields = {f.name: f.type for f in attrs.fields(target)}
        return target(**{k: _decode(fields[k], v) for k, v in body.items() if k in fields})
    if typing.get_origin(target) is tuple:
        if not isinstance(body, list):
            raise TypeError("not a list")
        return tuple(_decode(typing.get_args(target)[0], item) for item in body)
    allowed = typing.get_args(target) or (target,)
    if not isinstance(body, allowed):
        raise TypeError(f"{body!r} is not of type {target}")
    return body


__all__ = [
    "AgentStatus",
    "InvalidResponse",
    "ConfigStatus",
    "ExplainStep",
    "Explanation",
    "NodePage",
    "NodeStatus",
    "RecordStatus",
    "parse_message",
]
