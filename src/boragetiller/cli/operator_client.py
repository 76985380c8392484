"""HTTP client of the operator port."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import aiohttp

from boragetiller.cli.messages import InvalidResponse
from boragetiller.errors import BoragetillerError

if TYPE_CHECKING:
    from boragetiller.cli.options import OperatorOptions

MS_PER_S = 1_000


class OperatorUnreachable(BoragetillerError):
    """The operator port did not respond."""

    code = "operator_unreachable"


class OperatorRefused(BoragetillerError):
    """The operator port refused the request."""

    code = "operator_refused"


async def fetch_json(url: str, path: str, options: OperatorOptions) -> Any:
    """
    Send a GET request and decode its JSON response.

    :param url: base URL of the operator port
    :param path: path with a leading slash
    :param options: bearer key and time limit
    :return: decoded JSON
    :raises OperatorUnreachable: no response within the time limit
    :raises OperatorRefused: the response has an error status
    :raises InvalidResponse: the response is not JSON
    """
    return await _send("GET", url, path, None, options)


async def post_json(url: str, path: str, document: Any, options: OperatorOptions) -> Any:
    """
    Send a POST request with a JSON document and decode its JSON response.

    :param url: base URL of the operator port
    :param path: path with a leading slash
    :param document: what to send
    :param options: bearer key and time limit
    :return: decoded JSON
    :raises OperatorUnreachable: no response within the time limit
    :raises OperatorRefused: the response has an error status
    :raises InvalidResponse: the response is not JSON
    """
    return await _send("POST", url, path, document, options)


async def _send(method: str, url: str, path: str, document: Any, options: OperatorOptions) -> Any:
    timeout = aiohttp.ClientTimeout(total=options.timeout_ms / MS_PER_S)
    headers = {"Authorization": f"Bearer {options.operator_key}"}
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.request(method, url + path, json=document) as response,
        ):
            body = await response.read()
            status = response.status
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        reason = str(error) or type(error).__name__
        message = f"{url} does not answer ({reason}); check --operator-url and the process"
        raise OperatorUnreachable(message) from error
    _check_status(url, path, status)
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidResponse(f"{url}{path}: the response is not valid JSON") from error


def _check_status(url: str, path: str, status: int) -> None:
    if status in (401, 403):
        raise OperatorRefused(f"{url}: the operator key is not accepted; check --operator-key")
    if status == 404:
        raise OperatorRefused(f"{url}{path}: not found; ask another router")
    if status == 400:
        raise OperatorRefused(f"{url}{path}: the router does not understand the query")
    if status == 429:
        raise OperatorRefused(f"{url}{path}: too many queries in a second; try again")
    if status != 200:
        raise OperatorRefused(f"{url}{path}: unexpected HTTP status {status}")


__all__ = ["OperatorRefused", "OperatorUnreachable", "fetch_json", "post_json"]
