"""Tests of the build and of what a process tells about itself."""

from __future__ import annotations
