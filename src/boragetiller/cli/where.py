"""The command `boragetiller where`, which asks routers where a request would go."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.cli.exit_codes import ExitCode
from boragetiller.cli.messages import parse_message
from boragetiller.cli.operator_client import post_json
from boragetiller.cli.report import Report, print_report
from boragetiller.errors import BoragetillerError, SettingsInvalid
from boragetiller.placement_queries import PlacementAnswer

if TYPE_CHECKING:
    from boragetiller.cli.options import OperatorOptions

FIGURES = (
    "cost_ms",
    "first_event_ms",
    "in_flight",
    "slots",
    "new_tokens",
    "prefill_share",
    "sensitivity",
    "work_time",
    "work_time_age_ms",
    "committed_tokens",
    "peers_heard",
    "load_age_ms",
)
SUMMARY = (
    "server",
    "code",
    "detail",
    "status",
    "retry_after_s",
    "route",
    "group",
    "tier",
    "customer",
    "config_version",
    "config_age_ms",
    "oldest_report_ms",
    "not_sampled",
)


def parse_headers(text: str) -> dict[str, str]:
    """
    Parse the headers of the request in question.

    :param text: one header in each line, as in HTTP; empty lines are ignored
    :return: values by name
    :raises SettingsInvalid: a line has no colon; names its number, since it may hold a key
    """
    headers = {}
    for number, line in enumerate(text.splitlines(), 1):
        name, colon, value = line.partition(":")
        if line.strip():
            if not colon or not name.strip():
                raise SettingsInvalid(f"--headers: line {number} must be a name, a colon, a value")
            headers[name.strip()] = value.strip()
    return headers


async def show_placement(
    path: str, method: str, headers: dict[str, str], body: str, options: OperatorOptions
) -> ExitCode:
    """
    Print where each queried router would send a request now, and why.

    :param path: path of the request, with its query
    :param method: its HTTP method
    :param headers: its headers
    :param body: its body
    :param options: routers and output
    :return: exit code; REFUSED if a router would refuse the request
    """
    query = {"path": path, "method": method, "headers": headers, "body": body}
    answers: list[PlacementAnswer] = []
    errors: list[BoragetillerError] = []
    requests = (_ask(url, query, options) for url in options.operator_urls)
    for answer in await asyncio.gather(*requests, return_exceptions=True):
        if isinstance(answer, BoragetillerError):
            errors.append(answer)
        elif isinstance(answer, BaseException):
            raise answer
        else:
            answers.append(answer)
    if not answers:
        raise errors[0]
    report = Report(
        columns=("router", "server", "result", *FIGURES),
        rows=[row for answer in answers for row in _build_rows(answer)],
        data=[attrs.asdict(answer) for answer in answers],
        notes=(*map(str, errors), *map(_summarize, answers)),
    )
    print_report(report, options.output)
    if errors:
        return ExitCode.UNREACHABLE
    is_refused = any(answer.outcome != "placed" for answer in answers)
    return ExitCode.REFUSED if is_refused else ExitCode.DONE


async def _ask(url: str, query: dict[str, Any], options: OperatorOptions) -> PlacementAnswer:
    return parse_message(PlacementAnswer, await post_json(url, "/where", query, options))


def _build_rows(answer: PlacementAnswer) -> list[tuple[Any, ...]]:
    rows: list[tuple[Any, ...]] = []
    reasons = {each.server: each.reason for each in answer.excluded}
    for candidate in answer.candidates:
        result = "chosen" if candidate.chosen else reasons.pop(candidate.server, "")
        values = tuple(getattr(candidate, name) for name in FIGURES)
        rows.append((answer.router, candidate.server, result, *values))
    rows += [
        (answer.router, server, reason, *(None for _ in FIGURES))
        for server, reason in reasons.items()
    ]
    return rows


def _summarize(answer: PlacementAnswer) -> str:
    parts = [f"{answer.router}: {answer.outcome}"]
    parts += [
        f"{name} {getattr(answer, name)}"
        for name in SUMMARY
        if getattr(answer, name) not in (None, "")
    ]
    return ", ".join(parts)


__all__ = ["parse_headers", "show_placement"]
