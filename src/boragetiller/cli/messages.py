"""Responses of the operator port, which are sent as JSON."""

from __future__ import annotations

import typing
from typing import Any, TypeVar

import attrs

from boragetiller.errors import BoragetillerError

T = TypeVar("T")


class InvalidResponse(BoragetillerError):
    """The operator port sent a response that this command cannot decode."""

    code = "answer_invalid"


@attrs.frozen(kw_only=True)
class ConfigStatus:
    """State of the configuration of one node, the field `config` of `GET /status`."""

    ready: bool
    reason: str = ""  # why the configuration is not ready
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
    """State of an agent as known to a router."""

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
    """Response of `GET /status`."""

    name: str
    role: str
    failure_domain: str = ""
    region: str = ""
    draining: bool = False
    config: ConfigStatus
    agents: tuple[AgentStatus, ...] = ()


@attrs.frozen(kw_only=True)
class NodePage:
    """Revision of a record's page at one node, and the time since the node applied it."""

    node: str
    page_revision: int
    age_ms: int | None = None


@attrs.frozen(kw_only=True)
class RecordStatus:
    """Response of `GET /status/record/<kind>/<name>`; the responding node is first in `nodes`."""

    record: str
    page: int
    record_revision: int | None = None  # None if the responding node has no such record
    problem: str = ""  # why the responding node cannot read the record
    nodes: tuple[NodePage, ...] = ()


@attrs.frozen(kw_only=True)
class ExplainStep:
    """One decision about a request; `at_ms` is relative to the arrival of the request."""

    at_ms: int
    step: str
    detail: str = ""


@attrs.frozen(kw_only=True)
class Explanation:
    """Response of `GET /explain/<request id>`."""

    request_id: str
    router: str
    steps: tuple[ExplainStep, ...] = ()


def parse_message(target: type[T], body: Any) -> T:
    """
    Build a message from decoded JSON; unknown keys are ignored.

    :param target: class of the message
    :param body: decoded JSON
    :return: the message
    :raises InvalidResponse: a required key is missing or a value has the wrong type
    """
    try:
        message: T = _decode(target, body)
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise InvalidResponse(f"response is not a valid {target.__name__}: {error}") from error
    return message


def _decode(target: Any, body: Any) -> Any:
    if attrs.has(target):
        if not isinstance(body, dict):
            raise TypeError(f"must be an object, got {type(body).__name__}")
        attrs.resolve_types(target)
        fields = {f.name: f.type for f in attrs.fields(target)}
        return target(**{k: _decode(fields[k], v) for k, v in body.items() if k in fields})
    if typing.get_origin(target) is tuple:
        if not isinstance(body, list):
            raise TypeError(f"must be a list, got {type(body).__name__}")
        return tuple(_decode(typing.get_args(target)[0], item) for item in body)
    allowed = typing.get_args(target) or (target,)
    if not isinstance(body, allowed):
        raise TypeError(f"{body!r}: must be of type {target}")
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
