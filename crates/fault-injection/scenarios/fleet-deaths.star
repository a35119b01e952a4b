# Measures how long the detection of a killed process takes. `--set count=24` sets the number of processes, `--set kills=8`
# how many of them are killed and restarted, one after the other. Links lose 5% of the datagrams. Not part of CI, because
# the duration grows with the number of kills.

count = int(given.get("count", "8"))
kills = int(given.get("kills", "8"))
# Detection bound, see docs/design/membership.md: 5 + 2 m rounds and 2 (4 + 2 m) rounds of 200 ms each, with
# m = floor(log2 count) + 1.
m = len([n for n in range(12) if (1 << n) <= count])
late = 0.2 * (5 + 2 * m + 2 * (4 + 2 * m))

day = {
    "seed": int(given.get("seed", "1")),
    "seconds": 6.0 + (late + 6.0) * kills + 8.0,
    "ingresses": count,
    "zones": ["bldg-a"],
    "fleet": {
        "view": {"round_ms": 200},
        "stated": {"death_s": late, "meet_s": 5.0, "messages_per_s": 40.0, "bytes_per_s": 12360.0},
    },
    "settings": {
        "classes": [{"name": "sig-check", "aim_ms": 400, "deadline_ms": 1600, "worth": 1.0, "repeat": "safe"}],
        "plans": [{"name": "team", "rate": 20.0, "burst": 40.0, "price": 0.8}],
        "default_plan": "team",
        "rules": {"drain_grace_ms": 300, "cold_from": 0.2, "cold_ms": 4000, "fall_factor": 4.0, "fall_ms": 1000},
    },
    "nodes": [{"count": 2, "cores": 2}],
    "work_ms": {"sig-check": 10.0},
    "accounts": [{"name": "team", "plan": "team", "count": 1, "rate": 1.0, "classes": {"sig-check": 1.0}}],
    "network": {"loss": 0.05, "double": 0.01, "delay_ms": [1, 8]},
    "troubles": [
        dict(kind = "kill", at = 6.0 + (late + 6.0) * n, lasts = late + 0.5, which = [(n * 5 + 1) % count])
        for n in range(kills)
    ] + [
        # Finally all processes are killed at the same time and restarted.
        dict(kind = "kill", at = 6.0 + (late + 6.0) * kills, lasts = 1.0, which = list(range(count))),
    ],
}
