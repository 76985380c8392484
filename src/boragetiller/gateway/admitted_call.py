"""A call after admission: authenticated and matched with a route and a backend group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from multidict import CIMultiDictProxy

from boragetiller.errors import NotFound
from boragetiller.systems.failure_history import compute_fingerprint
from boragetiller.systems.routing import choose_group, compute_urgency, find_customer, find_route
from boragetiller.tables.call_metadata import CallMetadata
from boragetiller.tables.routes import BackendGroup, Route, RouteCustomer

if TYPE_CHECKING:

    from boragetiller.tables.routes import RouteConfig

DEFAULT_DEADLINE_MS = 60_000.0  # above any route's timeout, so that the timeout alone applies


@attrs.frozen(kw_only=True)
class AdmittedCall:
    """A call with the route, customer and group found in the configuration in force."""

    metadata: CallMetadata
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
    fingerprint: bytes  # the same for each retry by the caller

    @property
    def time_limit_ms(self) -> float:
        """:return: milliseconds from arrival until the call must be answered"""
        return min(self.metadata.deadline_ms or DEFAULT_DEADLINE_MS, self.route.timeout_ms)

    def time_left_ms(self, now_ms: int) -> float:
        """:return: milliseconds until the call must be answered"""
        return self.time_limit_ms - (now_ms - self.arrived_ms)

    def remaining_deadline_ms(self, now_ms: int) -> float:
        """:return: milliseconds until the caller's deadline"""
        return (self.metadata.deadline_ms or DEFAULT_DEADLINE_MS) - (now_ms - self.arrived_ms)


def admit_call(
    config: RouteConfig,
    metadata: CallMetadata,
    method: str,
    raw_path: str,
    headers: CIMultiDictProxy[str],
    body: bytes,
    arrived_ms: int,
) -> AdmittedCall:
    """
    Authenticate a call and find its route and backend group.

    :param config: configuration in force
    :param metadata: metadata parsed from the headers
    :param method: HTTP method
    :param raw_path: path and query as received
    :param headers: headers as received
    :param body: the complete body
    :param arrived_ms: monotonic time of arrival in milliseconds
    :return: the admitted call
    :raises NotFound: no route matches, or its group does not exist
    :raises Unauthorized: the API key is missing or unknown
    """
    route = find_route(config, metadata.host, raw_path.partition("?")[0])
    customer = find_customer(config, route, metadata.key)
    # A resumed stream goes to the group that began it also where a route is split by weights.
    group_key = metadata.resumed_request_id or metadata.request_id
    group = config.groups.get(choose_group(route, group_key))
    if group is None:
        raise NotFound("the route's backend group does not exist")
    return AdmittedCall(
        metadata=metadata,
        method=method,
        raw_path=raw_path,
        headers=headers,
        body=body,
        route=route,
        customer=customer,
        group=group,
        urgency=compute_urgency(route, customer),
        config_version=config.version,
        arrived_ms=arrived_ms,
        fingerprint=compute_fingerprint(customer.name if customer else "", method, raw_path, body),
    )


__all__ = ["AdmittedCall", "admit_call"]
