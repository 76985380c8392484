"""Reading of bodies into memory as far as the budget has room."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.caller_limits.budget import current_connection
from boragetiller.clock import SystemClock
from boragetiller.errors import RequestTimeout, RequestTooLarge
from boragetiller.systems.slow_callers.unread_time import record_caller_wait, record_server_wait

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import StreamReader, web

    from boragetiller.caller_limits.budget import Holder
    from boragetiller.caller_limits.connection import BudgetedRequestHandler
    from boragetiller.systems.slow_callers.unread_time import UnreadTime

CLOCK = SystemClock()
FIRST_BYTES = 65_536  # reserved for a body whose size is not known
ORDINARY_BODY_BYTES = 262_144  # ordinary bodies have at most 100 KB
UNREAD_BYTES = 65_536  # received and not yet a part of the body, while it arrives
MAX_WAIT_S = 3.0  # for room; a caller gives up, and another router may have room


async def read_body(request: web.BaseRequest, max_bytes: int, timeout_s: float) -> bytes:
    """
    Read the body of a request.

    What is reserved for it stays reserved until the response has been written.

    :param request: the request
    :param max_bytes: size limit
    :param timeout_s: time limit in seconds
    :return: the body
    :raises RequestTooLarge: the body exceeds the limit, or is announced to
    :raises RequestTimeout: the body did not arrive in time
    :raises CallerBudgetExhausted: the process has no room for it
    """
    if not request.body_exists:
        return b""
    if (request.content_length or 0) > max_bytes:
        raise RequestTooLarge
    connection: BudgetedRequestHandler = request.protocol  # type: ignore[assignment]
    try:
        async with asyncio.timeout(timeout_s):
            return await _collect(connection, request, max_bytes)
    except TimeoutError as error:
        raise RequestTimeout from error


async def _collect(
    connection: BudgetedRequestHandler, request: web.BaseRequest, max_bytes: int
) -> bytes:
    reserved = request.content_length or min(FIRST_BYTES, max_bytes)
    unread = 0 if request.content.is_eof() else UNREAD_BYTES
    await connection.budget.reserve(connection, reserved + unread, MAX_WAIT_S)
    connection.start_body()
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            size = len(body) + len(chunk)
            if size > max_bytes:
                raise RequestTooLarge
            if size > reserved:
                wanted = _choose_reservation(size, max_bytes)
                await connection.budget.reserve(connection, wanted - reserved, MAX_WAIT_S)
                reserved = wanted
            body += chunk
    except BaseException:
        body.clear()  # the traceback would keep it until the caller has got its refusal
        raise
    connection.finish_body()
    connection.budget.release(connection, reserved + unread - len(body))
    return bytes(body)


async def read_response(
    content: StreamReader, length: int | None, max_bytes: int, unread: UnreadTime
) -> bytes | None:
    """
    Read the body of a server's response for the caller whose request is being handled.

    A response exists twice while it is written, so twice its size is reserved. It waits until
    there is room, at the longest until the time limit of the request.

    :param content: the body
    :param length: its announced size, None if unknown
    :param max_bytes: size limit
    :param unread: waits for room are recorded in it
    :return: the body, None if it exceeds the limit
    """
    connection = current_connection.get()
    unread.waits_for_room = True
    reserved = min(length or 0, max_bytes)
    body = bytearray()
    if connection is not None and reserved:
        await _reserve(connection, 2 * reserved, unread)
    chunks = content.iter_any()
    while (chunk := await read_next(chunks, unread)) is not None:
        size = len(body) + len(chunk)
        if size > max_bytes:
            return None
        if size > reserved and connection is not None:
            wanted = _choose_reservation(size, max_bytes)
            await _reserve(connection, 2 * (wanted - reserved), unread)
            reserved = wanted
        body += chunk
    if connection is not None:
        connection.budget.release(connection, 2 * (reserved - len(body)))
    return bytes(body)


async def read_next(chunks: AsyncIterator[bytes], unread: UnreadTime) -> bytes | None:
    """
    Read the next part of a server's response.

    :param chunks: parts of the response as they arrive
    :param unread: the wait for the part is recorded in it
    :return: the part, None at the end
    """
    began_ms = CLOCK.now_ms()
    try:
        return await anext(chunks, None)
    finally:
        record_server_wait(unread, CLOCK.now_ms() - began_ms)


async def _reserve(connection: Holder, size: int, unread: UnreadTime) -> None:
    began_ms = CLOCK.now_ms()
    unread.is_blocked = True  # stays so if the attempt ends meanwhile
    await connection.budget.reserve(connection, size, None)
    unread.is_blocked = False
    record_caller_wait(unread, CLOCK.now_ms() - began_ms)


def _choose_reservation(size: int, max_bytes: int) -> int:
    """
    Choose what to reserve for a body of unknown size.

    One that outgrows an ordinary body gets all that it may need at once. Callers that each have a
    part of the budget could otherwise all wait for one another.
    """
    return min(2 * size, max_bytes) if size <= ORDINARY_BODY_BYTES // 2 else max_bytes


__all__ = ["read_body", "read_next", "read_response"]
