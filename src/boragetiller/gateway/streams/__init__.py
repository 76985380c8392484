"""Resumption of streams at the software version that began them."""

from __future__ import annotations
