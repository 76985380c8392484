"""
Distribution of configuration pages between connected peers.

A node that applies a newer page immediately announces its revision to the peers that may not have
it; each of them requests the page from one of the peers that announced it. Heartbeats carry a
digest of all revisions. If the digests of two peers stay different, the complete list of revisions
is sent again.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from boragetiller.control.messages import PageRequest, PageResponse, PageVersions

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.clock import Clock
    from boragetiller.control.interfaces import ConfigPage, ConfigPages
    from boragetiller.control.messages import Message
    from boragetiller.settings import ControlSettings

PAGES_PER_REQUEST = 8
DIGEST_BYTES = 4
MIN_MISMATCHED_HEARTBEATS = 2


@attrs.define
class _PeerPages:
    revisions: dict[int, int] = attrs.Factory(dict)
    complete: bool = False
    mismatched_heartbeats: int = 0


@attrs.frozen
class _PendingFetch:
    peer: str
    expires_ms: int


class ConfigPageRelay:
    """Synchronizes the configuration pages of this node with those of its peers."""

    def __init__(
        self,
        config: ConfigPages,
        settings: ControlSettings,
        send: Callable[[str, Message], bool],
        clock: Clock,
    ) -> None:
        """
        Start without peers.

        :param config: configuration pages of this node
        :param settings: heartbeat interval
        :param send: sends a message to a connected peer
        :param clock: monotonic time
        """
        self._config = config
        self._settings = settings
        self._send = send
        self._clock = clock
        self._peers: dict[str, _PeerPages] = {}
        self._pending_fetches: dict[int, _PendingFetch] = {}
        self._announced_revisions: dict[int, int] = {}
        self._announced_ready = False
        self._digest = compute_digest({})
        # last revision, by index, of the pages that this version cannot store
        self._rejected_revisions: dict[int, int] = {}

    @property
    def digest(self) -> int:
        """:return: digest of the announced revisions, for the heartbeat"""
        return self._digest

    def on_connected(self, peer: str) -> None:
        """
        Send all revisions to a new peer, and what it cannot read from a restored store.

        :param peer: name of the peer
        """
        self._peers[peer] = _PeerPages()
        self._send_all_revisions(peer)
        for page in self._config.list_lost_pages():
            self._send_page(peer, page)

    def on_disconnected(self, peer: str) -> None:
        """
        Remove a peer, and request the pages that it did not deliver from other peers.

        :param peer: name of the peer
        """
        self._peers.pop(peer, None)
        for index in [i for i, fetch in self._pending_fetches.items() if fetch.peer == peer]:
            del self._pending_fetches[index]
        self._config.remove_peer(peer)
        self.retry_overdue_requests()

    def on_page_versions(self, peer: str, message: PageVersions) -> None:
        """
        Record the revisions of a peer and request the newer pages.

        :param peer: the sender
        :param message: all revisions of the peer, or those that changed
        """
        state = self._peers.setdefault(peer, _PeerPages())
        base = state.revisions if message.partial else {}
        state.revisions = {**base, **message.revisions}
        state.complete = message.complete
        state.mismatched_heartbeats = 0
        self._config.record_peer_revisions(peer, state.revisions, complete=state.complete)
        self._request_newer_pages(peer)

    def on_page_request(self, peer: str, message: PageRequest) -> None:
        """
        Send the pages that a peer requests.

        :param peer: the sender
        :param message: indexes of the pages
        """
        wanted = set(message.indexes[:PAGES_PER_REQUEST])
        for page in self._config.list_newer_pages({}):
            if page.index in wanted:
                self._send_page(peer, page)

    def on_page_response(self, peer: str, message: PageResponse) -> bool:
        """
        Apply a page.

        :param peer: the sender
        :param message: the page
        :return: whether the page was newer than the present one and was applied
        """
        self._pending_fetches.pop(message.index, None)
        applied = self._config.apply_page(message.index, message.revision, message.body)
        if not applied:
            rejected = self._rejected_revisions.get(message.index, 0)
            self._rejected_revisions[message.index] = max(rejected, message.revision)
        else:
            self._send_lost_pages(peer, message)
        if not any(fetch.peer == peer for fetch in self._pending_fetches.values()):
            self._request_newer_pages(peer)
        return applied

    def on_digest(self, peer: str, digest: int) -> None:
        """
        Compare the digest in a peer's heartbeat with that of this node.

        :param peer: the sender
        :param digest: digest of the revisions of the peer
        """
        state = self._peers.get(peer)
        if state is None:
            return
        self._config.record_peer_contact(peer)
        if digest == self._digest:
            self._handle_equal_digest(peer, state)
            return
        state.mismatched_heartbeats += 1
        if _is_power_of_two(state.mismatched_heartbeats, at_least=MIN_MISMATCHED_HEARTBEATS):
            self._send_all_revisions(peer)

    def announce_changes(self) -> None:
        """Send each peer the revisions that changed and that it may not have."""
        own_revisions = self._config.get_page_revisions()
        ready = self._config.ready
        became_ready = ready and not self._announced_ready
        changed = {i: r for i, r in own_revisions.items() if self._announced_revisions.get(i) != r}
        if not changed and not became_ready:
            return
        self._announced_revisions = own_revisions
        self._announced_ready = ready
        self._digest = compute_digest(own_revisions)
        for name, state in list(self._peers.items()):
            newer_revisions = {i: r for i, r in changed.items() if state.revisions.get(i, 0) < r}
            if newer_revisions or became_ready:
                self._send(
                    name, PageVersions(revisions=newer_revisions, partial=True, complete=ready)
                )

    def retry_overdue_requests(self) -> None:
        """Request overdue pages again, from peers that answered in time if possible."""
        now_ms = self._clock.now_ms()
        timed_out = {
            i: fetch for i, fetch in self._pending_fetches.items() if fetch.expires_ms <= now_ms
        }
        for index in timed_out:
            del self._pending_fetches[index]
        slow_peers = {fetch.peer for fetch in timed_out.values()}
        for name in sorted(self._peers, key=lambda peer: peer in slow_peers):
            self._request_newer_pages(name)

    def _request_newer_pages(self, peer: str) -> None:
        state = self._peers.get(peer)
        if state is None or state.revisions is self._announced_revisions:
            return
        own_revisions = self._config.get_page_revisions()
        expires_ms = self._clock.now_ms() + self._settings.heartbeat_ms
        wanted = [
            index
            for index, revision in sorted(state.revisions.items())
            if revision > max(own_revisions.get(index, 0), self._rejected_revisions.get(index, 0))
            and index not in self._pending_fetches
        ][:PAGES_PER_REQUEST]
        if wanted and self._send(peer, PageRequest(indexes=tuple(wanted))):
            self._pending_fetches.update(
                {index: _PendingFetch(peer, expires_ms) for index in wanted}
            )

    def _send_lost_pages(self, peer: str, received: PageResponse) -> None:
        """Send what this node retains of a page to the peer that it received the page from."""
        for page in self._config.list_lost_pages():
            if page.index == received.index and page.revision < received.revision:
                self._send_page(peer, page)

    def _send_page(self, peer: str, page: ConfigPage) -> None:
        self._send(peer, PageResponse(index=page.index, revision=page.revision, body=page.data))

    def _handle_equal_digest(self, peer: str, state: _PeerPages) -> None:
        state.mismatched_heartbeats = 0
        if state.revisions is self._announced_revisions:
            return
        if state.revisions != self._announced_revisions:
            self._config.record_peer_revisions(
                peer, self._announced_revisions, complete=state.complete
            )
        state.revisions = self._announced_revisions  # shared by all peers with equal pages

    def _send_all_revisions(self, peer: str) -> None:
        own_revisions = self._config.get_page_revisions()
        self._send(peer, PageVersions(revisions=own_revisions, complete=self._config.ready))


def compute_digest(revisions: dict[int, int]) -> int:
    """
    Compute a digest of page revisions.

    :param revisions: store revisions by page index
    :return: 32-bit digest
    """
    text = ",".join(f"{index}:{revision}" for index, revision in sorted(revisions.items()))
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


def _is_power_of_two(count: int, *, at_least: int) -> bool:
    return count >= at_least and count & (count - 1) == 0


__all__ = ["ConfigPageRelay", "compute_digest"]
