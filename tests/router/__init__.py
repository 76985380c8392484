"""Tests of boragetiller.router."""

from __future__ import annotations
