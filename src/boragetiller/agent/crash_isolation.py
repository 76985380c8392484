"""Keeps request bodies that crashed backend servers from this one."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from boragetiller.control.messages import Strike
from boragetiller.errors import Quarantined, Struck
from boragetiller.router.quarantine import fingerprint_bytes
from boragetiller.systems import crash_quarantine
from boragetiller.tables.crash_quarantine import Containment, CrashTable

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from boragetiller.clock import Clock
    from boragetiller.settings import StrikeSettings


class CrashIsolation:
    """Strikes known to one agent; struck bodies pass one at a time."""

    def __init__(
        self,
        name: str,
        settings: StrikeSettings,
        clock: Clock,
        publish: Callable[[list[Strike]], None],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """
        Start without strikes.

        :param name: name of this agent, which stands for its backend server
        :param settings: how long strikes are kept
        :param clock: monotonic time
        :param publish: tells the fleet of new strikes
        :param sleep: waits for seconds
        """
        self.table = CrashTable()
        self._name = name
        self._settings = settings
        self._clock = clock
        self._publish = publish
        self._sleep = sleep
        self._isolation = asyncio.Lock()

    def take_strike(self, strike: Strike, now_ms: int) -> None:
        """
        Take a strike that another process saw.

        :param strike: fingerprint, agent of the backend server, and age
        :param now_ms: monotonic time in milliseconds
        """
        crashed_ms = now_ms - strike.age_ms
        crash_quarantine.merge_crash(
            self.table, strike.fingerprint, strike.backend_server, crashed_ms, self._settings
        )

    @asynccontextmanager
    async def isolate(
        self,
        fingerprint: str,
        *,
        isolated: bool,
        keyed: bool,
        crashed_servers: tuple[str, ...] = (),
    ) -> AsyncIterator[bool]:
        """
        Hold the place of a struck body from admission to the end of its run.

        :param fingerprint: SHA-256 of the request in hex
        :param isolated: the router asked for isolation
        :param keyed: the call has a key, so that no other agent may run it
        :param crashed_servers: agents whose backend server crashed on the body, by the router
        :return: context of the attempt, with whether it runs in isolation
        :raises Quarantined: the body crashed backend servers and is refused
        :raises Struck: the router has to choose the agent for isolation
        """
        for server in crashed_servers:
            now_ms = self._clock.now_ms()
            body = fingerprint_bytes(fingerprint)
            crash_quarantine.merge_crash(self.table, body, server, now_ms, self._settings)
        alone = isolated or (keyed and self._judge(fingerprint) is Containment.ISOLATE)
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
        :raises Struck: it was struck since, and does not run in isolation
        """
        suspicion = self._judge(fingerprint)
        if suspicion is Containment.QUARANTINE:
            raise Quarantined
        if suspicion is Containment.ISOLATE and not isolated:
            servers = crash_quarantine.crashed_servers(self.table, fingerprint_bytes(fingerprint))
            raise Struck(owner=servers[0])

    def record_crash(self, fingerprint: str, sent_ms: int) -> None:
        """
        Note that the connection to the backend server broke while a body ran.

        :param fingerprint: SHA-256 of the request in hex
        :param sent_ms: when it was sent, in monotonic time
        """
        body = fingerprint_bytes(fingerprint)
        now_ms = self._clock.now_ms()
        if crash_quarantine.record_crash(self.table, body, self._name, sent_ms, now_ms):
            self._publish([Strike(fingerprint=body, backend_server=self._name, age_ms=0)])

    def record_success(self, fingerprint: str) -> None:
        """
        Note that a body ran to its end.

        :param fingerprint: SHA-256 of the request in hex
        """
        crash_quarantine.clear_crashes(self.table, fingerprint_bytes(fingerprint))

    def tick(self) -> None:
        """Forget old strikes."""
        crash_quarantine.expire_crashes(self.table, self._settings, self._clock.now_ms())

    async def _wait(self, fingerprint: str) -> None:
        """Let copies that other agents run already crash first."""
        body = fingerprint_bytes(fingerprint)
        while True:
            now_ms = self._clock.now_ms()
            wait_ms = crash_quarantine.isolation_wait_ms(self.table, body, self._settings, now_ms)
            if not wait_ms:
                return
            await self._sleep(wait_ms / 1_000)

    def _judge(self, fingerprint: str) -> Containment:
        return crash_quarantine.choose_containment(self.table, fingerprint_bytes(fingerprint))


__all__ = ["CrashIsolation"]
