"""Tests of boragetiller.agent."""

from __future__ import annotations
