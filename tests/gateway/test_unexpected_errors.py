"""Errors that no code expects are logged and counted, wherever they are raised."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from boragetiller.events import Event
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.supervisor import record_loop_errors
from tests.gateway.harness import RouterHarness, wait_until


async def fail() -> None:
    raise RuntimeError("unexpected")


class UnexpectedErrorsTest(unittest.IsolatedAsyncioTestCase):
    async def test_error_of_a_request_handler_is_logged_with_its_origin(self) -> None:
        # Guards against a status 500 of which only a counter tells.
        harness = RouterHarness()
        await harness.start()
        self.addAsyncCleanup(harness.close)
        broken = patch.object(
            harness.router.call_handler, "_serve", side_effect=RuntimeError("unexpected")
        )
        with broken, patch("boragetiller.http_refusals.log_event") as log:
            async with harness.call("/stock/") as response:
                self.assertEqual(response.status, 500)
        self.assertEqual(log.call_args.args, (Event.REQUEST_CRASHED,))
        self.assertEqual(log.call_args.kwargs["reason"], "RuntimeError('unexpected')")
        self.assertRegex(log.call_args.kwargs["raised_at"], r"^mock\.py:\d+ ")
        self.assertEqual(harness.router.metrics.refused.labels("internal")._value.get(), 1)

    async def test_error_of_a_task_that_nobody_awaits_is_logged_and_counted(self) -> None:
        # Guards against errors that appear on standard error only, when the task is collected.
        metrics, loop = GatewayMetrics(), asyncio.get_running_loop()
        with (
            patch.object(loop, "default_exception_handler"),
            patch("boragetiller.gateway.supervisor.log_event") as log,
        ):
            record_loop_errors(loop, metrics)
            self.addCleanup(loop.set_exception_handler, None)
            asyncio.create_task(fail())  # noqa: RUF006
            await wait_until(lambda: log.called)
        self.assertEqual(log.call_args.kwargs["task"], "event loop")
        self.assertRegex(
            log.call_args.kwargs["raised_at"], r"^test_unexpected_errors\.py:\d+ fail$"
        )
        self.assertEqual(metrics.task_failures.labels("event loop")._value.get(), 1)


if __name__ == "__main__":
    unittest.main()
