"""Records that operators write: kinds, schema versions, storage, merge and validation."""

from __future__ import annotations
