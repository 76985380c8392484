"""
Relay configuration pages between connected peers.

A node that takes a newer page announces its revision at once to the peers that may lack it, and
each asks one of those who announced it. Heartbeats carry a digest of all revisions; where two
digests stay different, the full list of revisions is sent again.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from boragetiller.control.messages import PageRequest, PageResponse, PageVersions

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.clock import Clock
    from boragetiller.control.interfaces import ConfigPages
    from boragetiller.control.messages import Message
    from boragetiller.settings import ControlSettings

PAGES_PER_REQUEST = 8
DIGEST_BYTES = 4
REPAIR_BEATS = 2


@attrs.define
class _PeerPages:
    revisions: dict[int, int] = attrs.Factory(dict)
    complete: bool = False
    differing_beats: int = 0


@attrs.frozen
class _Fetch:
    peer: str
    until_ms: int


class ConfigPageRelay:
    """Keeps the pages of this node and of its peers equal."""

    def __init__(
        self,
        config: ConfigPages,
        settings: ControlSettings,
        send: Callable[[str, Message], bool],
        clock: Clock,
    ) -> None:
        """
        Prepare the relay.

        :param config: pages of this node
        :param settings: timeouts
        :param send: sends a message to a connected peer
        :param clock: monotonic time
        """
        self._config = config
        self._settings = settings
        self._send = send
        self._clock = clock
        self._peers: dict[str, _PeerPages] = {}
        self._fetches: dict[int, _Fetch] = {}
        self._announced: dict[int, int] = {}
        self._announced_ready = False
        self._digest = digest_of({})
        self._refused: dict[int, int] = {}  # revision of pages that this version can't hold

    @property
    def digest(self) -> int:
        """:return: digest of the announced revisions, for the heartbeat"""
        return self._digest

    def on_connected(self, peer: str) -> None:
        """
        Tell a new peer which pages this node holds.

        :param peer: its name
        """
        self._peers[peer] = _PeerPages()
        self._send_all_versions(peer)

    def on_disconnected(self, peer: str) -> None:
        """
        Forget a peer and ask others for what it did not deliver.

        :param peer: its name
        """
        self._peers.pop(peer, None)
        for index in [i for i, fetch in self._fetches.items() if fetch.peer == peer]:
            del self._fetches[index]
        self._config.remove_peer(peer)
        self.request_missing()

    def on_versions(self, peer: str, message: PageVersions) -> None:
        """
        Take a peer's revisions and ask for those that are newer.

        :param peer: the sender
        :param message: all of its revisions, or those that changed
        """
        state = self._peers.setdefault(peer, _PeerPages())
        base = state.revisions if message.partial else {}
        state.revisions = {**base, **message.revisions}
        state.complete = message.complete
        state.differing_beats = 0
        self._config.record_peer_revisions(peer, state.revisions, complete=state.complete)
        self._request_from(peer)

    def on_request(self, peer: str, message: PageRequest) -> None:
        """
        Send the pages that a peer asks for.

        :param peer: the sender
        :param message: the indexes
        """
        wanted = set(message.indexes[:PAGES_PER_REQUEST])
        for page in self._config.list_newer_pages({}):
            if page.index in wanted:
                self._send(
                    peer, PageResponse(index=page.index, revision=page.revision, body=page.data)
                )

    def on_response(self, peer: str, message: PageResponse) -> bool:
        """
        Take a page.

        :param peer: the sender
        :param message: the page
        :return: whether it was newer than the one held
        """
        self._fetches.pop(message.index, None)
        taken = self._config.apply_page(message.index, message.revision, message.body)
        if not taken:
            self._refused[message.index] = message.revision
        if not any(fetch.peer == peer for fetch in self._fetches.values()):
            self._request_from(peer)
        return taken

    def on_digest(self, peer: str, digest: int) -> None:
        """
        Compare a peer's heartbeat with the pages held here.

        :param peer: the sender
        :param digest: digest of its revisions
        """
        state = self._peers.get(peer)
        if state is None:
            return
        self._config.record_peer_contact(peer)
        if digest == self._digest:
            self._note_equal(peer, state)
            return
        state.differing_beats += 1
        if _is_power_of_two(state.differing_beats, at_least=REPAIR_BEATS):
            self._send_all_versions(peer)

    def announce(self) -> None:
        """Tell each peer the revisions that changed here and that it may lack."""
        own = self._config.get_page_revisions()
        ready = self._config.ready
        became_ready = ready and not self._announced_ready
        changed = {i: r for i, r in own.items() if self._announced.get(i) != r}
        if not changed and not became_ready:
            return
        self._announced = own
        self._announced_ready = ready
        self._digest = digest_of(own)
        for name, state in list(self._peers.items()):
            news = {i: r for i, r in changed.items() if state.revisions.get(i, 0) < r}
            if news or became_ready:
                self._send(name, PageVersions(revisions=news, partial=True, complete=ready))

    def request_missing(self) -> None:
        """Ask again for pages that did not arrive in time."""
        now_ms = self._clock.now_ms()
        late = {i: fetch for i, fetch in self._fetches.items() if fetch.until_ms <= now_ms}
        for index in late:
            del self._fetches[index]
        slow_peers = {fetch.peer for fetch in late.values()}
        for name in sorted(self._peers, key=lambda peer: peer in slow_peers):
            self._request_from(name)

    def _request_from(self, peer: str) -> None:
        state = self._peers.get(peer)
        if state is None or state.revisions is self._announced:
            return
        own = self._config.get_page_revisions()
        until_ms = self._clock.now_ms() + self._settings.heartbeat_ms
        wanted = [
            index
            for index, revision in sorted(state.revisions.items())
            if revision > max(own.get(index, 0), self._refused.get(index, 0))
            and index not in self._fetches
        ][:PAGES_PER_REQUEST]
        if wanted and self._send(peer, PageRequest(indexes=tuple(wanted))):
            self._fetches.update({index: _Fetch(peer, until_ms) for index in wanted})

    def _note_equal(self, peer: str, state: _PeerPages) -> None:
        state.differing_beats = 0
        if state.revisions is self._announced:
            return
        if state.revisions != self._announced:
            self._config.record_peer_revisions(peer, self._announced, complete=state.complete)
        state.revisions = self._announced  # shared by all peers that hold the same pages

    def _send_all_versions(self, peer: str) -> None:
        own = self._config.get_page_revisions()
        self._send(peer, PageVersions(revisions=own, complete=self._config.ready))


def digest_of(revisions: dict[int, int]) -> int:
    """
    Sum up page revisions.

    :param revisions: store revision by page index
    :return: a number that differs for other revisions, of 32 bits
    """
    text = ",".join(f"{index}:{revision}" for index, revision in sorted(revisions.items()))
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


def _is_power_of_two(count: int, *, at_least: int) -> bool:
    return count >= at_least and count & (count - 1) == 0


__all__ = ["ConfigPageRelay", "digest_of"]
