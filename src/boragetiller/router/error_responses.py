"""Error responses in the format of the OpenAI API, with code and verdict."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from boragetiller.errors import BoragetillerError

FIRST_SERVER_ERROR_STATUS = 500
RATE_LIMIT_STATUS = 429


def build_error_body(error: BoragetillerError) -> dict[str, Any]:
    """
    Build the body of an error response as OpenAI clients expect it.

    :param error: the error
    :return: JSON object with message, type, code and verdict
    """
    return {
        "error": {
            "message": str(error),
            "type": _get_error_type(error.http_status),
            "param": None,
            "code": error.code,
            "verdict": error.verdict.value,
        }
    }


def build_error_response(error: BoragetillerError, request_id: str) -> web.Response:
    """
    Build an error response.

    :param error: the error
    :param request_id: id of the request that the caller receives
    :return: response, with `Retry-After` if the error has a retry delay
    """
    headers = {"x-request-id": request_id, "x-verdict": error.verdict.value}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(error.retry_after_s)
    return web.json_response(build_error_body(error), status=error.http_status, headers=headers)


def _get_error_type(status: int) -> str:
    if status == RATE_LIMIT_STATUS:
        return "rate_limit_error"
    return "invalid_request_error" if status < FIRST_SERVER_ERROR_STATUS else "server_error"


__all__ = ["build_error_body", "build_error_response"]
