"""Borrow parts of customers' limits from router peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.control.messages import ShareGrant, ShareRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from boragetiller.clock import Clock
    from boragetiller.control.interfaces import ShareLender
    from boragetiller.control.messages import Message
    from boragetiller.settings import ControlSettings

MAX_REQUESTS_PER_BEAT = 32


class LimitShareExchange:
    """Asks one peer at a time for a share, and answers the requests of peers."""

    def __init__(
        self,
        share_lender: ShareLender,
        settings: ControlSettings,
        send: Callable[[str, Message], bool],
        clock: Clock,
        rng: Random,
    ) -> None:
        """
        Prepare the exchange.

        :param lender: the limits of this router
        :param settings: how long an answer may take
        :param send: sends a message to a connected peer
        :param clock: monotonic time
        :param rng: seeded generator that picks the peer
        """
        self._lender = share_lender
        self._settings = settings
        self._send = send
        self._clock = clock
        self._rng = rng
        self._asked: dict[tuple[str, str], int] = {}  # (peer, customer) -> time of the request

    def ask(self, peers: list[str]) -> None:
        """
        Ask for what is wanted.

        :param peers: connected routers
        """
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - self._settings.suspect_after_ms
        self._asked = {key: asked for key, asked in self._asked.items() if asked > oldest_ms}
        if not peers:
            return
        for customer, share in self._lender.list_wanted_shares(now_ms)[:MAX_REQUESTS_PER_BEAT]:
            peer = self._rng.choice(peers)
            if self._send(peer, ShareRequest(customer=customer, share=share)):
                self._asked.setdefault((peer, customer), now_ms)

    def on_request(self, peer: str, message: ShareRequest) -> None:
        """
        Lend what can be spared.

        :param peer: the sender
        :param message: customer and share
        """
        granted = self._lender.lend_share(message.customer, message.share, self._clock.now_ms())
        if granted > 0:
            self._send(peer, ShareGrant(customer=message.customer, share=granted))

    def on_grant(self, peer: str, message: ShareGrant) -> None:
        """
        Use what was lent, once for each request.

        :param peer: the sender
        :param message: customer and share
        """
        requested_ms = self._asked.pop((peer, message.customer), None)
        if requested_ms is not None:
            self._lender.borrow_share(message.customer, message.share, requested_ms)


__all__ = ["LimitShareExchange"]
