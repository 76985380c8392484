"""
Compare rules for the number of servers in virtual time: python -m bench.server_targets.

Each rule sees the same load. Servers start BOOT_S after the order. Printed are, for each load, the
most servers, the mean number, the changes of direction, and the share of time above full use.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

from boragetiller.systems.duties.server_targets import decide_servers, observe, record_call
from boragetiller.tables.routes import ScalingPolicy
from boragetiller.tables.server_targets import DomainLoad, ScalingConditions, ServerTarget

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_MS = 200
BOOT_S = 20
MEAN_WORK = 6.0  # servers' worth
START = 9
POLICY = ScalingPolicy(min_servers=1, max_servers=60, boot_ms=BOOT_S * 1_000)
WARM_UP_S = 60


def wave(second: float) -> float:
    """:return: work of a wave with a period of 17 s and a swing of 0.55"""
    return MEAN_WORK * (1 + 0.55 * math.sin(2 * math.pi * second / 17))


def bursts(second: float) -> float:
    """:return: work with a burst of 3 s and 2.5 times the load in each 90 s"""
    return MEAN_WORK * (2.5 if second % 90 >= 87 else 1.0)


def rise(second: float) -> float:
    """:return: work that doubles within a minute and stays"""
    return MEAN_WORK * (1 + min(1.0, max(0.0, (second - 120) / 60)))


def fall(second: float) -> float:
    """:return: work that falls to a third after four minutes"""
    return MEAN_WORK * (1.0 if second < 240 else 1 / 3)


@attrs.define
class Replay:
    """Servers under a load, ordered by a rule."""

    ready: int = START
    starting: list[tuple[float, int]] = attrs.field(factory=list)
    ordered: int = START
    orders: list[tuple[float, int]] = attrs.field(factory=list)

    def order(self, second: float, servers: int) -> None:
        """Order a number of servers; fewer take effect at once."""
        if servers == self.ordered:
            return
        self.orders.append((second, servers))
        if servers > self.ordered:
            self.starting.append((second + BOOT_S, servers - self.ordered))
        else:
            self.ready = max(0, min(self.ready, servers))
            self.starting.clear()
        self.ordered = servers

    def start_due(self, second: float) -> None:
        """Let servers become ready."""
        due = [count for at, count in self.starting if at <= second]
        self.starting = [entry for entry in self.starting if entry[0] > second]
        self.ready += sum(due)

    def count_turns(self) -> int:
        """:return: changes between more and fewer"""
        numbers = [START, *(servers for _, servers in self.orders)]
        signs = [1 if b > a else -1 for a, b in zip(numbers, numbers[1:], strict=False)]
        return sum(a != b for a, b in zip(signs, signs[1:], strict=False))


def build_product_rule() -> Callable[[float, float, int], int]:
    """:return: the rule of the product"""
    target = ServerTarget(ordered=START, sent_ms=0, is_confirmed=True)

    def rule(second: float, work: float, ready: int) -> int:
        now_ms = round(second * 1_000)
        load = DomainLoad(ready=ready, slots=work / max(1, ready))
        observe(target, load, now_ms)
        decision = decide_servers(target, load, POLICY, ScalingConditions(), now_ms)
        if decision.is_due:
            record_call(target, decision.servers, now_ms, is_confirmed=True)
        return decision.servers

    return rule


def build_target_tracking() -> Callable[[float, float, int], int]:
    """:return: the number that brings a mean of 15 s to 0.6, changed at most each 15 s"""
    recent: deque[float] = deque(maxlen=75)
    state = {"at": 0.0, "servers": START}

    def rule(second: float, work: float, _ready: int) -> int:
        recent.append(work)
        if second - state["at"] >= 15:
            wanted = math.ceil(sum(recent) / len(recent) / 0.6)
            if wanted != state["servers"]:
                state["at"], state["servers"] = second, wanted
        return int(state["servers"])

    return rule


def build_queueing_model() -> Callable[[float, float, int], int]:
    """:return: work and a safety of twice its square root, of a mean of 5 s"""
    recent: deque[float] = deque(maxlen=25)

    def rule(_second: float, work: float, _ready: int) -> int:
        recent.append(work)
        mean = sum(recent) / len(recent)
        return math.ceil(mean + 2 * math.sqrt(mean))

    return rule


def build_steps() -> Callable[[float, float, int], int]:
    """:return: two more above 0.75, one fewer below 0.5, at most each 10 s"""
    state = {"at": 0.0, "servers": START}

    def rule(second: float, work: float, ready: int) -> int:
        use = work / max(1, ready)
        if second - state["at"] >= 10 and not 0.5 <= use <= 0.75:
            state["at"] = second
            state["servers"] = max(1, int(state["servers"]) + (2 if use > 0.75 else -1))
        return int(state["servers"])

    return rule


RULES = {
    "product": build_product_rule,
    "target tracking": build_target_tracking,
    "queueing model": build_queueing_model,
    "steps": build_steps,
}
LOADS = {"wave": wave, "bursts": bursts, "rise": rise, "fall": fall}


def replay(rule: Callable[[float, float, int], int], load: Callable[[float], float]) -> str:
    """
    Run a rule for ten minutes.

    :param rule: maps time, work and ready servers to the number to order
    :param load: maps time to work
    :return: row of the table
    """
    state = Replay()
    total, overloaded, steps, most = 0, 0, 0, 0
    for step in range(600_000 // STEP_MS):
        second = step * STEP_MS / 1_000
        state.start_due(second)
        work = load(second)
        state.order(second, rule(second, work, state.ready))
        if second >= WARM_UP_S:
            steps, total = steps + 1, total + state.ordered
            overloaded += work > state.ready
            most = max(most, state.ordered)
    share = 100 * overloaded / steps
    return (
        f"{most:5} {total / steps:6.1f} {len(state.orders):6} {state.count_turns():5} {share:6.1f}%"
    )


def main() -> None:
    """Print a table."""
    print(f"{'load':8} {'rule':16} {'most':>5} {'mean':>6} {'orders':>6} {'turns':>5} {'over':>7}")
    for load_name, load in LOADS.items():
        for rule_name, build in RULES.items():
            print(f"{load_name:8} {rule_name:16} {replay(build(), load)}")


if __name__ == "__main__":
    main()
