"""The platform's list of hosts, which lags behind."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs


class HostState(Enum):
    """What the list says of a host; a host that is absent is gone."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Host:
    """One process of the system on one host."""

    name: str
    role: str
    address: str
    data_port: int
    control_port: int
    failure_domain: str
    region: str = "default"
    group: str = ""
    state: HostState = HostState.LIVE


class HostList(Protocol):
    """Read access to the host list."""

    async def list_hosts(self) -> list[Host]:
        """
        Read the list.

        :return: every live and leaving host
        :raises StoreUnavailable: the list did not answer
        """
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


__all__ = ["Host", "HostList", "HostState"]
