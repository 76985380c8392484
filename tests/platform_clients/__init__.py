"""Tests of boragetiller.platform_clients."""

from __future__ import annotations
