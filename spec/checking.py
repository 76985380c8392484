"""Check models with minicheck and report what was found."""

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
    :return: names of the invariants that do not hold, and the number of states
    :raises RuntimeError: the search was not exhaustive and found nothing
    """
    result: dict[str, Any] = check_safety(model, max_states=MAX_STATES)
    names = [name for name, found in result["properties"].items() if found["holds"] is False]
    if not names and not result["exhaustive"]:
        raise RuntimeError("the search was not exhaustive")
    return names, result["reachable_states"]


def check_models(models: list[Protocol]) -> int:
    """
    Check models and print what was found.

    :param models: the models
    :return: process exit code
    """
    failed = False
    for model in models:
        names, states = find_violated_invariants(model)
        failed = failed or bool(names)
        print(f"{model.name}: {states} states, violated: {names or 'none'}")
    return 1 if failed else 0


__all__ = ["check_models", "find_violated_invariants"]
