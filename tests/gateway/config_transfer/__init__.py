"""Tests of :mod:`boragetiller.gateway.config_transfer`."""

from __future__ import annotations
