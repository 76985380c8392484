"""What both roles share around start and stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.metrics import Metrics

if TYPE_CHECKING:
    from boragetiller.settings import Settings


@attrs.frozen(kw_only=True)
class Endpoints:
    """Where a started process listens; printed as one JSON line when it is ready."""

    role: str
    name: str
    data_port: int
    operator_port: int
    control_port: int


def build_metrics(settings: Settings) -> Metrics:
    """
    Build the counters of a process.

    :param settings: statsd address, if any
    :return: the counters
    """
    if settings.statsd is None:
        return Metrics()
    prefix = f"boragetiller.{settings.role.value}.{settings.name}"
    return Metrics(settings.statsd.address, settings.statsd.port, prefix)


__all__ = ["Endpoints", "build_metrics"]
