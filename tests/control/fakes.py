"""Helpers for tests of the control exchange on loopback."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.clock import SystemClock
from boragetiller.control.client import Peer
from boragetiller.control.exchange import ControlExchange
from boragetiller.metrics import Metrics
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.control.messages import Hello, Message

WAIT_S = 10.0


def make_settings(
    name: str, role: Role = Role.ROUTER, failure_domain: str = "a", **control: object
) -> Settings:
    """:return: settings of a process on loopback with short control intervals"""
    timing: dict[str, object] = {
        "heartbeat_ms": 50,
        "suspect_after_ms": 1_000,
        "reconnect_base_ms": 10,
        "reconnect_max_ms": 50,
        "key": "shared",
    }
    backend = BackendSettings(name=name, group="g", kind=BackendKind.ENGINE, url="http://127.0.0.1")
    return Settings(
        role=role,
        name=name,
        failure_domain=failure_domain,
        control=ControlSettings(**{**timing, **control}),  # type: ignore[arg-type]
        operator=OperatorSettings(key="o"),
        platform=PlatformSettings(store_url="", host_list_url=""),
        backend=backend if role is Role.AGENT else None,
        seed=1,
    )


class Recorder:
    """A handler that keeps what it is told."""

    def __init__(self) -> None:
        self.connected: list[Hello] = []
        self.lost: list[Hello] = []
        self.messages: list[tuple[str, Message]] = []

    def on_connected(self, peer: Hello) -> None:
        self.connected.append(peer)

    def on_message(self, peer: Hello, message: Message) -> None:
        self.messages.append((peer.name, message))

    def on_lost(self, peer: Hello) -> None:
        self.lost.append(peer)


class Node:
    """One exchange with its recorder."""

    def __init__(self, name: str, incarnation: int = 1, **control: object) -> None:
        self.name = name
        self.recorder = Recorder()
        self.metrics = Metrics()
        self.exchange = ControlExchange(
            make_settings(name, **control), incarnation, self.recorder, SystemClock(), self.metrics
        )

    @property
    def peer(self) -> Peer:
        """:return: how others dial this node"""
        return Peer(self.name, "127.0.0.1", self.exchange.port)


async def until(condition: Callable[[], object], wait_s: float = WAIT_S) -> None:
    """Wait for a condition; the limit only ends a test that would hang."""
    async with asyncio.timeout(wait_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


__all__ = ["Node", "Recorder", "make_settings", "until"]
