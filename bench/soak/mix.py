"""Faults of all kinds, drawn by a seed, in series and overlapping."""

from __future__ import annotations

import asyncio
import signal
import time
from random import Random
from typing import TYPE_CHECKING

from bench.soak.fleet import PLAIN, STREAMS
from bench.soak.store import StoreFaults

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from bench.soak.fleet import EngineProcess, SoakFleet

    Fault = Callable[[SoakFleet, Random], Coroutine[None, None, None]]

ROUTER_INTERVAL_S = (0.3, 2.0)
SERVER_INTERVAL_S = (0.1, 0.6)
DRAIN_S = 2.5
ODD_TIMES = ("soon", "-1", "nan", "0", "Wed, 21 Oct 2026 07:28:00 GMT", "")


async def run_mix(fleet: SoakFleet, rng: Random, until_s: float) -> None:
    """
    Begin a fault of any kind again and again.

    :param fleet: the processes
    :param rng: random generator of the plan
    :param until_s: monotonic time after which no fault begins
    """
    await asyncio.gather(
        _begin_faults(ROUTER_FAULTS, ROUTER_INTERVAL_S, fleet, rng, until_s),
        _begin_faults(SERVER_FAULTS, SERVER_INTERVAL_S, fleet, Random(rng.random()), until_s),
    )


async def _begin_faults(
    kinds: tuple[Fault, ...],
    interval_s: tuple[float, float],
    fleet: SoakFleet,
    rng: Random,
    until_s: float,
) -> None:
    faults: set[asyncio.Task[None]] = set()
    while time.monotonic() < until_s:
        faults.add(asyncio.create_task(rng.choice(kinds)(fleet, rng)))
        await asyncio.sleep(rng.uniform(*interval_s))
    await asyncio.gather(*faults)


async def _end_router(fleet: SoakFleet, rng: Random) -> None:
    signal_number = rng.choice((signal.SIGKILL, signal.SIGTERM))
    await rng.choice(fleet.routers).end(signal_number, rng.uniform(0.1, 0.8))


async def _end_all_routers(fleet: SoakFleet, rng: Random) -> None:
    down_s = rng.uniform(0.1, 0.8)
    ends = (router.end(signal.SIGKILL, down_s) for router in fleet.routers)
    await asyncio.gather(*ends)


async def _freeze_router(fleet: SoakFleet, rng: Random) -> None:
    await rng.choice(fleet.routers).freeze(rng.uniform(0.2, 3.0))


async def _cut_router(fleet: SoakFleet, rng: Random) -> None:
    await rng.choice(fleet.routers).cut(rng.uniform(0.5, 5.0))


async def _reset_store_connections(fleet: SoakFleet, rng: Random) -> None:
    rng.choice(fleet.routers).reset_store_connections()


async def _turn_away(fleet: SoakFleet, rng: Random) -> None:
    names = [router.name for router in fleet.routers if rng.random() < 0.5]
    how = rng.choice(("refuse", "silent"))
    fleet.store.faults.turned_away |= dict.fromkeys(names, how)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for name in names:
        fleet.store.faults.turned_away.pop(name, None)


async def _store_down(fleet: SoakFleet, rng: Random) -> None:
    fleet.store.set_down(True)
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    fleet.store.set_down(False)


async def _store_impaired(fleet: SoakFleet, rng: Random) -> None:
    away = fleet.store.faults.turned_away
    fleet.store.faults = rng.choice(
        (
            StoreFaults(delay_s=rng.uniform(0.05, 0.6), turned_away=away),
            StoreFaults(lost_share=0.4, turned_away=away),
            StoreFaults(late_share=0.6, turned_away=away),
        )
    )
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    fleet.store.faults = StoreFaults(turned_away=away)


async def _pause_server(fleet: SoakFleet, rng: Random) -> None:
    odd = rng.choice(ODD_TIMES) if rng.random() < 0.2 else ""
    _choose(fleet, rng).tell(
        paused_until_s=time.monotonic() + rng.uniform(0.5, 3.0), odd_retry_after=odd
    )


async def _spoil_server(fleet: SoakFleet, rng: Random) -> None:
    engine = _choose(fleet, rng)
    field = rng.choice(("silent_share", "break_share", "cut_share", "error_share", "reset_share"))
    engine.tell(**{field: rng.uniform(0.2, 0.9)})
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    engine.tell(**{field: 0.0})


async def _large_events(fleet: SoakFleet, rng: Random) -> None:
    engine = rng.choice(fleet.list_engines(STREAMS))
    engine.tell(event_bytes=rng.choice((10_000, 500_000)))
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    engine.tell(event_bytes=0)


async def _crash_server(fleet: SoakFleet, rng: Random) -> None:
    """A server crashes; it comes back as another one, or under its ID, perhaps at a version."""
    engine = _choose(fleet, rng)
    if len(fleet.list_engines(engine.service)) == 1:
        return
    version, name = engine.version, engine.name if rng.random() < 0.4 else None
    if engine.service == STREAMS and rng.random() < 0.5:
        version = rng.choice(("v1", "v2"))
    fleet.remove(engine)
    engine.kill()
    await asyncio.sleep(rng.uniform(0.1, 1.5))
    await fleet.start_engine(engine.service, version, name)


async def _release(fleet: SoakFleet, rng: Random) -> None:
    """A server of the other version joins; one leaves, at times without a word."""
    engine = rng.choice(fleet.list_engines(STREAMS))
    version = "v1" if engine.version == "v2" else "v2"
    await fleet.start_engine(STREAMS, version)
    if rng.random() < 0.3:
        engine.tell(hidden=True)
    else:
        engine.tell(draining=True)
    fleet.remove(engine)
    await asyncio.sleep(DRAIN_S)
    engine.kill()


async def _change_config(fleet: SoakFleet, _rng: Random) -> None:
    fleet.change_config()


def _choose(fleet: SoakFleet, rng: Random) -> EngineProcess:
    return rng.choice(fleet.list_engines(rng.choice((PLAIN, STREAMS))))


ROUTER_FAULTS = (
    *4 * (_end_router,),
    _end_all_routers,
    *2 * (_freeze_router,),
    *2 * (_cut_router,),
    _reset_store_connections,
    _turn_away,
    _store_down,
    _store_impaired,
    _change_config,
)
SERVER_FAULTS = (
    *5 * (_pause_server,),
    *4 * (_spoil_server,),
    *2 * (_large_events,),
    *2 * (_crash_server,),
    *2 * (_release,),
)

__all__ = ["run_mix"]
