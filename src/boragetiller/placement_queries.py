"""Queries of operators where a router would send a request, and their HTTP interface."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from boragetiller.errors import BoragetillerError, InvalidRequest
from boragetiller.value_checks import is_encodable

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.clock import Clock

MAX_QUERIES_PER_S = 5  # one costs up to ten placements, for the copies of the state
WINDOW_MS = 1_000
BODY_TIMEOUT_S = 10.0
MAX_LISTED_EXCLUSIONS = 100  # a group may have 1,300 servers


@attrs.frozen(kw_only=True)
class PlacementQuery:
    """A request as its caller would send it."""

    method: str
    path: str  # with the query
    headers: CIMultiDictProxy[str] = attrs.field(repr=False)  # may hold a customer's key
    body: bytes


@attrs.frozen(kw_only=True)
class PlacementCandidate:
    """A backend server or agent that was compared, with the figures that decided."""

    server: str
    failure_domain: str
    chosen: bool
    has_room: bool
    cost_ms: float | int  # the lowest is chosen
    first_event_ms: float | int  # expected time to the first event
    in_flight: int  # requests there, as estimated
    slots: int
    new_tokens: int | None = None  # prompt tokens that it would have to prefill
    prefill_share: float | int | None = None  # of its time, 0 to 1
    sensitivity: float | int | None = None  # of its streams to stalls
    work_time: float | int | None = None  # relative to the usual, see systems.overload.server_speed
    work_time_age_ms: int | None = None  # age of its newest observation, None without any
    committed_tokens: int | None = None  # of the requests that routers have there
    peers_heard: int | None = None  # routers whose load there is known
    load_age_ms: int | None = None  # age of its last load report to this router, None for none


@attrs.frozen(kw_only=True)
class PlacementExclusion:
    """A server that was not chosen from."""

    server: str
    reason: str


@attrs.frozen(kw_only=True)
class PlacementAnswer:
    """Where a request would go now, and why."""

    router: str
    outcome: str  # placed or refused
    route: str | None = None  # route or request class
    group: str | None = None
    tier: int | None = None  # 0 is the most urgent
    customer: str | None = None
    server: str | None = None
    code: str | None = None  # why it would be refused
    detail: str = ""
    status: int | None = None  # HTTP status of the refusal
    retry_after_s: float | int | None = None
    candidates: tuple[PlacementCandidate, ...] = ()
    excluded: tuple[PlacementExclusion, ...] = ()
    not_sampled: int = 0  # servers of a large group that were not drawn as candidates
    config_version: int | None = None
    config_age_ms: int | None = None
    oldest_report_ms: int | None = None  # age of the oldest report of a router that was counted


class QueryLimiter:
    """Allows MAX_QUERIES_PER_S in any second."""

    def __init__(self) -> None:
        """Start without queries."""
        self._times_ms: deque[int] = deque(maxlen=MAX_QUERIES_PER_S)

    def allows(self, now_ms: int) -> bool:
        """
        Count a query if it is allowed.

        :param now_ms: monotonic time in milliseconds
        :return: whether it is
        """
        is_full = len(self._times_ms) == MAX_QUERIES_PER_S
        if is_full and now_ms - self._times_ms[0] < WINDOW_MS:
            return False
        self._times_ms.append(now_ms)
        return True


def parse_query(document: object) -> PlacementQuery:
    """
    Parse a query.

    :param document: decoded JSON with `path`, and optionally `method`, `headers` and `body`
    :return: the query
    :raises InvalidRequest: a field is missing or has the wrong type
    """
    if not isinstance(document, dict):
        raise InvalidRequest("the query must be a JSON object")
    headers = document.get("headers", {})
    if not isinstance(headers, dict):
        raise InvalidRequest("headers: must be an object")
    for name, value in headers.items():
        if not isinstance(value, str) or not is_encodable(name + value):
            raise InvalidRequest(f"headers: {name!r:.40} must be text")
    texts = {"method": "POST", "path": None, "body": ""} | {
        name: document[name] for name in ("method", "path", "body") if name in document
    }
    for name, value in texts.items():
        if not isinstance(value, str) or not is_encodable(value):
            raise InvalidRequest(f"{name}: must be text")
    if not texts["path"].startswith("/"):
        raise InvalidRequest("path: must begin with a slash")
    return PlacementQuery(
        method=texts["method"].upper(),
        path=texts["path"],
        headers=CIMultiDictProxy(CIMultiDict(headers)),
        body=texts["body"].encode(),
    )


async def respond_to_query(
    request: web.BaseRequest,
    answer: Callable[[PlacementQuery], PlacementAnswer],
    limiter: QueryLimiter,
    clock: Clock,
) -> web.Response:
    """
    Respond to an authorized query.

    :param request: HTTP request with the query
    :param answer: answers it
    :param limiter: limit on queries
    :param clock: monotonic clock
    :return: the answer as JSON, or an error with its code
    """
    if not limiter.allows(clock.now_ms()):
        headers = {"Retry-After": "1"}
        return web.json_response({"code": "rate_limited"}, status=429, headers=headers)
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await request.read()
        return web.json_response(attrs.asdict(answer(parse_query(json.loads(body)))))
    except (ValueError, RecursionError, TimeoutError):
        return _build_error("the query must be JSON")
    except InvalidRequest as error:
        return _build_error(str(error))


def describe_refusal(error: BoragetillerError) -> dict[str, Any]:
    """
    Describe the error that refuses a request.

    :param error: the error
    :return: fields of :class:`PlacementAnswer`
    """
    return {
        "outcome": "refused",
        "code": error.code,
        "detail": str(error),
        "status": error.http_status,
        "retry_after_s": error.retry_after_s,
    }


def _build_error(detail: str) -> web.Response:
    return web.json_response({"code": InvalidRequest.code, "detail": detail}, status=400)


__all__ = [
    "MAX_LISTED_EXCLUSIONS",
    "PlacementAnswer",
    "PlacementCandidate",
    "PlacementExclusion",
    "PlacementQuery",
    "QueryLimiter",
    "describe_refusal",
    "parse_query",
    "respond_to_query",
]
