"""Test of the demo as a process."""

from __future__ import annotations

import asyncio
import signal
import sys
import unittest

PROGRAM = """
import asyncio, sys
from boragetiller.cli.demo import demo
sys.exit(asyncio.run(demo(0)))
"""


class DemoProcessTest(unittest.IsolatedAsyncioTestCase):
    """Start, printed text and stop."""

    async def test_demo_prints_commands_and_stops_on_sigterm(self) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", PROGRAM, stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        text = (await process.stdout.readuntil(b"Ctrl-C stops gracefully.")).decode()
        process.send_signal(signal.SIGTERM)
        await process.communicate()
        self.assertEqual(process.returncode, 0)
        for part in ("curl -N http://127.0.0.1:", "Idempotency-Key: sheet-17", "demo-kopar"):
            self.assertIn(part, text)


if __name__ == "__main__":
    unittest.main()
