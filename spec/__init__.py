"""Specifications that are model-checked in the tests."""

from __future__ import annotations
