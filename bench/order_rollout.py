"""
Count the store calls while every engine of a fleet loads a new model, in virtual time.

The `OrderReconciler` of each agent and the in-memory store run on an event loop whose clock jumps
to the next timer, so that an hour of virtual time takes seconds. The output shows the store calls,
the highest number of calls in one second, the time until the last engine has loaded the model, and
how many loads exceeded the limit of the weight store.

    python -m bench.order_rollout --agents 1300 --slots 16 --load_s 60
"""

from __future__ import annotations

import asyncio
import selectors
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
import fire

from boragetiller.agent.orders import OrderReconciler
from boragetiller.errors import LeaseExpired
from boragetiller.events import configure_logging
from boragetiller.metrics import Metrics
from boragetiller.platform_clients.clients import PlatformClients
from boragetiller.platform_clients.memory_store import (
    MemoryHostList,
    MemoryStore,
    MemoryWeightStore,
)
from boragetiller.records.model import BackendGroup
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.tables.config import ConfigTable
from boragetiller.tables.orders import EngineConfig, Order

if TYPE_CHECKING:
    from collections.abc import Callable

MODEL = "kopar-2"
MS_PER_S = 1_000


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances virtual time by the timeout instead of waiting for it."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualClock:
    """Clock that reads the virtual time of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """:param loop: event loop in virtual time"""
        self._loop = loop

    def now_ms(self) -> int:
        """:return: virtual time in milliseconds"""
        return round(self._loop.time() * MS_PER_S)


@attrs.define
class SlowLoadingEngine:
    """Engine whose model load takes a fixed time."""

    load_s: float
    weights: MemoryWeightStore
    models: tuple[str, ...] = ()

    async def read_config(self) -> EngineConfig:
        """:return: models that the engine has loaded"""
        return EngineConfig(models=self.models)

    async def send(
        self, order: Order, _token: int, may_send: Callable[[], bool]
    ) -> None:  # noqa: ARG002
        """Load the model; raises LeaseExpired if `may_send` returns False."""
        if not may_send():
            raise LeaseExpired
        self.weights.begin_load()
        await asyncio.sleep(self.load_s)
        self.weights.end_load()
        self.models = (MODEL,)


class CountingStore(MemoryStore):
    """Counts calls by second of virtual time."""

    def __init__(self, clock: VirtualClock) -> None:
        """:param clock: clock of virtual time"""
        super().__init__(clock)
        self.calls_per_s: Counter[int] = Counter()
        self._virtual_clock = clock

    async def _begin_call(self, kind: Any) -> None:
        self.calls_per_s[self._virtual_clock.now_ms() // MS_PER_S] += 1
        await super()._begin_call(kind)


async def _run_rollout(agents: int, slots: int, load_s: float, seed: int) -> str:
    clock = VirtualClock(asyncio.get_running_loop())
    store = CountingStore(clock)
    weights = MemoryWeightStore(limit=slots)
    platform = PlatformClients(store, MemoryHostList(clock), weights)
    members = tuple(f"engine-{number}" for number in range(agents))
    group = BackendGroup(name="pool", members=members, models=(MODEL,))
    config = ConfigTable(ready=True, groups={"pool": group})
    engines = [SlowLoadingEngine(load_s, weights) for _ in range(agents)]
    reconcilers = [
        OrderReconciler(
            _build_settings(number, seed), platform, engine, config, clock, Metrics(), 1
        )
        for number, engine in enumerate(engines)
    ]
    for reconciler in reconcilers:
        await reconciler.start()
    while not all(engine.models for engine in engines):  # noqa: ASYNC110
        await asyncio.sleep(1.0)
    for reconciler in reconcilers:
        await reconciler.close()
    total_calls, max_calls_per_s = sum(store.calls_per_s.values()), max(store.calls_per_s.values())
    elapsed_s = clock.now_ms() / MS_PER_S
    return (
        f"agents={agents} slots={slots} load_s={load_s} seed={seed}: store calls={total_calls} "
        f"({total_calls / agents:.1f} an agent, {total_calls / elapsed_s:.1f}/s, "
        f"busiest second {max_calls_per_s}), "
        f"done after {elapsed_s:.0f} s (shortest possible {agents / slots * load_s:.0f} s), "
        f"loads over the limit={weights.excess_loads}"
    )


def _build_settings(number: int, seed: int) -> Settings:
    name = f"engine-{number}"
    backend = BackendSettings(name=name, group="pool", kind=BackendKind.ENGINE, url="")
    return Settings(
        role=Role.AGENT,
        name=name,
        failure_domain="vl-a",
        control=ControlSettings(key="k"),
        operator=OperatorSettings(key="k"),
        platform=PlatformSettings(store_url="", host_list_url=""),
        backend=backend,
        seed=seed,
    )


def main(agents: int = 1_300, slots: int = 16, load_s: float = 60.0, seed: int = 1) -> None:
    """
    Roll out a model to all engines and print the store calls.

    :param agents: number of engines, each with its agent
    :param slots: concurrent loads that the weight store allows
    :param load_s: duration of one load in seconds
    :param seed: seed of the agents' delays
    """
    configure_logging("WARNING")
    selector = _VirtualTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s  # type: ignore[method-assign]
    try:
        print(loop.run_until_complete(_run_rollout(agents, slots, load_s, seed)))
    finally:
        loop.close()


if __name__ == "__main__":
    fire.Fire(main)
