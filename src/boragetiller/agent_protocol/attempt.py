"""Header that describes one attempt at a request to an agent."""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import Any

import attrs

from boragetiller.errors import ProtocolError
from boragetiller.value_checks import is_encodable, is_in_range

ATTEMPT_HEADER = "X-Attempt"
ATTEMPT_PATH = "/attempt"
WITHDRAW_PATH = "/withdraw"
MAX_ATTEMPT_HEADER_BYTES = 131_072


@attrs.frozen(kw_only=True)
class Attempt:
    """What an agent needs to know of an attempt besides its body; durations in milliseconds."""

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
    headers: dict[str, str] = attrs.Factory(dict)  # of the caller, for a plain service
    arrived_wall_ms: int = 0  # arrival of the caller's request by the router's wall clock
    isolated: bool = False
    struck: str = ""  # comma-separated agents whose backend server crashed while running this body

    def crashed_servers(self) -> tuple[str, ...]:
        """:return: agents whose backend server crashed while running this body"""
        return tuple(name for name in self.struck.split(",") if name)

    def to_header(self) -> str:
        """:return: the attempt as an ASCII header value"""
        return json.dumps(attrs.asdict(self), separators=(",", ":"))


_FIELDS = attrs.fields(Attempt)
_JSON_TYPES: dict[str, type] = {"str": str, "int": int, "float": float, "bool": bool}


def parse_attempt(header: str) -> Attempt:
    """
    Decode the attempt header.

    :param header: header value
    :return: the attempt
    :raises ProtocolError: a field is missing, unknown or of the wrong type
    """
    try:
        fields = json.loads(header)
        values = {
            field.name: _check_field(field, fields) for field in _FIELDS if field.name in fields
        }
        if len(values) != len(fields):
            raise ProtocolError("attempt header has an unknown field")
        return Attempt(**values)
    except (ValueError, TypeError, RecursionError) as error:
        raise ProtocolError("attempt header is not a JSON object with every required field") from (
            error
        )


def derive_data_path_token(control_key: str) -> str:
    """
    Derive the bearer token of the data path, so that the control key itself is never sent on it.

    :param control_key: key of the control exchange
    :return: token in hexadecimal
    """
    return hmac.new(control_key.encode(), b"data-path", hashlib.sha256).hexdigest()


def _check_field(field: Any, fields: dict[str, Any]) -> Any:
    value = fields[field.name]
    if field.name == "headers":
        return _check_headers(value)
    expected = _JSON_TYPES[str(field.type)]
    if type(value) in (int, float) and not is_in_range(value):
        raise ProtocolError(f"attempt field {field.name}: got {value!r:.40}; out of range")
    if expected is float and type(value) is int:
        return float(value)
    if type(value) is not expected:
        raise ProtocolError(f"attempt field {field.name}: must be of type {expected.__name__}")
    if isinstance(value, str) and not is_encodable(value):
        raise ProtocolError(f"attempt field {field.name}: lone surrogates are not allowed")
    return value


def _check_headers(value: object) -> dict[str, str]:
    if not isinstance(value, dict) or not all(isinstance(each, str) for each in value.values()):
        raise ProtocolError("attempt field headers: must be an object of strings")
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
