"""Keeps request bodies that crashed backend servers from this one."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from boragetiller.control.messages import Strike
from boragetiller.errors import IsolationRequired, Quarantined
from boragetiller.router.quarantine import fingerprint_bytes
from boragetiller.systems import strikes
from boragetiller.tables.strikes import StrikeTable, Suspicion

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from boragetiller.clock import Clock
    from boragetiller.settings import StrikeSettings


class StrikeGate:
    """Strikes known to one agent; struck bodies pass one at a time."""

    def __init__(
        self,
        name: str,
        settings: StrikeSettings,
        clock: Clock,
        spread: Callable[[list[Strike]], None],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """
        Start without strikes.

        :param name: name of this agent, which stands for its backend server
        :param settings: how long strikes are kept
        :param clock: monotonic time
        :param spread: tells the fleet of new strikes
        :param sleep: waits for seconds
        """
        self.table = StrikeTable()
        self._name = name
        self._settings = settings
        self._clock = clock
        self._spread = spread
        self._sleep = sleep
        self._isolation = asyncio.Lock()

    def take_strike(self, strike: Strike, now_ms: int) -> None:
        """
        Take a strike that another process saw.

        :param strike: fingerprint, agent of the backend server, and age
        :param now_ms: monotonic time in milliseconds
        """
        struck_ms = now_ms - strike.age_ms
        strikes.merge_strike(
            self.table, strike.fingerprint, strike.backend_server, struck_ms, self._settings
        )

    @asynccontextmanager
    async def isolate(
        self, fingerprint: str, *, isolated: bool, keyed: bool, struck: tuple[str, ...] = ()
    ) -> AsyncIterator[bool]:
        """
        Hold the place of a struck body from admission to the end of its run.

        :param fingerprint: SHA-256 of the request in hex
        :param isolated: the router asked for isolation
        :param keyed: the call has a key, so that no other agent may run it
        :param struck: agents of the servers that the body crashed, as the router knows them
        :return: context of the attempt, with whether it runs in isolation
        :raises Quarantined: the body crashed backend servers and is refused
        :raises IsolationRequired: the router has to choose the agent for isolation
        """
        for server in struck:
            now_ms = self._clock.now_ms()
            body = fingerprint_bytes(fingerprint)
            strikes.merge_strike(self.table, body, server, now_ms, self._settings)
        alone = isolated or (keyed and self._judge(fingerprint) is Suspicion.ISOLATE)
        if not alone:
            self.check(fingerprint, isolated=False)
            yield False
            return
        await self._wait(fingerprint)
        async with self._isolation:
            self.check(fingerprint, isolated=True)
            yield True

    def check(self, fingerprint: str, *, isolated: bool) -> None:
        """
        Judge a body again, immediately before it is sent to the backend server.

        :param fingerprint: SHA-256 of the request in hex
        :param isolated: whether it holds the place of a struck body
        :raises Quarantined: the body crashed backend servers and is refused
        :raises IsolationRequired: it was struck since, and does not run in isolation
        """
        suspicion = self._judge(fingerprint)
        if suspicion is Suspicion.QUARANTINE:
            raise Quarantined
        if suspicion is Suspicion.ISOLATE and not isolated:
            servers = strikes.struck_servers(self.table, fingerprint_bytes(fingerprint))
            raise IsolationRequired(owner=servers[0])

    def note_lost(self, fingerprint: str, sent_ms: int) -> None:
        """
        Note that the connection to the backend server broke while a body ran.

        :param fingerprint: SHA-256 of the request in hex
        :param sent_ms: when it was sent, in monotonic time
        """
        body = fingerprint_bytes(fingerprint)
        now_ms = self._clock.now_ms()
        if strikes.record_crash(self.table, body, self._name, sent_ms, now_ms):
            self._spread([Strike(fingerprint=body, backend_server=self._name, age_ms=0)])

    def note_success(self, fingerprint: str) -> None:
        """
        Note that a body ran to its end.

        :param fingerprint: SHA-256 of the request in hex
        """
        strikes.clear_body(self.table, fingerprint_bytes(fingerprint))

    def tick(self) -> None:
        """Forget old strikes."""
        strikes.expire_strikes(self.table, self._settings, self._clock.now_ms())

    async def _wait(self, fingerprint: str) -> None:
        """Let copies that other agents run already crash first."""
        body = fingerprint_bytes(fingerprint)
        while True:
            now_ms = self._clock.now_ms()
            wait_ms = strikes.isolation_wait_ms(self.table, body, self._settings, now_ms)
            if not wait_ms:
                return
            await self._sleep(wait_ms / 1_000)

    def _judge(self, fingerprint: str) -> Suspicion:
        return strikes.judge_body(self.table, fingerprint_bytes(fingerprint))


__all__ = ["StrikeGate"]
