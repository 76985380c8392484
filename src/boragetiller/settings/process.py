"""Settings of a process, read from one YAML file."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import attrs
from attrs import validators

from boragetiller.errors import SettingsInvalid
from boragetiller.settings.config_and_orders import ConfigSettings, OrderSettings
from boragetiller.settings.fields import POSITIVE
from boragetiller.settings.network import (
    ControlSettings,
    LimitSettings,
    ListenSettings,
    OperatorSettings,
    PlatformSettings,
    StatsdSettings,
    TlsSettings,
)
from boragetiller.settings.policy import (
    AdmissionSettings,
    ClaimSettings,
    CrashQuarantineSettings,
    PlacementSettings,
)
from boragetiller.structure import structure_yaml


class Role(Enum):
    """Role of a process."""

    ROUTER = "router"
    AGENT = "agent"


class BackendKind(Enum):
    """Kind of the backend server behind an agent."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen(kw_only=True)
class BackendSettings:
    """The backend server that an agent forwards requests to."""

    name: str
    group: str
    kind: BackendKind
    url: str
    order_key: str | None = attrs.field(default=None, repr=False)
    connect_timeout_ms: int = attrs.field(default=500, validator=POSITIVE)
    silence_timeout_ms: int = attrs.field(default=30_000, validator=POSITIVE)


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one process."""

    role: Role
    name: str
    failure_domain: str
    region: str = "default"
    listen: ListenSettings = ListenSettings()
    peer_tls: TlsSettings | None = None  # mutual TLS between routers and agents
    control: ControlSettings
    operator: OperatorSettings
    platform: PlatformSettings
    statsd: StatsdSettings | None = None
    limits: LimitSettings = LimitSettings()
    placement: PlacementSettings = PlacementSettings()
    admission: AdmissionSettings = AdmissionSettings()
    config: ConfigSettings = ConfigSettings()
    orders: OrderSettings = OrderSettings()
    claims: ClaimSettings = ClaimSettings()
    strikes: CrashQuarantineSettings = CrashQuarantineSettings()
    backend: BackendSettings | None = None
    seed: int | None = None
    tick_ms: int = attrs.field(default=50, validator=POSITIVE)
    lame_duck_ms: int = attrs.field(default=1_000, validator=validators.ge(0))
    keepalive_ms: int = attrs.field(default=1_000, validator=POSITIVE)
    drain_timeout_ms: int = attrs.field(default=600_000, validator=POSITIVE)
    log_level: str = "INFO"
    log_json: bool = False

    def __attrs_post_init__(self) -> None:
        """:raises ValueError: settings contradict each other"""
        if self.role is Role.AGENT and self.backend is None:
            raise ValueError("backend: required for role agent")
        if self.role is Role.AGENT and self.listen.tls is not None:
            raise ValueError("listen.tls: only for role router; agents use peer_tls")
        if self.peer_tls is not None and self.peer_tls.authority is None:
            raise ValueError("peer_tls.authority: required, both sides verify certificates")


def load_settings(path: str) -> Settings:
    """
    Load the settings of a process.

    :param path: path of the YAML file
    :return: the validated settings
    :raises SettingsInvalid: the file cannot be read or is invalid
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f"{path}: {error}") from error
    return structure_yaml(text, Settings, source=path)


__all__ = [
    "BackendKind",
    "BackendSettings",
    "Role",
    "Settings",
    "load_settings",
]
