"""Sample messages in the formats of the platform's documentation."""

from __future__ import annotations

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-2yhvz3p",
            "host": "ficu95.example",
            "path-prefix": "/lohu930/",
            "kind": "streaming",
            "timeout-ms": 10000,
            "goal-ms": 2000,
            "priority": 2,
            "backends": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "max-attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
            "gap-target-ms": 800,
        },
        {
            "name": "r-fi6y7z5",
            "host": "ficu95.example",
            "path-prefix": "/pufi791/",
            "kind": "idempotent",
            "timeout-ms": 6000,
            "service": "huvo11a",
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "health-path": "/health",
            "max-conns": 370,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 64, "kv-capacity": 536382, "kv-bytes": 163840, "moves": True},
        },
        {"name": "wuno96b", "health-path": "/health", "max-conns": 110},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": "hule930", "api-keys": ["n2ctn", "anfqa"], "priority": 1}],
}

SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "vl-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold-left-ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "born": 1769546637497,
    "seq": 4,
}

REQUEST = {
    "Host": "ficu95.example",
    "X-Boragetiller-Attempt-Id": "9c41d07be2a35f68",
    "X-Boragetiller-Model": "m",
    "X-Boragetiller-Token-Counts": "1460,80",
    "X-Boragetiller-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    "X-Boragetiller-Deadline-Ms": "8000",
    "Authorization": "Token n2ctn",
}

SETTINGS = """
node-name = "front-vl-a-1"
role = "my-front"
machine-class = "front"
ip = "10.1.0.40"
zone = "vl-a"
port-range = [7340,7355]
seeds = ["10.1.0.40:8229","10.2.0.29:8229","10.3.0.19:8229"]
unknown-field = "passed over"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
control = "10.1.0.40:8229"
[contract-params]
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-slack = 56
event-delay-ms = 120
[platform]
address = "10.200.1.7:8223"
"""

__all__ = ["CONFIG", "REQUEST", "SERVER", "SETTINGS"]
