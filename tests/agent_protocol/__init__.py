"""Tests of boragetiller.agent_protocol."""

from __future__ import annotations
