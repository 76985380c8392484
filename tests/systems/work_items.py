"""Helpers for tests of admission: requests, and the effects of actions on them."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from boragetiller.tables.admission_actions import PreemptWork, RefuseWork, StartWork
from boragetiller.tables.agent_work import WorkItem

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.admission_actions import AdmissionAction

_ids = count(1)


def make_item(tier: int = 1, customer: str = "c1", **fields: object) -> WorkItem:
    """:return: a new request; unless given, its class is named after the tier"""
    values: dict[str, object] = {"class_name": f"t{tier}", "protected": tier == 0, **fields}
    request_id = f"{values['class_name']}-{customer}-{next(_ids)}"
    return WorkItem(request_id=request_id, attempt=1, customer=customer, tier=tier, **values)


def started(actions: Iterable[AdmissionAction]) -> list[str]:
    """:return: IDs of the requests that the actions start"""
    return [a.request_id for a in actions if isinstance(a, StartWork)]


def refused(actions: Iterable[AdmissionAction]) -> list[str]:
    """:return: IDs of the requests that the actions refuse"""
    return [a.request_id for a in actions if isinstance(a, RefuseWork)]


def preempted(actions: Iterable[AdmissionAction]) -> list[str]:
    """:return: IDs of the requests that the actions preempt"""
    return [a.request_id for a in actions if isinstance(a, PreemptWork)]
