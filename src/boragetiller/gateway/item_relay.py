"""Decides which store entries a router sends to which peer, and sends them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.control.errors import FrameTooLarge
from boragetiller.events import Event, log_event
from boragetiller.gateway.peer_messages import PeerItems, encode_frame
from boragetiller.gateway.store_revisions import StoreRevisions, is_newer
from boragetiller.hashing import stable_hash
from boragetiller.systems.report_peers import report_interval_ms

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from boragetiller.clock import Clock
    from boragetiller.gateway.peer_messages import PeerReport
    from boragetiller.gateway.peer_states import InboundPeer, OutboundPeer
    from boragetiller.gateway.state_sync import StateSync
    from boragetiller.tables.store_view import StoredItem

RESEND_DELAY_MS = 300  # a peer that watches the store gets missing entries only after this lag
RESEND_TURNS = 8  # of the peers that send the list to a router that missed changes
RESEND_ALL_INTERVAL_MS = 1_000  # bounds what two routers send that never agree
LOST_ITEMS_DELAY_MS = 300  # after a change of an era, in which entries arrive one by one


class ItemRelay:
    """Sends peers the store entries that they lack according to their reports."""

    def __init__(self, own_name: str, state_sync: StateSync, clock: Clock) -> None:
        """
        Create the relay.

        :param own_name: name of this process
        :param state_sync: store entries that this router knows
        :param clock: monotonic clock
        """
        self._own_name = own_name
        self._state_sync = state_sync
        self._clock = clock
        self._eras = (0, 0)  # of the newest known configuration and list of backend servers
        self._eras_since_ms = 0

    def record_report(self, peer: InboundPeer, report: PeerReport) -> None:
        """
        Compare what a peer knows of the store with what this router knows.

        :param peer: the peer
        :param report: its report
        """
        peer.revisions = StoreRevisions(
            report.config_revision, report.servers_revision, report.entries_digest
        )
        peer.watches = report.watches
        peer.config_source = report.config_source
        own_revisions = self._state_sync.get_revisions()
        if not own_revisions.knows_other_entries_than(peer.revisions):
            peer.differs_since_ms = None
        elif peer.differs_since_ms is None:
            peer.differs_since_ms = self._clock.now_ms()
        if not own_revisions.is_newer_than(peer.revisions):
            peer.behind_since_ms = None
        elif peer.behind_since_ms is None:
            peer.behind_since_ms = self._clock.now_ms()

    def send_missing_items(self, peer: InboundPeer, link: OutboundPeer, turn_ms: int) -> None:
        """
        Send the entries that a peer lacks according to its own reports.

        :param peer: the peer
        :param link: the connection to it
        :param turn_ms: delay of this router's turn to send many; see compute_resend_turn_ms
        """
        self._resend_all_items(peer, link, turn_ms)
        if peer.config_source == self._own_name:
            self._send_config(peer, link)
        if peer.behind_since_ms is None:
            return
        now_ms = self._clock.now_ms()
        peer_revisions = peer.revisions
        missed_restore = self._state_sync.get_revisions().is_eras_ahead_of(peer_revisions)
        delay_ms = RESEND_DELAY_MS + (turn_ms if missed_restore else 0)
        if now_ms - peer.behind_since_ms < delay_ms:
            sent_ms = peer.servers_sent_ms
            sent_lately = sent_ms is not None and now_ms - sent_ms < RESEND_DELAY_MS
            if peer.watches or missed_restore or sent_lately:
                return
            peer_revisions = self._without_config(peer_revisions)
            peer.servers_sent_ms = now_ms
        else:
            peer.behind_since_ms = now_ms
            if peer.asks_for_config:
                peer_revisions = self._without_config(peer_revisions)
        self.send_items(link.writer, self._state_sync.list_items_newer_than(peer_revisions))

    def update_eras(self, now_ms: int) -> bool:
        """
        Follow the eras of the known entries.

        :param now_ms: monotonic time in milliseconds
        :return: whether they have not changed for long enough to send what a restore lost
        """
        eras = self._state_sync.get_eras()
        if eras != self._eras:
            self._eras, self._eras_since_ms = eras, now_ms
        return now_ms - self._eras_since_ms >= LOST_ITEMS_DELAY_MS

    def send_lost_items(self, link: OutboundPeer, peer: InboundPeer | None) -> None:
        """
        Send the entries that a peer which joined after a restore cannot read from the store.

        :param link: the connection to the peer
        :param peer: the peer, None if it has not reported yet
        """
        eras = self._state_sync.get_eras()
        if link.lost_items_eras != eras:
            link.lost_items_eras = eras
            items = self._state_sync.list_items_lost_in_restore()
            self.send_items(link.writer, items, compact=peer is not None and peer.asks_for_config)

    def send_items(
        self, writer: asyncio.StreamWriter, items: Iterable[StoredItem], *, compact: bool = False
    ) -> None:
        """
        Send entries; one that is too large for a frame is left out.

        :param writer: connection to a peer
        :param items: entries and tombstones
        :param compact: whether the peer reads deflated values
        """
        for item in items:  # one frame each, so that one too large blocks no other
            try:
                writer.write(encode_frame(PeerItems((item,), compact=compact)))
            except FrameTooLarge as error:
                log_event(Event.PEER_ITEM_WITHHELD, key=item.key, reason=str(error))

    def _without_config(self, revisions: StoreRevisions) -> StoreRevisions:
        return attrs.evolve(revisions, config=self._state_sync.get_revisions().config)

    def _send_config(self, peer: InboundPeer, link: OutboundPeer) -> None:
        """Send the configuration to a peer that asks for it, once on each connection."""
        own_revision = self._state_sync.get_revisions().config
        if not is_newer(own_revision, peer.revisions.config):
            return
        if link.writer.transport.get_write_buffer_size() > 0:
            return  # with the next report, so that no queue of versions builds up on a slow link
        if own_revision != link.config_revision:
            link.config_revision = own_revision
            items = self._state_sync.config.list_items_newer_than(peer.revisions.config)
            self.send_items(link.writer, items, compact=peer.asks_for_config)

    def _resend_all_items(self, peer: InboundPeer, link: OutboundPeer, turn_ms: int) -> None:
        """Send all entries to a peer that knows the same revisions and other entries for long."""
        if peer.differs_since_ms is None:
            return
        now_ms = self._clock.now_ms()
        if now_ms - peer.differs_since_ms >= RESEND_DELAY_MS + turn_ms:
            peer.differs_since_ms = now_ms + RESEND_ALL_INTERVAL_MS
            known = StoreRevisions(0, 0)
            if (
                peer.asks_for_config
                and link.config_revision == self._state_sync.get_revisions().config
            ):
                known = self._without_config(known)
            link.config_revision = self._state_sync.get_revisions().config
            items = self._state_sync.list_items_newer_than(known)
            self.send_items(link.writer, items, compact=peer.asks_for_config)


def compute_resend_turn_ms(own: str, peer: str, inbound_peers: int, outbound_peers: int) -> int:
    """
    Compute the delay of a router's turn to send the list to a peer that missed changes.

    A turn takes two report intervals, in which the peer reports that it has the list.

    :param own: address of this router
    :param peer: address of the peer
    :param inbound_peers: number of routers that report to this one
    :param outbound_peers: number of routers that this one reports to
    :return: delay in milliseconds
    """
    turns = max(1, min(inbound_peers, RESEND_TURNS))
    return stable_hash(own, peer) % turns * 2 * report_interval_ms(outbound_peers)


__all__ = ["LOST_ITEMS_DELAY_MS", "ItemRelay", "compute_resend_turn_ms"]
