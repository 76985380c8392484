"""Which headers pass between a caller and a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_HOP_BY_HOP = frozenset(
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
_OWN_REQUEST_HEADERS = frozenset(
    {
        "authorization",  # the caller's key is for the router only
        "content-type",
        "expect",
        "host",
        "idempotency-key",
        "x-request-class",
        "x-request-id",
    }
)
_OWN_ANSWER_HEADERS = frozenset({"content-type", "date", "server", "x-request-id", "x-verdict"})


def filter_request_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """
    Choose the headers of a caller that a plain service sees.

    :param headers: headers as received
    :return: end-to-end headers without those that the router handles itself
    """
    return _without(headers, _HOP_BY_HOP | _OWN_REQUEST_HEADERS)


def filter_response_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """
    Choose the headers of a plain service that the caller sees.

    :param headers: headers as received
    :return: end-to-end headers without those that the router sets itself
    """
    return _without(headers, _HOP_BY_HOP | _OWN_ANSWER_HEADERS)


def _without(headers: Mapping[str, str], left_out: frozenset[str]) -> dict[str, str]:
    return {name: value for name, value in headers.items() if name.lower() not in left_out}


__all__ = ["filter_response_headers", "filter_request_headers"]
