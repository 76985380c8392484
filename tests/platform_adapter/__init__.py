"""Tests of the `platform` folder; importing this package makes its modules importable."""

from __future__ import annotations

import tests.platform_path  # noqa: F401
