"""No stream is joined from two versions, whatever routers know and whenever writes are executed."""

from __future__ import annotations

import unittest
from random import Random

import attrs

from boragetiller.gateway.streams.group_versions import GroupVersions
from boragetiller.systems.group_entries import (
    REMOVAL_MS,
    StoredEntry,
    decide_entry,
    is_read_due,
    observe_entry,
)
from boragetiller.systems.list_coverage import ListCoverage
from boragetiller.systems.stream_resumption import KnownVersion, StoredVersions, decide_resumption
from boragetiller.systems.watcher_election import WatcherElection
from boragetiller.tables.stream_versions import STREAM_LIFETIME_MS

VERSIONS = ("v1", "v2", "v3")
ROUTERS = 4
STEP_MS = 250
DRAIN_MS = 2_000
LINGER_MS = 10_000  # for which servers go on after their entry is gone
LAG_MS = DRAIN_MS  # in which a change of the list reaches a router that reaches the store
WAIT_STEPS = (1, 2, 4, 8, 40, 80, REMOVAL_MS // STEP_MS)
SEEDS = (*range(17), 28, 87, 466)
ACTIONS = 50


@attrs.define
class Listed:
    """The versions in a router's list of servers."""

    versions: frozenset[str] = frozenset()
    read_ms: int = -1  # when the store had these; an older list never replaces a newer one

    def find_versions(self, _group: str) -> frozenset[str]:
        """See :class:`ServerTable`."""
        return self.versions


@attrs.define(eq=False)
class Store:
    """Entry of the group and records of streams; some writes are executed late or never."""

    now: int = 0
    present: list[tuple[int, frozenset[str]]] = attrs.field(factory=list)  # list, by time
    marks: dict[str, int] = attrs.field(factory=dict)
    revision: int = 1
    records: dict[int, set[str]] = attrs.field(factory=dict)
    late_entries: list[tuple[int, dict[str, int]]] = attrs.field(factory=list)
    late_records: list[tuple[int, str]] = attrs.field(factory=list)

    def now_ms(self) -> int:
        """:return: the time of the run"""
        return self.now

    def list_at(self, time_ms: int) -> frozenset[str]:
        """:return: the versions that were listed at a time"""
        return [versions for since_ms, versions in self.present if since_ms <= time_ms][-1]

    def list_serving(self) -> frozenset[str]:
        """:return: versions whose servers still respond"""
        start_ms = self.now - LINGER_MS
        recent = [versions for since_ms, versions in self.present if since_ms > start_ms]
        return frozenset.union(self.list_at(max(0, start_ms)), *recent)

    def write_entry(self, expected: int, marks: dict[str, int]) -> None:
        """Execute a write if its condition holds."""
        if expected == self.revision:
            self.marks, self.revision = marks, self.revision + 1

    def execute_late(self) -> None:
        """Execute the writes that got no answer."""
        for expected, marks in self.late_entries:
            self.write_entry(expected, marks)
        for stream, version in self.late_records:
            self.records.setdefault(stream, set()).add(version)
        self.late_entries.clear()
        self.late_records.clear()


class Router:
    """A router with what it remembers since its start."""

    def __init__(self, name: str, store: Store, lag_ms: int) -> None:
        """
        Start a router.

        :param name: its name
        :param store: the store, also the clock
        :param lag_ms: age of its list while it reaches the store
        """
        self.store = store
        self.lag_ms = lag_ms
        self.listed = Listed()
        self.versions = GroupVersions(
            self.listed,  # type: ignore[arg-type]
            store,
        )
        self.election = WatcherElection(name, DRAIN_MS)
        self.coverage = ListCoverage()
        self.entry: StoredEntry | None = None
        self.own: dict[int, str] = {}  # versions of the streams that it has begun or read
        self.pending: dict[int, str] = {}
        self.was_mixed = False
        self.frozen = False
        self.cut_off_ms: int | None = None  # since when it does not reach the store
        self.loses_writes = False

    @property
    def claims_store(self) -> bool:
        """:return: whether it says that it reaches the store; it learns of a cut late"""
        return self.cut_off_ms is None or self.store.now - self.cut_off_ms < DRAIN_MS

    def follow(self, peers: list[Router]) -> None:
        """Bring the list up to date, from the store or from peers that reach it."""
        now_ms = self.store.now
        if self.cut_off_ms is None:
            self.take_list(self.store.list_at(now_ms - self.lag_ms), now_ms - self.lag_ms)
            self.election.own_list_ms = now_ms
        for peer in peers:
            if peer is not self and peer.claims_store and peer.listed.versions:
                self.election.record_peer(peer.election.own_name, now_ms, reaches_store=True)
                if self.cut_off_ms is not None:
                    self.take_list(peer.listed.versions, peer.listed.read_ms)
        is_current = self.election.has_current_list(now_ms)
        self.coverage.observe(now_ms, is_current=is_current)

    def take_list(self, versions: frozenset[str], read_ms: int) -> None:
        """Replace the list by a newer one."""
        if read_ms > self.listed.read_ms:
            self.listed.versions, self.listed.read_ms = versions, read_ms

    def write(self) -> None:
        """Update the entry and write the records, as the gateway does."""
        sightings = self.versions.get_sightings("g")
        is_mixed = len(self.versions.list_known("g")) > 1
        if is_mixed and not self.was_mixed:
            self.pending |= self.own
        self.was_mixed = is_mixed
        if self.cut_off_ms is not None:
            return
        now_ms, known = self.store.now, self.entry
        is_certain = self.coverage.covers_streams(now_ms)
        is_due = known is None or is_read_due(known, sightings, now_ms, 0.5)
        if (
            known is None
            or is_due
            or decide_entry(known, sightings, now_ms, is_certain=is_certain) is not None
        ):
            self.update_entry(is_certain=is_certain)
        if self.loses_writes:
            self.store.late_records += self.pending.items()
            return
        for stream, version in self.pending.items():
            self.store.records.setdefault(stream, set()).add(version)
        self.pending.clear()

    def update_entry(self, *, is_certain: bool) -> None:
        """Read the entry, and write what is due."""
        entry = self.read_entry()
        sightings = self.versions.get_sightings("g")
        marks = decide_entry(entry, sightings, self.store.now, is_certain=is_certain)
        if marks is not None and self.loses_writes:
            self.store.late_entries.append((entry.revision, marks))
        elif marks is not None:
            self.store.write_entry(entry.revision, marks)
            self.read_entry()

    def read_entry(self) -> StoredEntry:
        """:return: the entry"""
        store = self.store
        self.entry = observe_entry(self.entry, store.marks, store.revision, store.now)
        self.versions.record_stored("g", frozenset(store.marks))
        return self.entry

    def begin(self, stream: int, rng: Random) -> str | None:
        """Begin a stream at a version that is listed; return the version."""
        startable = self.versions.list_startable("g")
        usable = (startable or self.listed.versions) & self.store.list_serving()
        if not usable:
            return None
        version = self.own[stream] = rng.choice(sorted(usable))
        if len(self.versions.list_known("g")) > 1:
            self.pending[stream] = version
        return version

    def find(self, stream: int) -> str | None:
        """:return: version at which a stream goes on, None if it is refused"""
        if stream in self.own:
            return self.own[stream]
        stored = None
        if self.cut_off_ms is None:
            records = frozenset(self.store.records.get(stream, ()))
            groups = frozenset() if records else frozenset(self.read_entry().marks)
            stored = StoredVersions(records, groups)
        decision = decide_resumption(stored, self.versions.list_known("g"))
        return decision.version if isinstance(decision, KnownVersion) else None


class Fleet:
    """Routers, streams and what happens to them."""

    def __init__(self, seed: int) -> None:
        """:param seed: seed of the run"""
        self.rng = Random(seed)
        self.store = Store(present=[(-LAG_MS, frozenset({"v1"}))])
        self.routers = [self.start(number) for number in range(ROUTERS)]
        self.streams: dict[int, tuple[int, str]] = {}  # begin and version
        self.resumed = self.refused = 0

    def start(self, number: int) -> Router:
        """:return: a started router"""
        return Router(f"router-{number}", self.store, self.rng.randrange(LAG_MS))

    def act(self) -> None:
        """Change something at random."""
        number = self.rng.randrange(ROUTERS)
        router = self.routers[number]
        match self.rng.randrange(8):
            case 0 | 1:
                self.change_list(frozenset(self.rng.sample(VERSIONS, self.rng.choice((1, 1, 2)))))
            case 2:
                router.frozen = not router.frozen
            case 3 | 4:
                router.cut_off_ms = self.store.now if router.cut_off_ms is None else None
            case 5:
                router.loses_writes = not router.loses_writes
            case 6:
                self.store.execute_late()
            case 7:
                self.routers[number] = self.start(number)

    def change_list(self, versions: frozenset[str]) -> None:
        """Change the list, but keep a version until all routers have had time to list another."""
        start_ms = self.store.now - 2 * LAG_MS
        recent = [self.store.list_at(max(0, start_ms))]
        recent += [listed for since_ms, listed in self.store.present if since_ms > start_ms]
        kept = frozenset.intersection(*recent)
        if not versions & kept:
            versions |= {self.rng.choice(sorted(kept))}
        self.store.present.append((self.store.now, versions))

    def step(self) -> list[str]:
        """Let some time pass; return the joined streams."""
        self.store.now += STEP_MS
        running = [router for router in self.routers if not router.frozen]
        for router in running:
            router.follow(running)
        for router in running:
            router.write()
        joined = []
        for router in running:
            stream = len(self.streams)
            version = router.begin(stream, self.rng)
            if version is not None:
                self.streams[stream] = (self.store.now, version)
        for router in running:
            stream = max(0, len(self.streams) - 1 - int(self.rng.expovariate(0.05)))
            began_ms, version = self.streams.get(stream, (0, ""))
            if not version or self.store.now - began_ms >= STREAM_LIFETIME_MS - STEP_MS:
                continue
            found = router.find(stream)
            self.resumed += found is not None
            self.refused += found is None
            if found not in (None, version):
                joined.append(f"stream {stream} of {version} at {found}")
        return joined


class JoinedVersionsTest(unittest.TestCase):
    """Streams over random runs."""

    def test_no_stream_goes_on_at_another_version(self) -> None:
        resumed = refused = 0
        for seed in SEEDS:
            fleet = Fleet(seed)
            for _ in range(ACTIONS):
                fleet.act()
                for _ in range(fleet.rng.choice(WAIT_STEPS)):
                    self.assertEqual(fleet.step(), [], f"seed {seed}, {fleet.store.now} ms")
            resumed += fleet.resumed
            refused += fleet.refused
        self.assertGreater(resumed, refused)


if __name__ == "__main__":
    unittest.main()
