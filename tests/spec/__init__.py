"""Tests of the specifications, and of the code against their traces."""

from __future__ import annotations
