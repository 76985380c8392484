"""One attempt of a request as the router describes it to an agent."""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import Any

import attrs

from boragetiller.errors import ProtocolError

ATTEMPT_HEADER = "X-Attempt"
ATTEMPT_PATH = "/attempt"
WITHDRAW_PATH = "/withdraw"
MAX_ATTEMPT_HEADER_BYTES = 131_072


@attrs.frozen(kw_only=True)
class Attempt:
    """All that an agent needs besides the body; durations in milliseconds."""

    request_id: str
    number: int
    method: str
    path: str
    content_type: str
    customer: str
    class_name: str
    group: str
    tier: int
    protected: bool
    repeatable: bool
    resumable: bool
    customer_weight: float
    class_weight: float
    prompt_tokens: int
    first_token_target_ms: int
    between_tokens_target_ms: int
    deadline_in_ms: int
    fingerprint: str
    resumed_tokens: int = 0
    key: str = ""
    headers: dict[str, str] = attrs.Factory(dict)  # the caller's, for a plain service
    arrived_wall_ms: int = 0  # wall clock of the router when the caller's request arrived
    isolated: bool = False
    struck: str = ""  # agents whose backend server crashed with this body, comma between them

    def crashed_servers(self) -> tuple[str, ...]:
        """:return: agents whose backend server crashed with this body"""
        return tuple(name for name in self.struck.split(",") if name)

    def to_header(self) -> str:
        """:return: the attempt as one ASCII header value"""
        return json.dumps(attrs.asdict(self), separators=(",", ":"))


_FIELDS = attrs.fields(Attempt)
_TYPES: dict[str, type] = {"str": str, "int": int, "float": float, "bool": bool}


def parse_attempt(header: str) -> Attempt:
    """
    Decode the attempt header.

    :param header: header value
    :return: the attempt
    :raises ProtocolError: when a field is missing, unknown or of another type
    """
    try:
        fields = json.loads(header)
        values = {field.name: _checked(field, fields) for field in _FIELDS if field.name in fields}
        if len(values) != len(fields):
            raise ProtocolError("unknown attempt field")
        return Attempt(**values)
    except (ValueError, TypeError, RecursionError) as error:
        raise ProtocolError("bad attempt header") from error


def derive_data_path_token(control_key: str) -> str:
    """
    Derive the bearer token of the data path, so that the control key itself is not sent.

    :param control_key: key of the control exchange
    :return: token in hex
    """
    return hmac.new(control_key.encode(), b"data-path", hashlib.sha256).hexdigest()


def _checked(field: Any, fields: dict[str, Any]) -> Any:
    value = fields[field.name]
    if field.name == "headers":
        return _checked_headers(value)
    expected = _TYPES[str(field.type)]
    if expected is float and type(value) is int:
        return float(value)
    if type(value) is not expected:
        raise ProtocolError(f"attempt field {field.name} has another type")
    return value


def _checked_headers(value: object) -> dict[str, str]:
    if not isinstance(value, dict) or not all(isinstance(each, str) for each in value.values()):
        raise ProtocolError("attempt headers have another type")
    return value


__all__ = [
    "ATTEMPT_HEADER",
    "ATTEMPT_PATH",
    "MAX_ATTEMPT_HEADER_BYTES",
    "WITHDRAW_PATH",
    "Attempt",
    "derive_data_path_token",
    "parse_attempt",
]
