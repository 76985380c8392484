"""Traffic with a part of a prompt that crashes engines, and the check of BUDGET for it.

Rule BUDGET: no more than three requests with a part that crashes engines reach engines, sent by
machines in touch later than contact-ms after the fifth crash.
"""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from standins import CONTACT_S, KEY, LEDGER, Site, call, config

DEADLY, SHARED = "d00d0d00", "5c1e07a2"
DEADLY_EVERY_S = 2.0  # one request, at one machine
SOUND_EVERY_S = 0.25
BACK_AFTER_S = 3.0
ALLOWED = 3


async def play(
    case: Path, length_s: float, kills_s: tuple[float, ...], seeds: list[str] | None
) -> bool:
    """Play the traffic; all routers are killed at `kills_s`; `seeds` None for the real ones."""
    site = Site(case)
    record, rng = site.record, random.Random(33)
    runs: list[tuple[float, str, bool]] = []  # deadly requests at engines: time, router, in touch
    crashes: list[float] = []
    sender: dict[str, object] = {}  # attempt id -> router
    sound = {"sent": 0, "whole": 0}

    async def serve(engine, request, writer) -> None:
        attempt = request.headers["x-boragetiller-attempt-id"]
        deadly = DEADLY in request.headers.get("x-boragetiller-prefix-hash", "")
        router = sender[attempt]
        record.log("reaches", engine=engine.id, attempt=attempt, deadly=deadly, router=router.name)
        if deadly:
            runs.append((record.now(), router.name, router.in_touch()))
        await asyncio.sleep(0.15 + 0.05 * engine.running)
        engine.begin_stream(request, writer)
        engine.send_event(writer, 0)
        await writer.drain()
        if deadly:  # it crashes each engine that begins to write an answer on it
            await asyncio.sleep(0.02)
            if engine.up:
                crashes.append(record.now())
                engine.crash(BACK_AFTER_S)
            return
        for number in range(1, 20):
            await asyncio.sleep(0.06)
            engine.send_event(writer, number)
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def send(router, number: int, deadly: bool) -> None:
        attempt = f"{rng.getrandbits(64):016x}"
        sender[attempt] = router
        parts = [f"{SHARED}:13300"] + ([f"{DEADLY}:800"] if deadly else [])
        parts.append(f"{rng.getrandbits(32):08x}:{200 + number % 50}")
        headers = {
            "X-Boragetiller-Attempt-Id": attempt,
            "X-Boragetiller-Model": "m",
            "X-Boragetiller-Token-Counts": "17020,80",
            "X-Boragetiller-Prefix-Hash": ",".join(parts),
            "X-Boragetiller-Deadline-Ms": "10000",
            "Authorization": f"Token {KEY}",
        }
        body = f"prompt {number} {attempt}".encode()
        answer = await call(router.front, "POST", "/ledger/2f", headers, body, 10.0)
        record.log(
            "answered",
            attempt=attempt,
            deadly=deadly,
            router=router.name,
            status=answer.status,
            whole=answer.complete,
        )
        if not deadly:
            sound["sent"] += 1
            sound["whole"] += answer.status == 200 and answer.complete

    try:
        await site.start_store()
        site.store.put("op/config", config(7, [LEDGER], ["tiller-pool"], ["tiller-pool"]))
        site.add_engines("tiller-pool", 5, "t", serve)
        site.add_routers(4)
        if seeds is None:
            seeds = [f"127.0.0.1:{router.control}" for router in site.routers[:3]]
        for router in site.routers:
            router.write_settings(seeds)
        await site.start()
        await site.wait_ready()
        await asyncio.sleep(CONTACT_S)
        begin = record.now()
        record.log("traffic-begins", kills=len(kills_s), seeds=",".join(seeds))
        tasks: list[asyncio.Task] = []

        async def traffic(every_s: float, deadly: bool) -> None:
            number = 0
            while record.now() - begin < length_s:
                router = rng.choice(site.routers)
                tasks.append(asyncio.create_task(send(router, number, deadly)))
                number += 1
                await asyncio.sleep(every_s)

        async def kills() -> None:
            for at in kills_s:
                await asyncio.sleep(max(0.0, begin + at - record.now()))
                record.log("herd-kill")
                for router in site.routers:
                    router.signal(signal.SIGKILL)

        running = [traffic(SOUND_EVERY_S, False), traffic(DEADLY_EVERY_S, True)]
        await asyncio.gather(*running, kills())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await site.close()
    fifth = crashes[4] if len(crashes) >= 5 else None
    late = [run for run in runs if fifth is not None and run[0] > fifth + CONTACT_S and run[2]]
    print(f"engine crashes by the part: {len(crashes)}; the fifth at {fifth}")
    print(f"requests with the part at engines, later than contact-ms after it, from machines in")
    print(f"touch: {len(late)} (more than {ALLOWED} break BUDGET)")
    print(f"sound streams: {sound['sent']} sent, {sound['whole']} answered whole")
    return len(late) <= ALLOWED

