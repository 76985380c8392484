"""Tests of the `platform` folder; its modules are made importable here."""

from __future__ import annotations

import tests.platform_path  # noqa: F401
