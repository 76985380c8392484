"""Configurations with many routes."""

from __future__ import annotations

from random import Random
from typing import Any

from tests.gateway.harness import build_config

ROUTE_BYTES = 200  # about that many in JSON


def build_large_config(version: int, size: int) -> dict[str, Any]:
    """
    Build a configuration with routes that are not used.

    :param version: its version, also the seed of the names
    :param size: about that many bytes
    :return: the configuration document
    """
    rng = Random(version)
    routes = list(build_config(version)["routes"])
    while len(routes) * ROUTE_BYTES < size:
        name = f"{rng.getrandbits(40):010x}"
        fields = {"kind": "idempotent", "timeout-ms": 5_000, "goal-ms": 200, "service": "shop"}
        fields |= {"host": f"{name}.example", "path-prefix": f"/{name}/", "max-attempts": 2}
        routes.append({"name": f"r-{name}", "priority": 2, **fields, "public": False})
    return build_config(version, routes=routes)


__all__ = ["build_large_config"]
