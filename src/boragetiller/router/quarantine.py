"""What a router does about request bodies that crash backend servers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from boragetiller.errors import BackendCrashed, BoragetillerError, IsolationRequired, Quarantined
from boragetiller.systems import crash_quarantine
from boragetiller.tables.crash_quarantine import Containment, CrashTable

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.control.messages import Strike
    from boragetiller.settings import CrashQuarantineSettings
    from boragetiller.tables.agents import AgentEntry

FINGERPRINT_BYTES = 16


class Quarantine:
    """Strikes known to this router, its own and those of the fleet."""

    def __init__(self, settings: CrashQuarantineSettings, clock: Clock) -> None:
        """
        Start without strikes.

        :param settings: how long strikes are kept
        :param clock: monotonic time
        """
        self.table = CrashTable()
        self._settings = settings
        self._clock = clock
        self._in_flight: dict[str, Counter[str]] = {}

    def take_strike(self, strike: Strike, now_ms: int) -> None:
        """
        Take a strike that another process saw.

        :param strike: fingerprint, agent of the backend server, and age
        :param now_ms: monotonic time in milliseconds
        """
        struck_ms = now_ms - strike.age_ms
        crash_quarantine.merge_crash(
            self.table, strike.fingerprint, strike.backend_server, struck_ms, self._settings
        )

    def needs_isolation(self, fingerprint: str) -> bool:
        """
        Judge a body before each attempt.

        :param fingerprint: SHA-256 of the request in hex
        :return: whether it runs in isolation only
        :raises Quarantined: it crashed backend servers and is refused
        """
        suspicion = crash_quarantine.choose_containment(self.table, decode_fingerprint(fingerprint))
        if suspicion is Containment.QUARANTINE:
            raise Quarantined
        return suspicion is Containment.ISOLATE

    def choose_isolation_agent(
        self, fingerprint: str, key: int, agents: list[AgentEntry], tried: set[str]
    ) -> AgentEntry | None:
        """
        Choose the one agent that runs a struck body, the same at every router.

        :param fingerprint: SHA-256 of the request in hex
        :param key: what placement prefers agents by: hash of the prefix, or of the body
        :param agents: every agent of the group, also those whose backend server failed of late
        :param tried: agents that could not run it in isolation
        :return: the agent, None when none is left
        """
        by_name = {agent.name: agent for agent in agents if not (agent.draining or agent.leaving)}
        body = decode_fingerprint(fingerprint)
        order = crash_quarantine.rank_isolation_servers(self.table, body, by_name, key)
        return next((by_name[name] for name in order if name not in tried), None)

    def crashed_servers(self, fingerprint: str) -> tuple[str, ...]:
        """:return: agents of the servers that a body crashed; each attempt tells its agent"""
        return crash_quarantine.crashed_servers(self.table, decode_fingerprint(fingerprint))

    def add_in_flight(self, fingerprint: str, agent: str) -> None:
        """
        Note that a body was sent to an agent.

        :param fingerprint: SHA-256 of the request in hex
        :param agent: the agent
        """
        copies = self._in_flight.setdefault(fingerprint, Counter())
        copies[agent] += 1

    def remove_in_flight(self, fingerprint: str, agent: str) -> None:
        """
        Note the end of an attempt that :meth:`add_in_flight` noted.

        :param fingerprint: SHA-256 of the request in hex
        :param agent: the agent
        """
        copies = self._in_flight[fingerprint]
        copies[agent] -= 1
        if not copies[agent]:
            del copies[agent]
        if not copies:
            del self._in_flight[fingerprint]

    def get_agent_in_use(self, fingerprint: str) -> str | None:
        """:return: agent that runs a copy of the body for this router; further copies go there"""
        return next(iter(self._in_flight.get(fingerprint, ())), None)

    def record_error(
        self, fingerprint: str, agent: str, error: BoragetillerError, sent_ms: int
    ) -> None:
        """
        Learn from a failed attempt at once, without waiting for the control exchange.

        :param fingerprint: SHA-256 of the request in hex
        :param agent: the agent of the attempt
        :param error: how the attempt ended
        :param sent_ms: when the attempt began, in monotonic time
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
        Note that an isolated attempt ran to its end.

        :param fingerprint: SHA-256 of the request in hex
        """
        crash_quarantine.clear_crashes(self.table, decode_fingerprint(fingerprint))

    def expire_crashes(self) -> None:
        """Forget old strikes."""
        crash_quarantine.expire_crashes(self.table, self._settings, self._clock.now_ms())


def decode_fingerprint(fingerprint: str) -> bytes:
    """:return: the start of a fingerprint in hex, as the control exchange carries it"""
    return bytes.fromhex(fingerprint[: 2 * FINGERPRINT_BYTES])


__all__ = ["FINGERPRINT_BYTES", "Quarantine", "decode_fingerprint"]
