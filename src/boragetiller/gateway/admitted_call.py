"""One call of a caller on its way through the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from multidict import CIMultiDictProxy

from boragetiller.errors import NotFound
from boragetiller.systems.failure_history import request_fingerprint
from boragetiller.systems.routing import choose_group, find_customer, find_route, request_urgency
from boragetiller.tables.call_metadata import CallMetadata
from boragetiller.tables.routes import BackendGroup, Route, RouteCustomer

if TYPE_CHECKING:

    from boragetiller.tables.routes import RouteConfig

DEFAULT_DEADLINE_MS = 60_000.0  # a caller that names none is held to the route's timeout alone


@attrs.frozen(kw_only=True)
class AdmittedCall:
    """A call with all that was decided from the configuration in force."""

    facts: CallMetadata
    method: str
    raw_path: str
    headers: CIMultiDictProxy[str]
    body: bytes
    route: Route
    customer: RouteCustomer | None
    group: BackendGroup
    urgency: int
    config_version: int
    arrived_ms: int
    fingerprint: bytes  # the same for each try of the caller

    @property
    def limit_ms(self) -> float:
        """:return: time from arrival until the call must be answered"""
        return min(self.facts.deadline_ms or DEFAULT_DEADLINE_MS, self.route.timeout_ms)

    def time_left_ms(self, now_ms: int) -> float:
        """:return: time until the call must be answered"""
        return self.limit_ms - (now_ms - self.arrived_ms)

    def remaining_deadline_ms(self, now_ms: int) -> float:
        """:return: time until the caller stops waiting"""
        return (self.facts.deadline_ms or DEFAULT_DEADLINE_MS) - (now_ms - self.arrived_ms)


def admit_call(
    config: RouteConfig,
    facts: CallMetadata,
    method: str,
    raw_path: str,
    headers: CIMultiDictProxy[str],
    body: bytes,
    arrived_ms: int,
) -> AdmittedCall:
    """
    Decide from the configuration where a call goes.

    :param config: configuration in force
    :param facts: what the headers say
    :param method: HTTP method
    :param raw_path: path and query as received
    :param headers: headers as received
    :param body: the whole body
    :param arrived_ms: monotonic time of arrival
    :return: the call
    :raises NotFound: no route or group matches
    :raises Unauthorized: the key is missing or unknown
    """
    route = find_route(config, facts.host, raw_path.partition("?")[0])
    customer = find_customer(config, route, facts.key)
    group = config.groups.get(choose_group(route, facts.request_id))
    if group is None:
        raise NotFound("the route's backend group does not exist")
    return AdmittedCall(
        facts=facts,
        method=method,
        raw_path=raw_path,
        headers=headers,
        body=body,
        route=route,
        customer=customer,
        group=group,
        urgency=request_urgency(route, customer),
        config_version=config.version,
        arrived_ms=arrived_ms,
        fingerprint=request_fingerprint(customer.name if customer else "", method, raw_path, body),
    )


__all__ = ["AdmittedCall", "admit_call"]
