"""Tests of waiting with a time limit."""

from __future__ import annotations

import asyncio
import unittest

from boragetiller.timeouts import wait_with_timeout


class WaitWithTimeoutTest(unittest.IsolatedAsyncioTestCase):
    """Results, timeouts and cancellation."""

    async def test_result_is_returned(self) -> None:
        self.assertEqual(await wait_with_timeout(1.0, asyncio.sleep(0, "done")), "done")

    async def test_timeout_is_raised(self) -> None:
        with self.assertRaises(TimeoutError):
            await wait_with_timeout(0.001, asyncio.Event().wait())

    async def test_cancellation_at_the_same_time_as_the_result_is_not_lost(self) -> None:
        result: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(wait_with_timeout(1.0, result))
        await asyncio.sleep(0)
        result.set_result(None)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == "__main__":
    unittest.main()
