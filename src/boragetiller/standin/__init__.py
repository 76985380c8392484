"""Stand-ins for the platform's services and the backend servers, and the demo."""

from __future__ import annotations
