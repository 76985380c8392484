"""Each session gives the text of its golden file."""

from __future__ import annotations

import unittest

from tests.golden.refresh import FOLDER
from tests.golden.sessions import SESSIONS


class GoldenTest(unittest.IsolatedAsyncioTestCase):
    """One test a session."""

    maxDiff = None

    async def test_streamed_answer(self) -> None:
        await self._check("streamed_answer")

    async def test_engine_crash(self) -> None:
        await self._check("engine_crash")

    async def test_refused_burst(self) -> None:
        await self._check("refused_burst")

    async def test_repeated_reservation(self) -> None:
        await self._check("repeated_reservation")

    async def test_config_change(self) -> None:
        await self._check("config_change")

    async def test_drain(self) -> None:
        await self._check("drain")

    def test_no_file_without_session(self) -> None:
        names = {path.stem for path in FOLDER.glob("*.txt")}
        self.assertEqual(names, set(SESSIONS))

    async def _check(self, name: str) -> None:
        expected = (FOLDER / f"{name}.txt").read_text(encoding="utf-8")
        self.assertEqual(await SESSIONS[name](), expected)


if __name__ == "__main__":
    unittest.main()
