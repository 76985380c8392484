"""Stories and summaries from the logs of several routers."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.cli.exit_codes import ExitCode
from boragetiller.cli.main import run
from boragetiller.logs.incident import summarize_incident
from boragetiller.logs.lines import parse_lines
from boragetiller.logs.timeline import build_timeline

START_MS = 1_800_000_000_000


def line(at_ms: int, event: str, process: str = "r1", **fields: object) -> str:
    known = {"time_ms": START_MS + at_ms, "process": process, "event_name": event}
    return json.dumps(known | fields)


def call(at_ms: int, server: str, *, failed: bool = False, process: str = "r1") -> str:
    fields = {"request_id": f"id-{at_ms}", "server": server, "route": "quotes"}
    if failed:
        ended = {"reason": "attempts", "end": "lost"}
        return line(at_ms, "call_failed", process, **fields, **ended)
    return line(at_ms, "call_answered", process, **fields, status=200)


class LinesTest(unittest.TestCase):
    def test_lines_of_several_processes_come_in_order_of_time(self) -> None:
        logs = parse_lines([line(5, "b", "r2"), "text before " + line(1, "a"), "no event", ""])
        self.assertEqual([each.event for each in logs.lines], ["a", "b"])
        self.assertEqual(logs.unreadable, 1)

    @given(st.lists(st.text(max_size=40), max_size=6))
    @settings(derandomize=True, deadline=None)
    def test_noise_is_counted(self, texts: list[str]) -> None:
        logs = parse_lines(texts)
        self.assertEqual(logs.unreadable, sum(1 for text in texts if text.strip()))


class StoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines = parse_lines(
            [
                line(-20_000, "routes_taken", version=1),
                line(-4_000, "config_store_unreachable", reason="reset"),
                line(-3_000, "config_store_unreachable", "r2", reason="reset"),
                line(0, "call_placed", request_id="x", server="e1"),
                line(10, "call_placed", request_id="y", server="e2"),
                line(40, "call_failed", request_id="x", server="e1", end="lost"),
                line(900, "server_gone", server="e1"),
                line(900, "server_gone", server="e3"),
            ]
        ).lines

    def test_story_has_the_request_and_what_its_router_believed(self) -> None:
        steps = build_timeline(self.lines, "x")
        self.assertEqual(
            [(step.at_ms, step.event, step.about_request) for step in steps],
            [
                (-4_000, "config_store_unreachable", False),
                (0, "call_placed", True),
                (40, "call_failed", True),
                (900, "server_gone", False),
            ],
        )

    def test_unknown_request_has_no_story(self) -> None:
        self.assertEqual(build_timeline(self.lines, "z"), [])


class IncidentTest(unittest.TestCase):
    def summary(self) -> object:
        calls = [call(at_ms, f"e{at_ms % 4}") for at_ms in range(0, 10_000, 101)]
        failed = [call(6_000 + at_ms, "e9", failed=True) for at_ms in range(0, 500, 100)]
        changes = [
            line(100, "server_joined", server="e1"),
            line(5_500, "server_ejected", server="e9"),
            line(5_600, "server_ejected", "r2", server="e9"),
        ]
        lines = parse_lines([*calls, *failed, *changes]).lines
        return summarize_incident(lines, START_MS, START_MS + 10_000)

    def test_summary_names_the_server_that_stands_out(self) -> None:
        found = self.summary()
        self.assertEqual((found.calls, found.failures), (105, 5))
        self.assertEqual(found.causes, (("attempts after lost", 5),))
        self.assertEqual([(each.kind, each.name) for each in found.standouts], [("server", "e9")])

    def test_summary_tells_what_changed_before_the_bad_second(self) -> None:
        found = self.summary()
        self.assertEqual(found.bad_seconds_ms, (START_MS + 6_000,))
        changes = [(each.event, each.what, each.processes) for each in found.changes]
        self.assertEqual(changes, [("server_ejected", "e9", 2)])

    def test_calm_span_has_no_bad_second_and_no_standout(self) -> None:
        lines = parse_lines([call(at_ms, "e1") for at_ms in range(0, 5_000, 50)]).lines
        found = summarize_incident(lines, START_MS, START_MS + 5_000)
        self.assertEqual((found.failures, found.bad_seconds_ms, found.standouts), (0, (), ()))


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "router.log"
        self.file.write_text("\n".join([call(0, "e1"), call(5, "e2", failed=True)]))

    def run_command(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = run(list(arguments))
        return code, output.getvalue()

    def test_explain_prints_the_story(self) -> None:
        code, text = self.run_command("explain", "id-5", "--logs", str(self.file))
        self.assertEqual(code, ExitCode.DONE)
        self.assertIn("call_failed", text)
        self.assertIn("end=lost", text)

    def test_incident_prints_json(self) -> None:
        code, text = self.run_command("incident", str(self.file), "--output", "json")
        self.assertEqual(code, ExitCode.DONE)
        self.assertEqual(json.loads(text)["failures"], 1)

    def test_bad_arguments_have_clear_errors(self) -> None:
        for arguments, words in (
            (("explain", "id-7", "--logs", str(self.file)), "no line is about id-7"),
            (("explain", "id-5", "--logs", "/no/such"), "No such file"),
            (("incident", ","), "name at least one file"),
            (("incident", str(self.file), "--start-ms", "5", "--end-ms", "4"), "before --start"),
        ):
            with self.subTest(arguments=arguments):
                code, text = self.run_command(*arguments)
                self.assertEqual(code, ExitCode.INVALID)
                self.assertIn(words, text)


if __name__ == "__main__":
    unittest.main()
