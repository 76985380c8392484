"""Admit, order and start work at an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.errors import Overloaded
from boragetiller.tables.actions import Action, RefuseWork, StartWork

if TYPE_CHECKING:
    from boragetiller.settings import AdmissionSettings
    from boragetiller.tables.work import WorkItem, WorkTable


def submit(
    table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int
) -> list[Action]:
    """
    Take a new request into the queue, or refuse it.

    :param table: work of this agent
    :param item: the new request
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :return: actions, for this and for other requests
    """
    if len(table.queued) >= settings.max_queued:
        return [RefuseWork(item.request_id, Overloaded(retry_after_s=1))]
    table.queued[item.request_id] = item
    return run_tick(table, settings, now_ms)


def run_tick(table: WorkTable, settings: AdmissionSettings, now_ms: int) -> list[Action]:
    """
    Start what fits, refuse what is too late.

    :param table: work of this agent
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :return: actions to carry out
    """
    table.max_running = settings.max_running
    actions: list[Action] = []
    while table.queued and len(table.running) < table.max_running:
        request_id = next(iter(table.queued))
        item = table.queued.pop(request_id)
        item.started_ms = now_ms
        table.running[request_id] = item
        actions.append(StartWork(request_id))
    return actions


def record_token(table: WorkTable, request_id: str, now_ms: int, count: int = 1) -> None:
    """
    Note tokens that the engine produced.

    :param table: work of this agent
    :param request_id: which request
    :param now_ms: monotonic time in milliseconds
    :param count: number of tokens
    """
    item = table.running.get(request_id)
    if item is None:
        return
    if item.first_token_ms is None:
        item.first_token_ms = now_ms
    item.last_token_ms = now_ms
    item.tokens += count


def finish(
    table: WorkTable, request_id: str, settings: AdmissionSettings, now_ms: int
) -> list[Action]:
    """
    Remove a request that ended, was cancelled or left the queue.

    :param table: work of this agent
    :param request_id: which request
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :return: actions that the freed place allows
    """
    table.queued.pop(request_id, None)
    table.running.pop(request_id, None)
    return run_tick(table, settings, now_ms)


__all__ = ["finish", "record_token", "run_tick", "submit"]
