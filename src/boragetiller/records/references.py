"""Check of references between records and of the uniqueness of customers' keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from boragetiller.records.model import BackendGroup, Customer, RequestClass


@attrs.frozen(kw_only=True, order=True)
class ReferenceProblem:
    """A reference to a missing record, or a key hash that two customers have."""

    record_id: str
    field: str
    problem: str
    target_id: str = ""  # the missing record, as `kind/name`

    def __str__(self) -> str:
        """:return: one line for an operator"""
        return f"{self.record_id}: {self.field}: {self.problem}"


def find_reference_problems(
    customers: dict[str, Customer],
    classes: dict[str, RequestClass],
    groups: dict[str, BackendGroup],
    unreadable: Collection[str] = (),
) -> list[ReferenceProblem]:
    """
    Check every reference between records.

    :param customers: customers by name
    :param classes: request classes by name
    :param groups: backend groups by name
    :param unreadable: records that exist but cannot be read by this version, as `kind/name`
    :return: the problems, sorted
    """
    present = {*(f"class/{name}" for name in classes), *(f"group/{name}" for name in groups)}
    present.update(unreadable)
    problems = [*_find_class_problems(classes.values(), present)]
    problems += _find_customer_problems(customers.values(), present)
    problems += _find_key_problems(customers)
    return sorted(problems)


def _find_class_problems(
    classes: Iterable[RequestClass], present: set[str]
) -> Iterable[ReferenceProblem]:
    for request_class in classes:
        if f"group/{request_class.group}" not in present:
            yield ReferenceProblem(
                record_id=f"class/{request_class.name}",
                field="group",
                problem=f"no group {request_class.group}",
                target_id=f"group/{request_class.group}",
            )


def _find_customer_problems(
    customers: Iterable[Customer], present: set[str]
) -> list[ReferenceProblem]:
    return [
        ReferenceProblem(
            record_id=f"customer/{customer.name}",
            field="classes",
            problem=f"no class {name}",
            target_id=f"class/{name}",
        )
        for customer in customers
        for name in customer.classes
        if f"class/{name}" not in present
    ]


def _find_key_problems(customers: dict[str, Customer]) -> list[ReferenceProblem]:
    key_owners: dict[str, str] = {}
    problems = []
    for name in sorted(customers):
        for key_hash in customers[name].key_hashes:
            owner = key_owners.setdefault(key_hash, name)
            if owner != name:
                problems.append(
                    ReferenceProblem(
                        record_id=f"customer/{name}",
                        field="key_hashes",
                        problem=f"a key already belongs to customer {owner}",
                    )
                )
    return problems


__all__ = ["ReferenceProblem", "find_reference_problems"]
