"""Clients for the platform's store, host list and weight store."""

from __future__ import annotations
