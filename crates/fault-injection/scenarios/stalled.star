# Ingresses that are suspended for about a second. Requests that waited in their sockets lose that time, and have to be
# answered within the rest of their timeouts. Needs a process for each ingress (--processes).

door = given.get("door", "grpc")

day = {
    "seed": int(given.get("seed", "1")),
    "seconds": 5.0,
    "ingresses": 2,
    "zones": ["a"],
    "settings": {
        "front": {"answer_margin_ms": 80},
        "classes": [{"name": "sig-check", "aim_ms": 1100, "deadline_ms": 1200, "repeat": "safe"}],
        "plans": [{"name": "all", "rate": 1000, "burst": 1000}],
        "rules": {"drain_grace_ms": 300, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 4.0, "fall_ms": 1000},
    },
    "nodes": [{"count": 4, "cores": 12}],
    "work_ms": {"sig-check": 150.0},
    "accounts": [{"name": "one", "plan": "all", "door": door, "count": 4, "rate": 30.0, "classes": {"sig-check": 1.0}}],
    "clients": {"retries": 1, "patience": 0.99},
    "troubles": [
        {"kind": "balancer_stall", "at": 1.0, "lasts": 1.1, "which": [0]},
        {"kind": "balancer_stall", "at": 3.0, "lasts": 0.4, "which": [1]},
    ],
}
