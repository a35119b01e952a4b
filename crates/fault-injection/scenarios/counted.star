# A day with a known number of served requests. The plans' token buckets are practically never refilled, each account uses
# one ingress, and it sends its requests one after the other. So each account has exactly as many requests served as the
# burst of its plan, in any kind of run.

door = given.get("door", "grpc")

day = {
    "seed": int(given.get("seed", "1")),
    "seconds": 0.2,
    "ingresses": 3,
    "zones": ["a"],
    "settings": {
        "front": {"answer_margin_ms": 40},
        "classes": [{"name": "sig-check", "aim_ms": 2000, "deadline_ms": 6000, "repeat": "safe"}],
        "plans": [
            {"name": "four", "rate": 0.0001, "burst": 4.0},
            {"name": "nine", "rate": 0.0001, "burst": 9.0},
        ],
        "rules": {"drain_grace_ms": 300, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 4.0, "fall_ms": 1000},
    },
    "nodes": [{"count": 3, "cores": 8}],
    "work_ms": {"sig-check": 1.0},
    "accounts": [
        {"name": "four", "plan": "four", "count": 6, "fixed": 12, "width": 1, "door": door, "classes": {"sig-check": 1.0}},
        {"name": "nine", "plan": "nine", "count": 6, "fixed": 12, "width": 1, "door": door, "classes": {"sig-check": 1.0}},
    ],
    "clients": {"retries": 0, "patience": 0.9},
}
