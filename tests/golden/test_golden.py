"""Tests that each session produces the transcript in its golden file."""

from __future__ import annotations

import unittest

from tests.golden.refresh import FOLDER
from tests.golden.sessions import SESSIONS


class GoldenTest(unittest.IsolatedAsyncioTestCase):
    """One test per session."""

    maxDiff = None

    async def test_streamed_answer(self) -> None:
        await self._check_transcript("streamed_answer")

    async def test_engine_crash(self) -> None:
        await self._check_transcript("engine_crash")

    async def test_refused_burst(self) -> None:
        await self._check_transcript("refused_burst")

    async def test_repeated_reservation(self) -> None:
        await self._check_transcript("repeated_reservation")

    async def test_config_change(self) -> None:
        await self._check_transcript("config_change")

    async def test_drain(self) -> None:
        await self._check_transcript("drain")

    def test_each_file_belongs_to_a_session(self) -> None:
        names = {path.stem for path in FOLDER.glob("*.txt")}
        self.assertEqual(names, set(SESSIONS))

    async def _check_transcript(self, name: str) -> None:
        expected = (FOLDER / f"{name}.txt").read_text(encoding="utf-8")
        self.assertEqual(await SESSIONS[name](), expected)


if __name__ == "__main__":
    unittest.main()
