"""Headers of callers: proof of the customer, and what routing uses."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from boragetiller.errors import InvalidRequest, NotReady, Unauthorized
from boragetiller.router.request import CallerHeaders
from boragetiller.value_checks import is_encodable

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragetiller.records.model import Customer
    from boragetiller.tables.config import ConfigTable

BEARER = "Bearer "


def authenticate(headers: Mapping[str, str], config: ConfigTable) -> Customer:
    """
    Find the customer whose key a request bears.

    :param headers: headers as received, with case-insensitive names
    :param config: records in force
    :return: the customer
    :raises NotReady: there is no complete configuration yet
    :raises Unauthorized: the key is missing or unknown
    """
    if not config.ready:
        raise NotReady(retry_after_s=1)
    authorization = headers.get("Authorization", "")
    if not authorization.startswith(BEARER):
        raise Unauthorized
    digest = hashlib.sha256(
        authorization.removeprefix(BEARER).encode("utf-8", "replace")
    ).hexdigest()
    name = config.customers_by_key.get(digest)
    customer = config.customers.get(name) if name else None
    if customer is None or not _has_key(customer, digest):
        raise Unauthorized
    return customer


def parse_caller_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """
    Parse the headers that routing uses.

    :param headers: headers as received, with case-insensitive names
    :return: the headers, without those that are forwarded
    :raises InvalidRequest: one of them is not UTF-8
    """
    return CallerHeaders(
        content_type=_get_utf8_header(headers, "Content-Type", "application/octet-stream"),
        class_name=_get_utf8_header(headers, "X-Request-Class", ""),
        idempotency_key=_get_utf8_header(headers, "Idempotency-Key", "").strip('"'),
    )


def _get_utf8_header(headers: Mapping[str, str], name: str, default: str) -> str:
    value = headers.get(name, default)
    if not is_encodable(value):
        raise InvalidRequest(f"{name}: got {value!r:.40}; must be UTF-8")
    return value


def _has_key(customer: Customer, digest: str) -> bool:
    matches = [hmac.compare_digest(known, digest) for known in customer.key_hashes]
    return any(matches)


__all__ = ["authenticate", "parse_caller_headers"]
