"""Parsing and validation of callers' HTTP requests."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.errors import Forbidden, InvalidRequest, NotFound
from boragetiller.records.model import BackendGroup, Customer, RequestClass
from boragetiller.settings import BackendKind
from boragetiller.value_checks import is_encodable

if TYPE_CHECKING:
    from boragetiller.tables.config import ConfigTable

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 1_024
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
UNHASHED_FIELDS = frozenset({"stream", "stream_options", "user"})


@attrs.define(kw_only=True)
class RoutedRequest:
    """A caller's request with its class, its backend group and what placement needs."""

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    customer: Customer
    request_class: RequestClass
    group: BackendGroup
    repeatable: bool
    streamed: bool = False
    headers: dict[str, str] = attrs.Factory(dict)
    fields: dict[str, Any] | None = None  # parsed body of a request to an engine
    idempotency_key: str = ""
    prompt_tokens: int = 0
    prefix_hash: int = 0
    fingerprint: str = ""

    @property
    def for_engine(self) -> bool:
        """:return: whether an engine serves the request"""
        return self.group.kind is BackendKind.ENGINE


@attrs.frozen(kw_only=True)
class CallerHeaders:
    """Headers of a caller that routing uses or forwards."""

    content_type: str
    class_name: str
    idempotency_key: str
    forwarded: dict[str, str] = attrs.Factory(dict)  # sent on to a plain service


def parse_engine_request(
    request_id: str,
    path: str,
    headers: CallerHeaders,
    body: bytes,
    customer: Customer,
    config: ConfigTable,
) -> RoutedRequest:
    """
    Validate an OpenAI-compatible request and find its class and group.

    :param request_id: id of the request
    :param path: path at the engine
    :param headers: headers that routing uses
    :param body: JSON body
    :param customer: sender of the request
    :param config: records in force
    :return: the request with its class and group
    :raises NotRunError: the request is malformed, or its model or class is unknown or not allowed
    """
    fields = _parse_json_object(body)
    model = fields.get("model")
    if not isinstance(model, str):
        raise InvalidRequest("model: must be a string")
    prompt = _extract_prompt(path, fields)
    _check_common_fields(fields)
    request_class, group = _find_class(customer, headers.class_name, config, model=model)
    digest = _compute_fingerprint("POST", path, _build_canonical_body(fields))
    prefix = f"{model}\n{prompt[:PREFIX_CHARACTERS]}"
    return RoutedRequest(
        request_id=request_id,
        method="POST",
        path=path,
        content_type="application/json",
        body=body,
        customer=customer,
        request_class=request_class,
        group=group,
        repeatable=request_class.idempotent,
        streamed=fields.get("stream") is True,
        fields=fields,
        prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN + 1,
        prefix_hash=int.from_bytes(hashlib.blake2b(prefix.encode(), digest_size=8).digest()),
        fingerprint=digest,
    )


def parse_service_request(
    request_id: str,
    method: str,
    group_name: str,
    path: str,
    headers: CallerHeaders,
    body: bytes,
    customer: Customer,
    config: ConfigTable,
) -> RoutedRequest:
    """
    Validate a request to a plain service and find its class and group.

    :param request_id: id of the request
    :param method: HTTP method
    :param group_name: backend group from the path
    :param path: path at the service, with the query
    :param headers: headers that routing uses or forwards
    :param body: body, forwarded unchanged
    :param customer: sender of the request
    :param config: records in force
    :return: the request with its class and group
    :raises NotRunError: the group is unknown or not allowed
    """
    group = config.groups.get(group_name)
    if group is None or group.kind is not BackendKind.SERVICE:
        raise NotFound(f"no service group {group_name}")
    request_class, group = _find_class(customer, headers.class_name, config, group=group_name)
    repeatable = method in group.repeatable_methods
    return RoutedRequest(
        request_id=request_id,
        method=method,
        path=path,
        content_type=headers.content_type,
        body=body,
        customer=customer,
        request_class=request_class,
        group=group,
        repeatable=repeatable,
        headers=headers.forwarded,
        idempotency_key="" if repeatable else _check_idempotency_key(headers.idempotency_key),
        fingerprint=_compute_fingerprint(method, path, body),
    )


def _parse_json_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest("body: must be JSON") from error
    if not isinstance(fields, dict):
        raise InvalidRequest("body: must be a JSON object")
    return fields


def _check_common_fields(fields: dict[str, Any]) -> None:
    stream = fields.get("stream", False)
    if stream is not None and not isinstance(stream, bool):
        raise InvalidRequest("stream: must be true or false")
    max_tokens = fields.get("max_tokens")
    if max_tokens is not None and (type(max_tokens) is not int or max_tokens < 1):
        raise InvalidRequest("max_tokens: must be a positive integer")
    if fields.get("n") not in (None, 1):
        raise InvalidRequest("n: must be 1 or absent")
    if "resume_from" in fields or "priority" in fields:
        raise InvalidRequest("resume_from, priority: must be absent, only the router sets them")


def _extract_prompt(path: str, fields: dict[str, Any]) -> str:
    if path.endswith("/chat/completions"):
        return _join_messages(fields.get("messages"))
    prompt = fields.get("prompt")
    if not isinstance(prompt, str):
        raise InvalidRequest("prompt: must be a string")
    _check_text(prompt)
    return prompt


def _join_messages(messages: object) -> str:
    if not isinstance(messages, list) or not messages:
        raise InvalidRequest("messages: must be a list with at least one message")
    parts: list[str] = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise InvalidRequest(f"messages.{index}: must be an object with a role")
        content = message.get("content", "")
        parts.append(content if isinstance(content, str) else json.dumps(content))
    text = "\n".join(parts)
    _check_text(text)
    return text


def _check_text(text: str) -> None:
    if not is_encodable(text):
        raise InvalidRequest("body: text must not contain lone surrogates")


def _find_class(
    customer: Customer,
    class_name: str,
    config: ConfigTable,
    *,
    model: str | None = None,
    group: str | None = None,
) -> tuple[RequestClass, BackendGroup]:
    names = (class_name,) if class_name else customer.classes
    if class_name and class_name not in customer.classes:
        raise Forbidden(f"class {class_name} is not open to {customer.name}")
    for name in names:
        request_class = config.classes.get(name)
        found = config.groups.get(request_class.group) if request_class else None
        if request_class is None or found is None:
            continue
        if (model is not None and model in found.models) or found.name == group:
            return request_class, found
    if model is not None and not any(model in each.models for each in config.groups.values()):
        raise NotFound(f"no model {model}")
    raise Forbidden(f"{customer.name} has no class for {model or group}")


def _check_idempotency_key(key: str) -> str:
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise InvalidRequest(
            f"Idempotency-Key: must have at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        )
    return key


def _build_canonical_body(fields: dict[str, Any]) -> bytes:
    hashed = {name: value for name, value in fields.items() if name not in UNHASHED_FIELDS}
    return json.dumps(hashed, sort_keys=True, separators=(",", ":")).encode()


def _compute_fingerprint(method: str, path: str, body: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


__all__ = ["CallerHeaders", "RoutedRequest", "parse_engine_request", "parse_service_request"]
