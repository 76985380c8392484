"""One entry of another writer under `servers/` that can't be read.

Rule DRAIN: no request reaches an engine later than drain-ms after the store has accepted that the
engine is draining, sent on by machines in touch. The other entries hold.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import CONTACT_S, DRAIN_S, KEY, RESERVE, Router, Site, call, config, free_port  # noqa: E402
from standins import build_response, run_case  # noqa: E402

FOREIGN_AT_S, DRAIN_AT_S, GONE_AT_S, JOIN_AT_S, END_AT_S = 4.0, 9.0, 19.0, 22.0, 32.0
SEND_EVERY_S = 0.1


async def main(trouble: bool) -> bool:
    site = Site(CASE)
    record, rng = site.record, random.Random(33)
    sender: dict[str, Router] = {}
    late: list[str] = []
    drained: dict[str, float] = {}  # engine id -> when the store accepted `draining`
    statuses: dict[int, int] = {}

    async def serve(engine, request, writer) -> None:
        attempt = request.headers["x-boragetiller-attempt-id"]
        router = sender[attempt]
        record.log("runs", engine=engine.id, attempt=attempt, router=router.name)
        accepted_s = drained.get(engine.id)
        if accepted_s is not None and record.now() > accepted_s + DRAIN_S and router.in_touch():
            late.append(attempt)
            record.log("DRAIN", engine=engine.id, late=f"{record.now() - accepted_s:.3f}")
        await asyncio.sleep(0.03)
        writer.write(build_response(200, engine.head(request), b"r" * 800))

    async def send(router: Router) -> int:
        attempt = f"{rng.getrandbits(64):016x}"
        sender[attempt] = router
        headers = {
            "X-Boragetiller-Attempt-Id": attempt,
            "X-Boragetiller-Deadline-Ms": "2500",
            "Authorization": f"Token {KEY}",
        }
        answer = await call(router.front, "POST", "/reserve/2f", headers, attempt.encode(), 2.5)
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        record.log("answered", attempt=attempt, router=router.name, status=answer.status)
        return answer.status

    try:
        await site.start_store()
        site.store.put("op/config", config(7, [RESERVE], ["lager-app"], []))
        engines = site.add_engines("lager-app", 3, "l", serve)
        for engine in engines:
            engine.slots = 6
        site.add_routers(5)
        joins = site.routers.pop()  # this machine is added later
        seeds = [f"127.0.0.1:{router.control}" for router in site.routers[:3]]
        for router in [*site.routers, joins]:
            router.write_settings(seeds)
        await site.start()
        await site.wait_ready()
        await asyncio.sleep(CONTACT_S)
        begin = record.now()
        record.log("traffic-begins", trouble=trouble)

        async def at(moment_s: float) -> None:
            await asyncio.sleep(max(0.0, begin + moment_s - record.now()))

        async def traffic() -> None:
            tasks = []
            while record.now() - begin < END_AT_S:
                tasks.append(asyncio.create_task(send(rng.choice(site.routers))))
                await asyncio.sleep(SEND_EVERY_S)
            await asyncio.gather(*tasks)

        async def events() -> None:
            await at(FOREIGN_AT_S)
            if trouble:
                entry = {
                    "service": "lager-app",
                    "address": f"127.0.0.1:{free_port()}",
                    "zone": "vl-a",
                    "version": "v1",
                    "slots": 6,
                    "state": "ready",
                    "cold-left-ms": 10**310,  # no number of milliseconds
                    "seq": 1,
                    "born": 1,
                }
                site.store.put("servers/other", json.dumps(entry).encode())
                record.log("foreign-entry", key="servers/other")
            await at(DRAIN_AT_S)
            engine = engines[0]
            engine.state = "draining"
            engine.register()
            drained[engine.id] = record.now()
            record.log("draining", engine=engine.id)
            await at(GONE_AT_S)
            record.log("leaves", engine=engine.id)
            site.store.remove(f"servers/{engine.id}")
            engine.close()
            await at(JOIN_AT_S)
            await joins.start()
            await at(END_AT_S)
            served = [await send(joins) for _ in range(5)].count(200)
            ready = await joins.is_ready()
            record.log("added-machine", name=joins.name, ready=ready, served=served)
            print(f"machine added {END_AT_S - JOIN_AT_S:.0f} s ago: ready {ready}, served {served} of 5")

        await asyncio.gather(traffic(), events())
        site.routers.append(joins)
    finally:
        await site.close()
    print(f"answers by status: {statuses}")
    print(f"requests at a draining engine later than drain-ms, from machines in touch: {len(late)}")
    return not late


if __name__ == "__main__":
    run_case(main, os.environ.get("TROUBLE", "1") != "0")
