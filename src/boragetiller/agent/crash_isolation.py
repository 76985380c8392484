"""Isolate or refuse request bodies that crashed backend servers, at one agent."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from boragetiller.control.messages import CrashReport
from boragetiller.errors import IsolationRequired, Quarantined
from boragetiller.router.quarantine import decode_fingerprint
from boragetiller.systems import crash_quarantine
from boragetiller.tables.crash_quarantine import Containment, CrashTable

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from boragetiller.clock import Clock
    from boragetiller.settings import CrashQuarantineSettings


class CrashIsolation:
    """Crashes known to one agent; bodies in isolation run one at a time."""

    def __init__(
        self,
        name: str,
        settings: CrashQuarantineSettings,
        clock: Clock,
        publish: Callable[[list[CrashReport]], None],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """
        Start without recorded crashes.

        :param name: name of this agent, which identifies its backend server
        :param settings: how long crashes are kept
        :param clock: monotonic time
        :param publish: sends new crashes to the other processes
        :param sleep: waits for a number of seconds
        """
        self.table = CrashTable()
        self._name = name
        self._settings = settings
        self._clock = clock
        self._publish = publish
        self._sleep = sleep
        self._isolation_lock = asyncio.Lock()

    def handle_crash_report(self, report: CrashReport, now_ms: int) -> None:
        """
        Add a crash that another process reported.

        :param report: fingerprint of the body, agent of the backend server, and age of the crash
        :param now_ms: monotonic time in milliseconds
        """
        crashed_ms = now_ms - report.age_ms
        crash_quarantine.merge_crash(
            self.table, report.fingerprint, report.backend_server, crashed_ms, self._settings
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
        Hold the isolation lock for a body with recorded crashes, until its attempt ends.

        :param fingerprint: fingerprint of the request in hexadecimal
        :param isolated: whether the router asked for isolation
        :param keyed: whether the call has a key, so that no other agent may run it
        :param crashed_servers: agents whose backend server crashed on the body, from the router
        :return: whether the attempt runs in isolation
        :raises Quarantined: the body crashed backend servers and is refused
        :raises IsolationRequired: the router has to choose an agent for isolation
        """
        for server in crashed_servers:
            now_ms = self._clock.now_ms()
            body = decode_fingerprint(fingerprint)
            crash_quarantine.merge_crash(self.table, body, server, now_ms, self._settings)
        in_isolation = isolated or (
            keyed and self._choose_containment(fingerprint) is Containment.ISOLATE
        )
        if not in_isolation:
            self.check(fingerprint, isolated=False)
            yield False
            return
        await self._wait_for_running_copies(fingerprint)
        async with self._isolation_lock:
            self.check(fingerprint, isolated=True)
            yield True

    def check(self, fingerprint: str, *, isolated: bool) -> None:
        """
        Check whether a body may run; also called immediately before the body is sent.

        :param fingerprint: fingerprint of the request in hexadecimal
        :param isolated: whether the attempt runs in isolation
        :raises Quarantined: the body crashed backend servers and is refused
        :raises IsolationRequired: the body needs isolation, in which the attempt does not run
        """
        containment = self._choose_containment(fingerprint)
        if containment is Containment.QUARANTINE:
            raise Quarantined
        if containment is Containment.ISOLATE and not isolated:
            servers = crash_quarantine.crashed_servers(self.table, decode_fingerprint(fingerprint))
            raise IsolationRequired(owner=servers[0])

    def record_crash(self, fingerprint: str, sent_ms: int) -> None:
        """
        Record that the backend server crashed while it ran a body, and publish the crash.

        :param fingerprint: fingerprint of the request in hexadecimal
        :param sent_ms: when the body was sent, in monotonic time
        """
        body = decode_fingerprint(fingerprint)
        now_ms = self._clock.now_ms()
        if crash_quarantine.record_crash(self.table, body, self._name, sent_ms, now_ms):
            self._publish([CrashReport(fingerprint=body, backend_server=self._name, age_ms=0)])

    def record_success(self, fingerprint: str) -> None:
        """
        Record that a body completed in isolation.

        :param fingerprint: fingerprint of the request in hexadecimal
        """
        crash_quarantine.clear_crashes(self.table, decode_fingerprint(fingerprint))

    def tick(self) -> None:
        """Remove expired crashes."""
        crash_quarantine.expire_crashes(self.table, self._settings, self._clock.now_ms())

    async def _wait_for_running_copies(self, fingerprint: str) -> None:
        """Wait long enough for copies that run at other agents to crash first."""
        body = decode_fingerprint(fingerprint)
        while True:
            now_ms = self._clock.now_ms()
            wait_ms = crash_quarantine.isolation_wait_ms(self.table, body, self._settings, now_ms)
            if not wait_ms:
                return
            await self._sleep(wait_ms / 1_000)

    def _choose_containment(self, fingerprint: str) -> Containment:
        return crash_quarantine.choose_containment(self.table, decode_fingerprint(fingerprint))


__all__ = ["CrashIsolation"]
