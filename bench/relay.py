"""
Measure what router and agent add to a request, beside a bare two-hop relay in the same run.

Command::

    python -m bench.relay      # about a minute; real processes on loopback
"""

from __future__ import annotations

import asyncio
import os
import statistics
import time
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import fire

from bench.fleet import ProcessFleet
from tests.fleet import KEY, MODEL, build_sample_records

if TYPE_CHECKING:
    from bench.fleet import FleetProcess

CHAT = "/v1/chat/completions"
ENGINE_FLAGS = ("--step_ms=2", "--max_batch=64")
CONCURRENT_REQUESTS = 8
SHORT_TOKENS = 8
READY_CHECK_S = 0.1
TICK_MS = 1_000 / os.sysconf("SC_CLK_TCK")
TARGET_ADDED_MS = 2.0
TARGET_RATIO = 2.0


@attrs.frozen(kw_only=True)
class Cost:
    """Processor time in ms of a run with short answers and of one with long answers."""

    short_ms: float
    long_ms: float
    requests: int
    additional_tokens: int  # of a long answer

    @property
    def token_us(self) -> float:
        """:return: processor time of one relayed token in microseconds"""
        return (self.long_ms - self.short_ms) / (self.requests * self.additional_tokens) * 1_000

    @property
    def request_ms(self) -> float:
        """:return: processor time of one request without its tokens in milliseconds"""
        return self.short_ms / self.requests - SHORT_TOKENS * self.token_us / 1_000


def main(latency_requests: int = 300, requests: int = 400, tokens: int = 136) -> None:
    """
    Run the whole measurement and print it.

    :param latency_requests: requests one after another on each path
    :param requests: requests of each run that measures processor time, eight at once
    :param tokens: tokens of a long answer
    """
    asyncio.run(_measure(latency_requests, requests, tokens))


async def _measure(latency_requests: int, requests: int, tokens: int) -> None:
    fleet = ProcessFleet()
    try:
        paths = await _start(fleet)
        async with aiohttp.ClientSession(headers={"Authorization": f"Bearer {KEY}"}) as session:
            for url in paths.values():
                await _run_requests(session, url, 20, SHORT_TOKENS)
            await _measure_latency(session, paths, latency_requests)
            measured_processes = [fleet.processes["router"], fleet.processes["agent"]]
            product = await _measure_cost(
                session, paths["router"], measured_processes, requests, tokens
            )
            bare_hops = [fleet.processes["hop-1"], fleet.processes["hop-2"]]
            bare = await _measure_cost(session, paths["bare"], bare_hops, requests, tokens)
    finally:
        await fleet.close()
    _print_cost(product, bare)


async def _start(fleet: ProcessFleet) -> dict[str, str]:
    await fleet.start()
    engine = await fleet.start_standin("engine", "engine", *ENGINE_FLAGS)
    await fleet.start_agent("agent", "pool", engine)
    await fleet.apply(build_sample_records(("agent",), ()))
    router = await fleet.start_router("router")
    second = await fleet.start_module("hop-2", "bench.bare_relay", engine.url)
    first = await fleet.start_module("hop-1", "bench.bare_relay", second.url)
    await _wait_served(router.url)
    return {"direct": engine.url, "router": router.url, "bare": first.url}


async def _wait_served(url: str) -> None:
    async with aiohttp.ClientSession(headers={"Authorization": f"Bearer {KEY}"}) as session:
        while await _get_status(session, url) != 200:  # noqa: ASYNC110
            await asyncio.sleep(READY_CHECK_S)


async def _get_status(session: aiohttp.ClientSession, url: str) -> int:
    async with session.post(url + CHAT, json=_build_body(0, 1)) as response:
        await response.read()
        return response.status


async def _measure_latency(
    session: aiohttp.ClientSession, paths: dict[str, str], count: int
) -> None:
    samples: dict[str, list[float]] = {name: [] for name in paths}
    for number in range(count):
        for name, url in paths.items():
            samples[name].append(await _first_token_ms(session, url, number))
    direct = _compute_quantiles(samples["direct"])
    print("first token, ms     median    p95    added at the median   added at p95")
    for name, values in samples.items():
        median, p95 = _compute_quantiles(values)
        added = f"{median - direct[0]:12.2f} {p95 - direct[1]:18.2f}"
        print(f"{name:16} {median:9.2f} {p95:7.2f} {added}")
    met = (
        "met"
        if _compute_quantiles(samples["router"])[0] - direct[0] < TARGET_ADDED_MS
        else "missed"
    )
    print(f"aim, under {TARGET_ADDED_MS:.0f} ms added at the median: {met}")


async def _first_token_ms(session: aiohttp.ClientSession, url: str, number: int) -> float:
    begin = time.perf_counter()
    async with session.post(url + CHAT, json=_build_body(number, 2)) as response:
        await response.content.readuntil(b"\n\n")
        elapsed_ms = (time.perf_counter() - begin) * 1_000
        await response.read()
    return elapsed_ms


async def _measure_cost(
    session: aiohttp.ClientSession,
    url: str,
    measured_processes: list[FleetProcess],
    requests: int,
    tokens: int,
) -> dict[str, Cost]:
    used: dict[str, list[float]] = {member.name: [] for member in measured_processes}
    for length in (SHORT_TOKENS, tokens):
        before = {member.name: member.cpu_ticks for member in measured_processes}
        await _run_requests(session, url, requests, length)
        for member in measured_processes:
            used[member.name].append((member.cpu_ticks - before[member.name]) * TICK_MS)
    return {
        name: Cost(
            short_ms=short_ms,
            long_ms=long_ms,
            requests=requests,
            additional_tokens=tokens - SHORT_TOKENS,
        )
        for name, (short_ms, long_ms) in used.items()
    }


def _add_costs(costs: dict[str, Cost]) -> Cost:
    first = next(iter(costs.values()))
    return attrs.evolve(
        first,
        short_ms=sum(cost.short_ms for cost in costs.values()),
        long_ms=sum(cost.long_ms for cost in costs.values()),
    )


async def _run_requests(
    session: aiohttp.ClientSession, url: str, requests: int, tokens: int
) -> None:
    slots = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def call(number: int) -> None:
        async with slots, session.post(url + CHAT, json=_build_body(number, tokens)) as response:
            content = await response.read()
        found = content.count(b'"content"')
        if found != tokens or not content.endswith(b"[DONE]\n\n"):
            raise RuntimeError(f"{url}: {response.status}, {found} of {tokens} tokens")

    await asyncio.gather(*(call(number) for number in range(requests)))


def _build_body(number: int, tokens: int) -> dict[str, Any]:
    prompt = f"question {number}: which gauge has the offcut?"
    messages = [{"role": "user", "content": prompt}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": True}


def _compute_quantiles(values: list[float]) -> tuple[float, float]:
    return statistics.median(values), statistics.quantiles(values, n=20)[-1]


def _print_cost(product_by_name: dict[str, Cost], bare_by_name: dict[str, Cost]) -> None:
    product, bare = _add_costs(product_by_name), _add_costs(bare_by_name)
    print("processor time       per request, ms   per relayed token, us")
    rows = {**product_by_name, "router + agent": product, "bare two hops": bare}
    for name, cost in rows.items():
        print(f"{name:16} {cost.request_ms:15.2f} {cost.token_us:20.1f}")
    ratio = product.token_us / bare.token_us
    met = "met" if ratio <= TARGET_RATIO else "missed"
    print(f"per token {ratio:.2f}x of the bare relay; aim, within {TARGET_RATIO:.0f}x: {met}")
    print(f"per request {product.request_ms / bare.request_ms:.2f}x of the bare relay")


if __name__ == "__main__":
    fire.Fire(main)

__all__ = ["Cost", "main"]
