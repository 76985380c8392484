"""Check models with minicheck and print the violated invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from minicheck import check_safety

if TYPE_CHECKING:
    from minicheck import Protocol

MAX_STATES = 500_000


def find_violated_invariants(model: Protocol) -> tuple[list[str], int]:
    """
    Check a model.

    :param model: the model
    :return: names of the violated invariants, and the number of reachable states
    :raises RuntimeError: if the search was not exhaustive and found no violation
    """
    result: dict[str, Any] = check_safety(model, max_states=MAX_STATES)
    names = [name for name, found in result["properties"].items() if found["holds"] is False]
    if not names and not result["exhaustive"]:
        raise RuntimeError(f"{model.name}: no violation found, but the search was not exhaustive")
    return names, result["reachable_states"]


def check_models(models: list[Protocol]) -> int:
    """
    Check models and print a line for each.

    :param models: the models
    :return: process exit code, 1 after a violation
    """
    failed = False
    for model in models:
        names, states = find_violated_invariants(model)
        failed = failed or bool(names)
        print(f"{model.name}: {states} states, violated: {names or 'none'}")
    return 1 if failed else 0


__all__ = ["check_models", "find_violated_invariants"]
