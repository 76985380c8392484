"""The commands `boragetiller status` and `explain`, which query routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote

import attrs

from boragetiller.cli.exit_codes import ExitCode
from boragetiller.cli.messages import Explanation, NodePage, NodeStatus, RecordStatus, parse_message
from boragetiller.cli.operator_client import OperatorRefused, fetch_json
from boragetiller.cli.report import Report, print_report
from boragetiller.errors import BoragetillerError, SettingsInvalid
from boragetiller.records.pages import split_record_id

if TYPE_CHECKING:
    from boragetiller.cli.options import OperatorOptions

T = TypeVar("T")


async def show_status(options: OperatorOptions) -> ExitCode:
    """
    Print the state of the queried routers and of their agents.

    :param options: routers and output
    :return: exit code
    """
    responses, errors = await _fetch_all("/status", NodeStatus, options)
    rows: list[tuple[Any, ...]] = []
    for node in responses:
        rows.append((node.name, node.role, node.failure_domain, _get_node_state(node), "", "", ""))
        for agent in node.agents:
            load = (f"{agent.running}/{agent.max_running}", agent.queued, agent.in_flight)
            rows.append((f"  {agent.name}", agent.group, agent.failure_domain, agent.state, *load))
    notes = [*map(str, errors), *(note for node in responses for note in _build_config_notes(node))]
    report = Report(
        columns=("node", "role_or_group", "failure_domain", "state")
        + ("running", "queued_by_tier", "in_flight"),
        rows=rows,
        data=[attrs.asdict(response) for response in responses],
        notes=tuple(notes),
    )
    print_report(report, options.output)
    return ExitCode.UNREACHABLE if errors else ExitCode.DONE


async def show_record_status(record_id: str, options: OperatorOptions) -> ExitCode:
    """
    Print which nodes have applied a record, at which revision and for how long.

    :param record_id: kind and name, as in `customer/kopar`
    :param options: routers and output
    :return: exit code
    """
    split_record_id(record_id)
    responses, errors = await _fetch_all(f"/status/record/{record_id}", RecordStatus, options)
    if responses and not any(_has_record(response) for response in responses):
        raise SettingsInvalid(
            f"{record_id}: no such record at the queried routers; `boragetiller list` shows all"
        )
    nodes: dict[str, NodePage] = {}
    for response in responses:
        for node in response.nodes:
            _keep_newest(nodes, node)
    newest_revision = max((node.page_revision for node in nodes.values()), default=0)
    rows = [
        (
            node.node,
            node.page_revision,
            newest_revision > 0 and node.page_revision == newest_revision,
            node.age_ms,
        )
        for _, node in sorted(nodes.items())
    ]
    notes = [*map(str, errors), *_build_record_notes(responses)]
    columns = ("node", "page_revision", "newest", "in_force_for_ms")
    data = {
        "record": record_id,
        "record_revision": max(
            (response.record_revision or 0 for response in responses), default=0
        ),
        "nodes": [dict(zip(columns, row, strict=True)) for row in rows],
        "problems": notes,
    }
    report = Report(columns=columns, rows=rows, data=data, notes=tuple(notes))
    print_report(report, options.output)
    return ExitCode.UNREACHABLE if errors else ExitCode.DONE


async def explain_request(request_id: str, options: OperatorOptions) -> ExitCode:
    """
    Print each decision about a request with its reason.

    :param request_id: ID of the request, from the response header `x-request-id`
    :param options: routers and output
    :return: exit code
    """
    responses, errors = await _fetch_all(
        f"/explain/{quote(request_id, safe='')}", Explanation, options
    )
    rows = [
        (response.router, step.at_ms, step.step, step.detail)
        for response in responses
        for step in response.steps
    ]
    data = [attrs.asdict(response) for response in responses]
    report = Report(columns=("router", "at_ms", "step", "detail"), rows=rows, data=data)
    if not responses:
        raise next((e for e in errors if not isinstance(e, OperatorRefused)), errors[0])
    print_report(report, options.output)
    return ExitCode.DONE


async def _fetch_all(
    path: str, target: type[T], options: OperatorOptions
) -> tuple[list[T], list[BoragetillerError]]:
    requests = (_fetch_message(url, path, target, options) for url in options.operator_urls)
    responses: list[T] = []
    errors: list[BoragetillerError] = []
    for response in await asyncio.gather(*requests, return_exceptions=True):
        if isinstance(response, BoragetillerError):
            errors.append(response)
        elif isinstance(response, BaseException):
            raise response
        else:
            responses.append(response)
    return responses, errors


async def _fetch_message(url: str, path: str, target: type[T], options: OperatorOptions) -> T:
    return parse_message(target, await fetch_json(url, path, options))


def _get_node_state(node: NodeStatus) -> str:
    if node.draining:
        return "draining"
    return "ready" if node.config.ready else "not_ready"


def _build_config_notes(node: NodeStatus) -> list[str]:
    config = node.config
    notes = [config.reason] if config.reason else []
    if config.store == "unreachable":
        notes.append("the store does not answer; the last configuration stays in force")
    notes += [f"unreadable record: {text}" for text in config.unreadable]
    notes += [f"invalid reference: {text}" for text in config.reference_problems]
    return [f"{node.name}: {note}" for note in notes]


def _keep_newest(nodes: dict[str, NodePage], node: NodePage) -> None:
    current = nodes.setdefault(node.node, node)
    if (node.page_revision, node.age_ms or 0) > (current.page_revision, current.age_ms or 0):
        nodes[node.node] = node


def _has_record(response: RecordStatus) -> bool:
    return response.record_revision is not None or bool(response.problem)


def _build_record_notes(responses: list[RecordStatus]) -> list[str]:
    notes = []
    for response in responses:
        node_name = response.nodes[0].node if response.nodes else "unknown node"
        if response.problem:
            notes.append(
                f"{node_name}: cannot read the record, the last readable version stays in force: "
                f"{response.problem}"
            )
        elif response.record_revision is None:
            notes.append(f"{node_name}: has no such record")
    return notes


__all__ = ["explain_request", "show_record_status", "show_status"]
