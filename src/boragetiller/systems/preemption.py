"""Preempt resumable requests of lower tiers for protected requests that are about to be late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems import fair_queueing
from boragetiller.tables.admission_actions import PreemptWork

if TYPE_CHECKING:
    from boragetiller.settings import AdmissionSettings
    from boragetiller.tables.agent_work import WorkItem, WorkTable


def preempt(table: WorkTable, settings: AdmissionSettings, now_ms: int) -> list[PreemptWork]:
    """
    Preempt one running request for each queued protected request of a class that is urgent.

    :param table: queued and running requests of this agent
    :param settings: time before the due time from which a request is urgent
    :param now_ms: monotonic time in milliseconds
    :return: the preemptions; a slot becomes free when the preempted request has finished
    """
    actions: list[PreemptWork] = []
    slots_needed = -table.preempting
    for number in sorted(table.tiers):
        for queue in table.tiers[number].classes.values():
            if not queue.protected or not queue.count:
                continue
            item = fair_queueing.find_next_in_class(table, queue, settings, now_ms)
            if not _is_urgent(table, item, settings, now_ms):
                continue
            slots_needed += queue.count
            while slots_needed > 0 and (victim := choose_victim(table, item)) is not None:
                victim.preempting = True
                table.preempting += 1
                slots_needed -= 1
                actions.append(PreemptWork(victim.request_id))
    return actions


def choose_victim(table: WorkTable, item: WorkItem) -> WorkItem | None:
    """
    Choose the running request to preempt: lowest priority tier first, then last started.

    :param table: queued and running requests of this agent
    :param item: the protected request that needs a slot
    :return: the running request, or None if none can be preempted
    """
    victims = [
        other for other in reversed(table.running.values()) if _can_be_preempted(other, item.tier)
    ]
    return max(victims, key=lambda other: (other.tier, other.started_ms or 0), default=None)


def _can_be_preempted(other: WorkItem, tier: int) -> bool:
    if other.protected or other.started_by_aging or other.preempting:
        return False
    return other.preemptible and other.tier > tier


def _is_urgent(table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int) -> bool:
    return now_ms + table.first_token_ms + settings.preempt_slack_ms >= item.due_ms()


__all__ = ["choose_victim", "preempt"]
