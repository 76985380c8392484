"""Callers of the fault run: they send bookings, quotes, streams and poison, and check responses."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from bench.fault_fleet import ROUTERS
from boragetiller.standin.engine_text import build_expected_text
from boragetiller.standin.service import compute_confirmation
from boragetiller.status_verdicts import implies_not_run
from tests.fleet import KEY, MODEL

if TYPE_CHECKING:
    from random import Random

    from bench.fault_fleet import FaultFleet

BOOKING_PATH = "/services/app/book"
CHAT_PATH = "/v1/chat/completions"
REQUEST_TIMEOUT_S = 40.0
MAX_ATTEMPTS = 4
RETRY_HORIZON_S = 9.0  # below retry_horizon_ms of the fleet, 10 s
REPEAT_SHARE = 0.3
RETRY_DELAY_S = 0.3
STREAM_END = "[DONE]"


@attrs.frozen(kw_only=True)
class CallerResponse:
    """Response as a caller received it; `status` is 0 if the connection failed."""

    status: int
    request_id: str = ""
    verdict: str = ""
    code: str = ""
    body: str = ""
    complete: bool = True

    @property
    def ok(self) -> bool:
        """:return: whether a complete successful response arrived"""
        return self.status == 200 and self.complete


@attrs.define
class RunRecord:
    """Counts of a run, and the violations that it found."""

    operations: Counter[str] = attrs.Factory(Counter)
    answered: Counter[str] = attrs.Factory(Counter)
    codes: Counter[str] = attrs.Factory(Counter)
    violations: list[str] = attrs.Factory(list)
    keys: list[str] = attrs.Factory(list)
    not_run: list[str] = attrs.Factory(list)  # request ids
    not_run_of_executed_key: int = 0  # another attempt of the key had run
    poison_requests: int = 0


class CallerWorkload:
    """Sends operations to the routers and checks the responses."""

    def __init__(self, fleet: FaultFleet, rng: Random, session: aiohttp.ClientSession) -> None:
        """
        Create the callers.

        :param fleet: the routers, and the backend servers whose ledgers are checked
        :param rng: seeded generator of kinds, retries and routers
        :param session: HTTP client
        """
        self.record = RunRecord()
        self._fleet = fleet
        self._rng = rng
        self._session = session
        self._number = 0
        self._first_sent_s: dict[str, float] = {}  # monotonic time of the first attempt, by key
        self.pending_repeats: set[asyncio.Task[None]] = set()

    async def run_operation(self) -> None:
        """Run one operation of a random kind."""
        self._number += 1
        number = self._number
        random_share = self._rng.random()
        if random_share < 0.5:
            await self._run_booking(f"booking-{number}")
        elif random_share < 0.8:
            await self._send_completion("quote", number, stream=False)
        else:
            await self._send_completion("stream", number, stream=True)

    async def send_poison(self) -> None:
        """Send a poison body through both routers at the same time, and again after a delay."""
        self.record.poison_requests += 1
        content = f"POISON {self.record.poison_requests}"
        body = {"model": MODEL, "messages": [{"role": "user", "content": content}]}
        for _ in range(2):
            await asyncio.gather(*(self._post(CHAT_PATH, body, router) for router in ROUTERS))
            await asyncio.sleep(RETRY_DELAY_S)

    async def _run_booking(self, key: str) -> None:
        self.record.operations["booking"] += 1
        self.record.keys.append(key)
        if self._rng.random() < 0.15:
            results = await asyncio.gather(*(self._send_booking(key) for _ in range(2)))
            served = any(results)
        else:
            served = await self._send_booking(key)
        self.record.answered["booking"] += served
        if self._rng.random() < REPEAT_SHARE:
            delay_s = self._rng.uniform(0.5, 5.0)
            self._schedule_repeat(key, delay_s)

    def _schedule_repeat(self, key: str, delay_s: float) -> None:
        """Send a key again after a delay, as a caller that received no response."""

        async def send_again() -> None:
            await asyncio.sleep(delay_s)
            if time.monotonic() - first_sent_s < RETRY_HORIZON_S:
                await self._send_booking(key)

        first_sent_s = self._first_sent_s.get(key, 0.0)
        task = asyncio.create_task(send_again())
        self.pending_repeats.add(task)
        task.add_done_callback(self.pending_repeats.discard)

    async def _send_booking(self, key: str) -> bool:
        body = {"booking": key}
        expected = compute_confirmation("POST", "/book", json.dumps(body).encode())
        first_sent_s = self._first_sent_s.setdefault(key, time.monotonic())
        for _ in range(MAX_ATTEMPTS):
            if time.monotonic() - first_sent_s > RETRY_HORIZON_S:
                return False
            response = await self._post(BOOKING_PATH, body, **{"Idempotency-Key": key})
            if response.ok:
                if json.loads(response.body).get("confirmation") != expected:
                    self.record.violations.append(f"{key}: unexpected response {response.body}")
                return True
            if response.verdict == "not_run" and self._fleet.count_runs_of_key(key):
                self.record.not_run_of_executed_key += 1
            if response.code in ("outcome_unknown", "answer_not_kept"):
                return False
            await asyncio.sleep(RETRY_DELAY_S)
        return False

    async def _send_completion(self, kind: str, number: int, *, stream: bool) -> None:
        self.record.operations[kind] += 1
        content = f"{kind} {number}: gauge of sheet {number}?"
        body: dict[str, Any] = {
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": 40 if stream else 8,
        }
        if stream:
            body["stream"] = True
        response = await self._post(CHAT_PATH, body, **{"X-Request-Class": "quote"})
        if not response.ok:
            return
        text = _parse_stream(response.body) if stream else _parse_completion(response.body)
        if text is None:
            self.record.codes["cut_off"] += 1
            return
        if text != build_expected_text(body):
            self.record.violations.append(f"{kind} {number}: unexpected response {text[:80]!r}")
        self.record.answered[kind] += 1

    async def _post(
        self, path: str, body: dict[str, Any], router: str | None = None, **headers: str
    ) -> CallerResponse:
        name = router or self._rng.choice(ROUTERS)
        response = await self._exchange(self._fleet.caller_urls[name] + path, body, headers)
        if not response.ok:
            self.record.codes[response.code or f"status_{response.status}"] += 1
        if response.verdict == "not_run" or implies_not_run(response.status):
            self.record.not_run.append(response.request_id)
        return response

    async def _exchange(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> CallerResponse:
        request_headers = {"Authorization": f"Bearer {KEY}", **headers}
        response_head: dict[str, Any] = {"status": 0}
        try:
            async with self._session.post(url, json=body, headers=request_headers) as response:
                response_head = _get_response_head(response)
                text = await response.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return CallerResponse(**response_head, code=type(error).__name__, complete=False)
        return CallerResponse(
            **response_head,
            code=_parse_error_code(text) if response.status != 200 else "",
            body=text,
        )


def check_execution_ledgers(fleet: FaultFleet, record: RunRecord) -> None:
    """
    Compare the responses with what the backend servers executed.

    :param fleet: the backend servers with their ledgers
    :param record: responses of the run; receives the violations
    """
    for key in record.keys:
        if fleet.count_runs_of_key(key) > 1:
            record.violations.append(f"{key} ran {fleet.count_runs_of_key(key)} times")
    for request_id in record.not_run:
        if request_id and fleet.count_runs_of_request(request_id):
            record.violations.append(f"{request_id} ran although it was reported as not run")
    crashes, limit = fleet.count_engine_crashes(), 2 * record.poison_requests
    if crashes > limit:
        record.violations.append(f"{crashes} crashes by {record.poison_requests} poison requests")


def _get_response_head(response: aiohttp.ClientResponse) -> dict[str, Any]:
    return {
        "status": response.status,
        "request_id": response.headers.get("x-request-id", ""),
        "verdict": response.headers.get("x-verdict", ""),
    }


def _parse_error_code(text: str) -> str:
    try:
        return str(json.loads(text)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "no_code"


def _parse_completion(text: str) -> str | None:
    choices = json.loads(text).get("choices")
    return choices[0]["message"]["content"] if choices else None


def _parse_stream(text: str) -> str | None:
    events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
    if not events or events[-1] != STREAM_END:
        return None
    parts = [json.loads(event) for event in events[:-1]]
    if any("error" in part for part in parts):
        return None
    return "".join(part["choices"][0]["delta"].get("content") or "" for part in parts)


__all__ = [
    "REQUEST_TIMEOUT_S",
    "CallerResponse",
    "CallerWorkload",
    "RunRecord",
    "check_execution_ledgers",
]
