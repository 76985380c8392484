"""Types and set-up that routers and agents share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.metrics import Metrics

if TYPE_CHECKING:
    from boragetiller.settings import Settings


@attrs.frozen(kw_only=True)
class Endpoints:
    """Ports of a started process; `boragetillerd` prints them as a JSON line on start."""

    role: str
    name: str
    data_port: int
    operator_port: int
    control_port: int


def build_metrics(settings: Settings) -> Metrics:
    """
    Build the counters of a process.

    :param settings: role and name of the process, and the statsd address if any
    :return: counters, sent to statsd if it is configured
    """
    if settings.statsd is None:
        return Metrics()
    prefix = f"boragetiller.{settings.role.value}.{settings.name}"
    return Metrics(settings.statsd.address, settings.statsd.port, prefix)


__all__ = ["Endpoints", "build_metrics"]
