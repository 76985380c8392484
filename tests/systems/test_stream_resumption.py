"""At which software version a stream may go on."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from boragetiller.systems.stream_resumption import (
    KnownVersion,
    StoredVersions,
    UnknownReason,
    UnknownVersion,
    decide_resumption,
)
from boragetiller.tables.stream_versions import (
    MAX_REQUEST_ID_CHARS,
    MAX_STREAMS,
    STREAM_LIFETIME_MS,
    StreamOrigin,
    StreamOriginTable,
    VersionHistory,
    VersionSource,
)

VERSIONS = st.sampled_from(["v1", "v1.1", "v2"])
SETS = st.frozensets(VERSIONS, max_size=3)


class ResumptionTest(unittest.TestCase):
    """Decisions for a stream that the router does not know."""

    @given(began=VERSIONS, served=SETS, recorded=st.booleans(), data=st.data())
    def test_stream_goes_on_only_at_the_version_that_began_it(
        self, began: str, served: frozenset[str], recorded: bool, data: st.DataObject
    ) -> None:
        # Each version that served is in the entry of the group or known to the router itself.
        seen = data.draw(st.frozensets(st.sampled_from(sorted(served | {began}))))
        stored = StoredVersions(frozenset({began} if recorded else ()), (served | {began}) - seen)
        decision = decide_resumption(stored, seen)
        if isinstance(decision, KnownVersion):
            self.assertEqual(decision.version, began)
        else:
            self.assertGreater(len(served | {began}), 1)
            self.assertFalse(recorded)

    def test_without_the_store_nothing_is_inferred(self) -> None:
        # Guards against a router that was cut off before it learned of a new version.
        for known in (frozenset({"v1"}), frozenset({"v1", "v2"})):
            decision = decide_resumption(None, known)
            self.assertEqual(decision, UnknownVersion(UnknownReason.STORE_UNREACHABLE))

    def test_one_version_that_router_and_store_know_is_enough(self) -> None:
        stored = StoredVersions(frozenset(), frozenset({"v1"}))
        known = decide_resumption(stored, frozenset({"v1"}))
        self.assertEqual(known, KnownVersion("v1", VersionSource.INFERRED))

    def test_service_of_which_nothing_is_known_is_unknown(self) -> None:
        decision = decide_resumption(StoredVersions(frozenset(), frozenset()), frozenset())
        self.assertEqual(decision, UnknownVersion(UnknownReason.NOT_RECORDED))


class StreamOriginTableTest(unittest.TestCase):
    """Origins of streams in memory."""

    def test_old_streams_are_dropped(self) -> None:
        table = StreamOriginTable()
        table.record("a", StreamOrigin("g", "v1", 0))
        table.record("b", StreamOrigin("g", "v1", STREAM_LIFETIME_MS))
        self.assertIsNone(table.find("a"))
        self.assertEqual(set(table.list_recent("g", STREAM_LIFETIME_MS)), {"b"})

    def test_number_of_streams_is_bounded(self) -> None:
        table = StreamOriginTable()
        for number in range(MAX_STREAMS + 1):
            table.record(str(number), StreamOrigin("g", "v1", 0))
        self.assertIsNone(table.find("0"))
        self.assertIsNotNone(table.find("1"))

    def test_long_ids_take_no_memory(self) -> None:
        table = StreamOriginTable()
        table.record("x" * (MAX_REQUEST_ID_CHARS + 1), StreamOrigin("g", "v1", 0))
        self.assertFalse(table.list_recent("g", 0))

    def test_version_is_recent_until_its_streams_have_ended(self) -> None:
        history = VersionHistory()
        history.observe("g", ["v1"], 0)
        history.observe("g", ["v2"], 1)
        self.assertEqual(history.list_recent("g", STREAM_LIFETIME_MS - 1), {"v1", "v2"})
        self.assertEqual(history.list_recent("g", STREAM_LIFETIME_MS), {"v2"})

    def test_version_that_comes_back_appears_again(self) -> None:
        history = VersionHistory()
        for now_ms, versions in enumerate((["v1"], ["v1", "v2"], ["v2"], ["v1", "v2"])):
            history.observe("g", versions, now_ms)
        self.assertEqual(history.get_appearances("g"), {"v1": 3, "v2": 1})


if __name__ == "__main__":
    unittest.main()
