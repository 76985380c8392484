"""Clients of the platform's store, host list and weight store, over HTTP and in memory."""

from __future__ import annotations
