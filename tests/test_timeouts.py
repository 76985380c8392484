"""Tests of limited waiting."""

from __future__ import annotations

import asyncio
import unittest

from boragetiller.timeouts import wait_with_timeout


class WithinTest(unittest.IsolatedAsyncioTestCase):
    """Results, timeouts and cancellation."""

    async def test_within_returns_result(self) -> None:
        self.assertEqual(await wait_with_timeout(1.0, asyncio.sleep(0, "done")), "done")

    async def test_within_times_out(self) -> None:
        with self.assertRaises(TimeoutError):
            await wait_with_timeout(0.001, asyncio.Event().wait())

    async def test_within_keeps_cancellation_that_meets_the_result(self) -> None:
        result: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(wait_with_timeout(1.0, result))
        await asyncio.sleep(0)
        result.set_result(None)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == "__main__":
    unittest.main()
