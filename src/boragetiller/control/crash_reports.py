"""Flood strikes to every node, each once."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from boragetiller.control.messages import FINGERPRINT_BYTES, Strike, StrikeList

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragetiller.clock import Clock
    from boragetiller.control.interfaces import StrikeSink
    from boragetiller.control.messages import Message

MAX_STRIKES = 2_048
STRIKES_PER_MESSAGE = 128


class StrikeRelay:
    """Hands new strikes to this process and to the other peers."""

    def __init__(
        self,
        sink: StrikeSink | None,
        send: Callable[[str, Message], bool],
        peers: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        """
        Prepare the relay.

        :param sink: learns of strikes from elsewhere
        :param send: sends a message to a connected peer
        :param peers: names the connected peers
        :param clock: monotonic time
        """
        self._sink = sink
        self._send = send
        self._peers = peers
        self._clock = clock
        self._struck_ms: OrderedDict[tuple[bytes, str], int] = OrderedDict()

    def add_own(self, strikes: Iterable[Strike]) -> None:
        """
        Spread strikes that this process saw itself.

        :param strikes: new strikes
        """
        self._forward([strike for strike in strikes if self._remember(strike)], sender="")

    def on_strikes(self, peer: str, strikes: Iterable[Strike]) -> None:
        """
        Take strikes from a peer; those that are new go on to the others.

        :param peer: the sender
        :param strikes: what it sent
        """
        new = [strike for strike in strikes if self._remember(strike)]
        now_ms = self._clock.now_ms()
        for strike in new:
            if self._sink is not None:
                self._sink.take_strike(strike, now_ms)
        self._forward(new, sender=peer)

    def on_connected(self, peer: str) -> None:
        """
        Tell a new peer the latest strikes.

        :param peer: its name
        """
        latest = list(self._struck_ms)[-STRIKES_PER_MESSAGE:]
        if latest:
            self._send(peer, StrikeList(strikes=tuple(self._to_strike(key) for key in latest)))

    def _remember(self, strike: Strike) -> bool:
        key = (strike.fingerprint, strike.backend_server)
        if key in self._struck_ms or len(strike.fingerprint) != FINGERPRINT_BYTES:
            return False
        self._struck_ms[key] = self._clock.now_ms() - strike.age_ms
        if len(self._struck_ms) > MAX_STRIKES:
            self._struck_ms.popitem(last=False)
        return True

    def _forward(self, strikes: list[Strike], sender: str) -> None:
        for start in range(0, len(strikes), STRIKES_PER_MESSAGE):
            message = StrikeList(strikes=tuple(strikes[start : start + STRIKES_PER_MESSAGE]))
            for name in self._peers():
                if name != sender:
                    self._send(name, message)

    def _to_strike(self, key: tuple[bytes, str]) -> Strike:
        fingerprint, backend_server = key
        age_ms = self._clock.now_ms() - self._struck_ms[key]
        return Strike(fingerprint=fingerprint, backend_server=backend_server, age_ms=age_ms)


__all__ = ["StrikeRelay"]
