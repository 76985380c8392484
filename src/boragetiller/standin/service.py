"""Stand-in plain service that records each executed call in a ledger."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter

import attrs
import fire
from aiohttp import web

from boragetiller.standin.web_server import (
    ListenAddress,
    WebServer,
    reset_connection,
    serve_until_signal,
)

MAX_BODY_BYTES = 8_000_000
ETAG = '"stand-in"'


@attrs.define(kw_only=True)
class ServiceFaults:
    """Faults of the service; each counter or list shrinks by one with each call that it affects."""

    delay_ms: int = 0
    reset_before_run: int = 0  # calls that do not run; the connection is reset
    reset_before_first_byte: int = 0  # calls that run and get no response
    reset_after_first_byte: int = 0  # calls that run; a reset cuts off the response
    truncate: int = 0  # calls that run; the response ends before its Content-Length
    refusals_after_run: list[int] = attrs.Factory(list)  # statuses of responses to calls that run


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """Settings of a stand-in plain service."""

    listen: ListenAddress = ListenAddress()
    delay_ms: int = 0


@attrs.define
class ServiceLedger:
    """Counts of executed calls by idempotency key, request ID and SHA-256 of the body."""

    by_key: Counter[str] = attrs.Factory(Counter)
    by_request_id: Counter[str] = attrs.Factory(Counter)
    by_body: Counter[str] = attrs.Factory(Counter)


class ServiceServer:
    """HTTP server of one plain service; it does not deduplicate idempotency keys."""

    def __init__(self, settings: ServiceSettings) -> None:
        """:param settings: address and delay"""
        self.ledger = ServiceLedger()
        self.last_headers: dict[str, str] = {}
        self.faults = ServiceFaults(delay_ms=settings.delay_ms)
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/ledger", self._get_ledger)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_route("*", "/{path:.*}", self._handle_call)
        self.web = WebServer(app, settings.listen)

    @property
    def url(self) -> str:
        """:return: base URL"""
        return self.web.url

    async def start(self) -> None:
        """Start serving."""
        await self.web.start()

    async def close(self) -> None:
        """Stop serving."""
        await self.web.close()

    async def _handle_call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.last_headers = dict(request.headers)
        if self._consume_fault("reset_before_run"):
            reset_connection(request.transport)
            return web.Response(status=500)
        self._record_call(request, body)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1_000)
        if self._consume_fault("reset_before_first_byte"):
            reset_connection(request.transport)
            return web.Response(status=500)
        if self.faults.refusals_after_run:
            status = self.faults.refusals_after_run.pop(0)
            return web.Response(status=status, text="busy", headers={"Retry-After": "1"})
        full_response = web.json_response(
            {
                "method": request.method,
                "path": request.path_qs,
                "confirmation": compute_confirmation(request.method, request.path_qs, body),
            },
            headers={"ETag": ETAG},
        )
        if self._consume_fault("reset_after_first_byte"):
            response = await _send_partial_response(request, full_response)
            reset_connection(request.transport)
            return response
        if self._consume_fault("truncate"):
            response = await _send_partial_response(request, full_response)
            if request.transport is not None:
                request.transport.close()
            return response
        return full_response

    def _record_call(self, request: web.Request, body: bytes) -> None:
        if key := request.headers.get("Idempotency-Key"):
            self.ledger.by_key[key] += 1
        if request_id := request.headers.get("X-Request-Id"):
            self.ledger.by_request_id[request_id] += 1
        self.ledger.by_body[hashlib.sha256(body).hexdigest()] += 1

    def _consume_fault(self, name: str) -> bool:
        remaining = getattr(self.faults, name)
        if remaining:
            setattr(self.faults, name, remaining - 1)
        return bool(remaining)

    async def _get_ledger(self, _: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(self.ledger))

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.faults = attrs.evolve(self.faults, **await request.json())
        except (TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(attrs.asdict(self.faults))


async def _send_partial_response(
    request: web.Request, full_response: web.Response
) -> web.StreamResponse:
    payload = full_response.body
    assert isinstance(payload, bytes)
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    response.content_length = len(payload)
    await response.prepare(request)
    await response.write(payload[: len(payload) // 2])
    return response


def compute_confirmation(method: str, path: str, body: bytes) -> str:
    """
    Compute the confirmation that the response to a call must have.

    :param method: HTTP method
    :param path: path and query
    :param body: body of the call
    :return: first 16 hex digits of a SHA-256 digest
    """
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()[:16]


def main(*, port: int = 0, address: str = "127.0.0.1", delay_ms: int = 0) -> None:
    """
    Run a stand-in plain service as a process until SIGINT or SIGTERM.

    :param port: port to listen on; 0 picks a free one; the base URL is printed
    :param address: IP address to listen on
    :param delay_ms: duration of each call in milliseconds
    """
    listen = ListenAddress(address=address, port=port)
    asyncio.run(_run(ServiceSettings(listen=listen, delay_ms=delay_ms)))


async def _run(settings: ServiceSettings) -> None:
    await serve_until_signal(ServiceServer(settings))


if __name__ == "__main__":
    fire.Fire(main)

__all__ = [
    "ServiceFaults",
    "ServiceLedger",
    "ServiceServer",
    "ServiceSettings",
    "compute_confirmation",
]
