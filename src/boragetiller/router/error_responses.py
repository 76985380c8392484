"""Error responses in the format of the OpenAI API, with code and verdict."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from boragetiller.status_verdicts import choose_truthful_status
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from boragetiller.errors import BoragetillerError

FIRST_SERVER_ERROR_STATUS = 500
RATE_LIMIT_STATUS = 429
NO_RETRY_HEADERS = {"x-should-retry": "false"}  # clients of the OpenAI API heed it


def build_error_body(error: BoragetillerError) -> dict[str, Any]:
    """
    Build the body of an error response as OpenAI clients expect it.

    :param error: the error
    :return: JSON object with message, type, code and verdict
    """
    return {
        "error": {
            "message": str(error),
            "type": _get_error_type(choose_truthful_status(error.http_status, error.verdict)),
            "param": None,
            "code": error.code,
            "verdict": error.verdict.value,
        }
    }


def build_error_response(
    error: BoragetillerError, request_id: str, *, may_repeat: bool = True
) -> web.Response:
    """
    Build an error response.

    A status that tells the caller that its request was not run is sent only with that verdict.

    :param error: the error
    :param request_id: id of the request that the caller receives
    :param may_repeat: whether the caller may repeat the request even if it ran
    :return: response, with `Retry-After` if the error has a retry delay
    """
    may_repeat = may_repeat or error.verdict is Verdict.NOT_RUN
    headers = {"x-request-id": request_id, "x-verdict": error.verdict.value}
    if not may_repeat:
        headers.update(NO_RETRY_HEADERS)
    elif error.retry_after_s is not None:
        headers["Retry-After"] = str(error.retry_after_s)
    status = choose_truthful_status(error.http_status, error.verdict)
    return web.json_response(build_error_body(error), status=status, headers=headers)


def _get_error_type(status: int) -> str:
    if status == RATE_LIMIT_STATUS:
        return "rate_limit_error"
    return "invalid_request_error" if status < FIRST_SERVER_ERROR_STATUS else "server_error"


__all__ = ["NO_RETRY_HEADERS", "build_error_body", "build_error_response"]
