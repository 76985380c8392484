"""Settings of a process, as attrs classes with one field for each key of the YAML file."""

from __future__ import annotations

from boragetiller.settings.config_and_orders import ConfigSettings, OrderSettings
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
from boragetiller.settings.process import (
    BackendKind,
    BackendSettings,
    Role,
    Settings,
    load_settings,
)

__all__ = [
    "AdmissionSettings",
    "BackendKind",
    "BackendSettings",
    "ClaimSettings",
    "ConfigSettings",
    "ControlSettings",
    "LimitSettings",
    "ListenSettings",
    "OperatorSettings",
    "OrderSettings",
    "PlacementSettings",
    "PlatformSettings",
    "Role",
    "Settings",
    "StatsdSettings",
    "CrashQuarantineSettings",
    "TlsSettings",
    "load_settings",
]
