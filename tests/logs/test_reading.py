"""Tests of request timelines and incident summaries built from logs of several routers."""

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


def build_line(at_ms: int, event: str, process: str = "r1", **fields: object) -> str:
    known = {"time_ms": START_MS + at_ms, "process": process, "event_name": event}
    return json.dumps(known | fields)


def build_call(at_ms: int, server: str, *, failed: bool = False, process: str = "r1") -> str:
    fields = {"request_id": f"id-{at_ms}", "server": server, "route": "quotes"}
    if failed:
        outcome = {"reason": "attempts", "end": "lost"}
        return build_line(at_ms, "call_failed", process, **fields, **outcome)
    return build_line(at_ms, "call_answered", process, **fields, status=200)


class LinesTest(unittest.TestCase):
    def test_lines_of_several_processes_come_in_order_of_time(self) -> None:
        logs = parse_lines(
            [build_line(5, "b", "r2"), "text before " + build_line(1, "a"), "no event", ""]
        )
        self.assertEqual([parsed.event for parsed in logs.lines], ["a", "b"])
        self.assertEqual(logs.unreadable, 1)

    @given(st.lists(st.text(max_size=40), max_size=6))
    @settings(derandomize=True, deadline=None)
    def test_unreadable_lines_are_counted(self, texts: list[str]) -> None:
        logs = parse_lines(texts)
        self.assertEqual(logs.unreadable, sum(1 for text in texts if text.strip()))


class TimelineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines = parse_lines(
            [
                build_line(-20_000, "routes_taken", version=1),
                build_line(-4_000, "config_store_unreachable", reason="reset"),
                build_line(-3_000, "config_store_unreachable", "r2", reason="reset"),
                build_line(0, "call_placed", request_id="x", server="e1"),
                build_line(10, "call_placed", request_id="y", server="e2"),
                build_line(40, "call_failed", request_id="x", server="e1", end="lost"),
                build_line(900, "server_gone", server="e1"),
                build_line(900, "server_gone", server="e3"),
            ]
        ).lines

    def test_timeline_has_the_request_and_state_changes_of_its_router(self) -> None:
        entries = build_timeline(self.lines, "x")
        self.assertEqual(
            [(entry.at_ms, entry.event, entry.about_request) for entry in entries],
            [
                (-4_000, "config_store_unreachable", False),
                (0, "call_placed", True),
                (40, "call_failed", True),
                (900, "server_gone", False),
            ],
        )

    def test_unknown_request_has_an_empty_timeline(self) -> None:
        self.assertEqual(build_timeline(self.lines, "z"), [])


class IncidentTest(unittest.TestCase):
    def summarize(self) -> object:
        calls = [build_call(at_ms, f"e{at_ms % 4}") for at_ms in range(0, 10_000, 101)]
        failed = [build_call(6_000 + at_ms, "e9", failed=True) for at_ms in range(0, 500, 100)]
        changes = [
            build_line(100, "server_joined", server="e1"),
            build_line(5_500, "server_ejected", server="e9"),
            build_line(5_600, "server_ejected", "r2", server="e9"),
        ]
        lines = parse_lines([*calls, *failed, *changes]).lines
        return summarize_incident(lines, START_MS, START_MS + 10_000)

    def test_summary_names_the_outlier_server(self) -> None:
        summary = self.summarize()
        self.assertEqual((summary.calls, summary.failures), (105, 5))
        self.assertEqual(summary.causes, (("attempts after lost", 5),))
        self.assertEqual(
            [(outlier.kind, outlier.name) for outlier in summary.standouts], [("server", "e9")]
        )

    def test_summary_lists_state_changes_before_the_bad_second(self) -> None:
        summary = self.summarize()
        self.assertEqual(summary.bad_seconds_ms, (START_MS + 6_000,))
        changes = [(change.event, change.what, change.processes) for change in summary.changes]
        self.assertEqual(changes, [("server_ejected", "e9", 2)])

    def test_range_without_failures_has_no_bad_second_and_no_outlier(self) -> None:
        lines = parse_lines([build_call(at_ms, "e1") for at_ms in range(0, 5_000, 50)]).lines
        summary = summarize_incident(lines, START_MS, START_MS + 5_000)
        self.assertEqual((summary.failures, summary.bad_seconds_ms, summary.standouts), (0, (), ()))


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "router.log"
        self.file.write_text("\n".join([build_call(0, "e1"), build_call(5, "e2", failed=True)]))

    def run_command(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = run(list(arguments))
        return code, output.getvalue()

    def test_explain_prints_the_timeline(self) -> None:
        code, text = self.run_command("explain", "id-5", "--logs", str(self.file))
        self.assertEqual(code, ExitCode.DONE)
        self.assertIn("call_failed", text)
        self.assertIn("end=lost", text)

    def test_incident_prints_json(self) -> None:
        code, text = self.run_command("incident", str(self.file), "--output", "json")
        self.assertEqual(code, ExitCode.DONE)
        self.assertEqual(json.loads(text)["failures"], 1)

    def test_invalid_arguments_are_refused_with_the_reason(self) -> None:
        for arguments, message in (
            (("explain", "id-7", "--logs", str(self.file)), "no line is about id-7"),
            (("explain", "id-5", "--logs", "/no/such"), "No such file"),
            (("incident", ","), "name at least one file"),
            (("incident", str(self.file), "--start-ms", "5", "--end-ms", "4"), "before --start"),
        ):
            with self.subTest(arguments=arguments):
                code, text = self.run_command(*arguments)
                self.assertEqual(code, ExitCode.INVALID)
                self.assertIn(message, text)


if __name__ == "__main__":
    unittest.main()
