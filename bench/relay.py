"""
Measure the latency and processor time that router and agent add to a request.

The baseline is a relay of two hops that only forwards bytes, measured in the same run. Command::

    python -m bench.relay      # about a minute; processes on loopback
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
READY_POLL_INTERVAL_S = 0.1
CPU_TICK_MS = 1_000 / os.sysconf("SC_CLK_TCK")
TARGET_ADDED_MS = 2.0
TARGET_TOKEN_COST_RATIO = 2.0


@attrs.frozen(kw_only=True)
class ProcessorTime:
    """Processor time of one run with short responses and one with long responses."""

    short_ms: float
    long_ms: float
    requests: int
    extra_tokens: int  # of a long response, beyond those of a short one

    @property
    def token_us(self) -> float:
        """:return: processor time per relayed token in microseconds"""
        return (self.long_ms - self.short_ms) / (self.requests * self.extra_tokens) * 1_000

    @property
    def request_ms(self) -> float:
        """:return: processor time per request without its tokens in milliseconds"""
        return self.short_ms / self.requests - SHORT_TOKENS * self.token_us / 1_000


def main(latency_requests: int = 300, requests: int = 400, tokens: int = 136) -> None:
    """
    Measure latency and processor time on each path and print them.

    :param latency_requests: consecutive requests on each path
    :param requests: requests of each run that measures processor time, eight concurrently
    :param tokens: tokens of a long response
    """
    asyncio.run(_measure(latency_requests, requests, tokens))


async def _measure(latency_requests: int, requests: int, tokens: int) -> None:
    fleet = ProcessFleet()
    try:
        paths = await _start_fleet(fleet)
        async with aiohttp.ClientSession(headers={"Authorization": f"Bearer {KEY}"}) as session:
            for url in paths.values():
                await _run_requests(session, url, 20, SHORT_TOKENS)
            await _measure_latency(session, paths, latency_requests)
            relay_processes = [fleet.processes["router"], fleet.processes["agent"]]
            product = await _measure_cost(
                session, paths["router"], relay_processes, requests, tokens
            )
            bare_hops = [fleet.processes["hop-1"], fleet.processes["hop-2"]]
            bare = await _measure_cost(session, paths["bare"], bare_hops, requests, tokens)
    finally:
        await fleet.close()
    _print_costs(product, bare)


async def _start_fleet(fleet: ProcessFleet) -> dict[str, str]:
    await fleet.start()
    engine = await fleet.start_standin("engine", "engine", *ENGINE_FLAGS)
    await fleet.start_agent("agent", "pool", engine)
    await fleet.apply_records(build_sample_records(("agent",), ()))
    router = await fleet.start_router("router")
    second = await fleet.start_module("hop-2", "bench.bare_relay", engine.url)
    first = await fleet.start_module("hop-1", "bench.bare_relay", second.url)
    await _wait_until_served(router.url)
    return {"direct": engine.url, "router": router.url, "bare": first.url}


async def _wait_until_served(url: str) -> None:
    async with aiohttp.ClientSession(headers={"Authorization": f"Bearer {KEY}"}) as session:
        while await _get_status(session, url) != 200:  # noqa: ASYNC110
            await asyncio.sleep(READY_POLL_INTERVAL_S)


async def _get_status(session: aiohttp.ClientSession, url: str) -> int:
    async with session.post(url + CHAT, json=_build_request(0, 1)) as response:
        await response.read()
        return response.status


async def _measure_latency(
    session: aiohttp.ClientSession, paths: dict[str, str], count: int
) -> None:
    samples: dict[str, list[float]] = {name: [] for name in paths}
    for number in range(count):
        for name, url in paths.items():
            samples[name].append(await _measure_first_token_ms(session, url, number))
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
    print(f"target, under {TARGET_ADDED_MS:.0f} ms added at the median: {met}")


async def _measure_first_token_ms(session: aiohttp.ClientSession, url: str, number: int) -> float:
    started_s = time.perf_counter()
    async with session.post(url + CHAT, json=_build_request(number, 2)) as response:
        await response.content.readuntil(b"\n\n")
        elapsed_ms = (time.perf_counter() - started_s) * 1_000
        await response.read()
    return elapsed_ms


async def _measure_cost(
    session: aiohttp.ClientSession,
    url: str,
    relay_processes: list[FleetProcess],
    requests: int,
    tokens: int,
) -> dict[str, ProcessorTime]:
    used_ms: dict[str, list[float]] = {process.name: [] for process in relay_processes}
    for length in (SHORT_TOKENS, tokens):
        before = {process.name: process.cpu_ticks for process in relay_processes}
        await _run_requests(session, url, requests, length)
        for process in relay_processes:
            used_ms[process.name].append((process.cpu_ticks - before[process.name]) * CPU_TICK_MS)
    return {
        name: ProcessorTime(
            short_ms=short_ms,
            long_ms=long_ms,
            requests=requests,
            extra_tokens=tokens - SHORT_TOKENS,
        )
        for name, (short_ms, long_ms) in used_ms.items()
    }


def _sum_costs(costs: dict[str, ProcessorTime]) -> ProcessorTime:
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
        async with slots, session.post(url + CHAT, json=_build_request(number, tokens)) as response:
            content = await response.read()
        token_count = content.count(b'"content"')
        if token_count != tokens or not content.endswith(b"[DONE]\n\n"):
            raise RuntimeError(
                f"{url}: status {response.status}, got {token_count} of {tokens} tokens"
            )

    await asyncio.gather(*(call(number) for number in range(requests)))


def _build_request(number: int, tokens: int) -> dict[str, Any]:
    prompt = f"question {number}: which gauge has the offcut?"
    messages = [{"role": "user", "content": prompt}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": True}


def _compute_quantiles(values: list[float]) -> tuple[float, float]:
    return statistics.median(values), statistics.quantiles(values, n=20)[-1]


def _print_costs(
    product_by_name: dict[str, ProcessorTime], bare_by_name: dict[str, ProcessorTime]
) -> None:
    product, bare = _sum_costs(product_by_name), _sum_costs(bare_by_name)
    print("processor time       per request, ms   per relayed token, us")
    rows = {**product_by_name, "router + agent": product, "bare two hops": bare}
    for name, cost in rows.items():
        print(f"{name:16} {cost.request_ms:15.2f} {cost.token_us:20.1f}")
    ratio = product.token_us / bare.token_us
    met = "met" if ratio <= TARGET_TOKEN_COST_RATIO else "missed"
    print(
        f"per token {ratio:.2f}x of the bare relay; "
        f"target, within {TARGET_TOKEN_COST_RATIO:.0f}x: {met}"
    )
    print(f"per request {product.request_ms / bare.request_ms:.2f}x of the bare relay")


if __name__ == "__main__":
    fire.Fire(main)

__all__ = ["ProcessorTime", "main"]
