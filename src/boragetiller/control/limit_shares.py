"""Exchange of customers' limit shares between routers."""

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

MAX_REQUESTS_PER_HEARTBEAT = 32


class LimitShareExchange:
    """Requests each share from one peer at a time, and grants the requests of peers."""

    def __init__(
        self,
        share_lender: ShareLender,
        settings: ControlSettings,
        send: Callable[[str, Message], bool],
        clock: Clock,
        rng: Random,
    ) -> None:
        """
        Start without pending requests.

        :param share_lender: limits of this router
        :param settings: timeout of a request
        :param send: sends a message to a connected peer
        :param clock: monotonic time
        :param rng: generator that selects the peer
        """
        self._lender = share_lender
        self._settings = settings
        self._send = send
        self._clock = clock
        self._rng = rng
        # (peer, customer) -> monotonic time of the request in milliseconds
        self._pending_requests: dict[tuple[str, str], int] = {}

    def request_shares(self, peers: list[str]) -> None:
        """
        Request the shares that this router needs.

        :param peers: connected routers
        """
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - self._settings.suspect_after_ms
        self._pending_requests = {
            key: requested_ms
            for key, requested_ms in self._pending_requests.items()
            if requested_ms > oldest_ms
        }
        if not peers:
            return
        for customer, share in self._lender.list_wanted_shares(now_ms)[:MAX_REQUESTS_PER_HEARTBEAT]:
            peer = self._rng.choice(peers)
            if self._send(peer, ShareRequest(customer=customer, share=share)):
                self._pending_requests.setdefault((peer, customer), now_ms)

    def on_share_request(self, peer: str, message: ShareRequest) -> None:
        """
        Lend the available part of a requested share.

        :param peer: the sender
        :param message: customer and share
        """
        granted = self._lender.lend_share(message.customer, message.share, self._clock.now_ms())
        if granted > 0:
            self._send(peer, ShareGrant(customer=message.customer, share=granted))

    def on_share_grant(self, peer: str, message: ShareGrant) -> None:
        """
        Borrow a share that a peer granted, once for each request.

        :param peer: the sender
        :param message: customer and share
        """
        requested_ms = self._pending_requests.pop((peer, message.customer), None)
        if requested_ms is not None:
            self._lender.borrow_share(message.customer, message.share, requested_ms)


__all__ = ["LimitShareExchange"]
