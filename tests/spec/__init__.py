"""Tests that check the models, and the code against traces of the models."""

from __future__ import annotations
