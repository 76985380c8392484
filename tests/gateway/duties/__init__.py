"""Tests of the duties in :mod:`boragetiller.gateway`."""

from __future__ import annotations
