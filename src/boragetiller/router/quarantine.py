"""Isolation and quarantine of request bodies that crash backend servers, at a router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from boragetiller.errors import BackendCrashed, BoragetillerError, IsolationRequired, Quarantined
from boragetiller.systems import crash_quarantine
from boragetiller.tables.crash_quarantine import Containment, CrashTable

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.control.messages import CrashReport
    from boragetiller.settings import CrashQuarantineSettings
    from boragetiller.tables.agents import AgentEntry

FINGERPRINT_BYTES = 16


class Quarantine:
    """Crashes that this router recorded or received, and the copies of each body in flight."""

    def __init__(self, settings: CrashQuarantineSettings, clock: Clock) -> None:
        """
        Start without recorded crashes.

        :param settings: retention of crashes
        :param clock: monotonic time
        """
        self.table = CrashTable()
        self._settings = settings
        self._clock = clock
        self._in_flight: dict[str, Counter[str]] = {}

    def handle_crash_report(self, report: CrashReport, now_ms: int) -> None:
        """
        Merge a crash that another process reported.

        :param report: fingerprint of the body, agent of the backend server, and age of the crash
        :param now_ms: monotonic time in milliseconds
        """
        crashed_ms = now_ms - report.age_ms
        crash_quarantine.merge_crash(
            self.table, report.fingerprint, report.backend_server, crashed_ms, self._settings
        )

    def needs_isolation(self, fingerprint: str) -> bool:
        """
        Decide before each attempt whether a body must run in isolation.

        :param fingerprint: fingerprint of the request in hexadecimal
        :return: whether the body may run only in isolation
        :raises Quarantined: the body crashed too many backend servers and is refused
        """
        containment = crash_quarantine.choose_containment(
            self.table, decode_fingerprint(fingerprint)
        )
        if containment is Containment.QUARANTINE:
            raise Quarantined
        return containment is Containment.ISOLATE

    def choose_isolation_agent(
        self, fingerprint: str, key: int, agents: list[AgentEntry], tried: set[str]
    ) -> AgentEntry | None:
        """
        Choose the agent that runs a body in isolation, the same at every router.

        :param fingerprint: fingerprint of the request in hexadecimal
        :param key: hash that ranks agents for placement: of the prefix, or of the body
        :param agents: all agents of the group, also those whose backend server failed recently
        :param tried: agents that could not run the body in isolation
        :return: the agent, None if no agent is left
        """
        by_name = {agent.name: agent for agent in agents if not (agent.draining or agent.leaving)}
        body = decode_fingerprint(fingerprint)
        order = crash_quarantine.rank_isolation_servers(self.table, body, by_name, key)
        return next((by_name[name] for name in order if name not in tried), None)

    def crashed_servers(self, fingerprint: str) -> tuple[str, ...]:
        """:return: agents whose backend server a body crashed, listed in each attempt"""
        return crash_quarantine.crashed_servers(self.table, decode_fingerprint(fingerprint))

    def add_in_flight(self, fingerprint: str, agent: str) -> None:
        """
        Record that a body is sent to an agent.

        :param fingerprint: fingerprint of the request in hexadecimal
        :param agent: name of the agent
        """
        copies = self._in_flight.setdefault(fingerprint, Counter())
        copies[agent] += 1

    def remove_in_flight(self, fingerprint: str, agent: str) -> None:
        """
        Record the end of an attempt that :meth:`add_in_flight` recorded.

        :param fingerprint: fingerprint of the request in hexadecimal
        :param agent: name of the agent
        """
        copies = self._in_flight[fingerprint]
        copies[agent] -= 1
        if not copies[agent]:
            del copies[agent]
        if not copies:
            del self._in_flight[fingerprint]

    def get_agent_in_use(self, fingerprint: str) -> str | None:
        """:return: agent that runs a copy of the body for this router; other copies go there too"""
        return next(iter(self._in_flight.get(fingerprint, ())), None)

    def record_error(
        self, fingerprint: str, agent: str, error: BoragetillerError, sent_ms: int
    ) -> None:
        """
        Record the error of an attempt at once, before the control exchange reports a crash.

        :param fingerprint: fingerprint of the request in hexadecimal
        :param agent: name of the attempt's agent
        :param error: error of the attempt
        :param sent_ms: monotonic time at which the attempt was sent, in milliseconds
        """
        now_ms = self._clock.now_ms()
        body = decode_fingerprint(fingerprint)
        if isinstance(error, BackendCrashed):
            crash_quarantine.record_crash(self.table, body, agent, sent_ms, now_ms)
        elif isinstance(error, IsolationRequired):
            crash_quarantine.merge_crash(
                self.table, body, error.owner or agent, now_ms, self._settings
            )

    def record_success(self, fingerprint: str) -> None:
        """
        Clear the crashes of a body that completed in isolation.

        :param fingerprint: fingerprint of the request in hexadecimal
        """
        crash_quarantine.clear_crashes(self.table, decode_fingerprint(fingerprint))

    def expire_crashes(self) -> None:
        """Remove crashes older than their retention."""
        crash_quarantine.expire_crashes(self.table, self._settings, self._clock.now_ms())


def decode_fingerprint(fingerprint: str) -> bytes:
    """:return: leading bytes of a hexadecimal fingerprint, as the control exchange sends them"""
    return bytes.fromhex(fingerprint[: 2 * FINGERPRINT_BYTES])


__all__ = ["FINGERPRINT_BYTES", "Quarantine", "decode_fingerprint"]
