"""Filters for the headers that are forwarded between a caller and a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
_ROUTER_REQUEST_HEADERS = frozenset(
    {
        "authorization",  # the caller's key must not reach the service
        "content-type",
        "expect",
        "host",
        "idempotency-key",
        "x-request-class",
        "x-request-id",
    }
)
_ROUTER_RESPONSE_HEADERS = frozenset(
    {"content-type", "date", "server", "x-request-id", "x-verdict"}
)


def filter_request_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """
    Select the caller's headers that are forwarded to a plain service.

    :param headers: headers as received
    :return: end-to-end headers without those that the router handles itself
    """
    return _exclude(headers, _HOP_BY_HOP_HEADERS | _ROUTER_REQUEST_HEADERS)


def filter_response_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """
    Select the plain service's headers that are forwarded to the caller.

    :param headers: headers as received
    :return: end-to-end headers without those that the router sets itself
    """
    return _exclude(headers, _HOP_BY_HOP_HEADERS | _ROUTER_RESPONSE_HEADERS)


def _exclude(headers: Mapping[str, str], excluded: frozenset[str]) -> dict[str, str]:
    return {name: value for name, value in headers.items() if name.lower() not in excluded}


__all__ = ["filter_response_headers", "filter_request_headers"]
