# Tests the fleet's membership views with eight processes, of which some fail, and two more that join. The views that each
# process logs are checked against the bounds stated below, and the results are printed beside the bounds.
#
# --set plant=NAME plants a defect that the checks have to find:
#   deaf-detector   the time to object to a suspicion is an hour, so that a dead process is never listed as lost
#   hasty           rounds of 50 ms on slower links, so that running processes are listed as lost
#   stranger        one process has another key: views are never equal, and it never learns that its number is taken
#   unseen-cut      one process is partitioned without a record for the checks: it is listed as lost although it runs
#   chatty          many more messages than the stated bound

plant = given.get("plant", "")
lossy = 0.05

def trouble(kind, at, lasts = 0.0, **more):
    return dict(kind = kind, at = at, lasts = lasts, **more)

day = {
    "seed": int(given.get("seed", "1")),
    "seconds": float(given.get("seconds", "44")),
    "ingresses": 8,
    "reserve": 2,
    "zones": ["bldg-a", "bldg-b"],
    "fleet": {
        "view": {
            "round_ms": 50 if plant in ["chatty", "hasty"] else 200,
            "per_second": 400.0 if plant == "chatty" else 40.0,
            "objection_ms": 3600000 if plant == "deaf-detector" else 0,
        },
        "stranger": 2 if plant == "stranger" else None,
        # For rounds of 200 ms, ten members, and 40 messages of at most 309 bytes per second. docs/design/membership.md
        # derives these bounds.
        "stated": {"death_s": 7.4, "meet_s": 5.0, "cut_s": 7.4, "takeover_s": 2.0, "messages_per_s": 40.0, "bytes_per_s": 12360.0},
    },
    "settings": {
        "classes": [{"name": "sig-check", "aim_ms": 400, "deadline_ms": 1600, "worth": 1.0, "repeat": "safe"}],
        "plans": [{"name": "team", "rate": 20.0, "burst": 40.0, "price": 0.8}],
        "default_plan": "team",
        "rules": {"drain_grace_ms": 300, "cold_from": 0.2, "cold_ms": 4000, "fall_factor": 4.0, "fall_ms": 1000},
    },
    "nodes": [{"count": 4, "cores": 2}],
    "work_ms": {"sig-check": 10.0},
    "accounts": [{"name": "team", "plan": "team", "count": 6, "rate": 2.0, "classes": {"sig-check": 1.0}, "width": 4}],
    "network": {"loss": lossy, "double": 0.01, "delay_ms": [30, 160] if plant == "hasty" else [1, 8]},
    "troubles": [
        # Two processes join after one second; one is killed for good.
        trouble("join", 1.0, which = [8, 9]),
        trouble("kill", 7.0, which = [5]),
        # One process is suspended for longer than the detection time and resumed. Meanwhile a link works in one direction
        # only.
        trouble("balancer_stall", 8.0, 8.5, which = [6]),
        trouble("cut", 10.0, 6.0, parts = [[0], [1]], one_way = True),
    ] + ([trouble("lossy", 8.0, 8.0, parts = [[7], [0, 1, 2, 3, 4, 5, 6, 8, 9]], strength = 1.0)] if plant == "unseen-cut" else []) + [
        # The fleet is partitioned into three parts and healed again.
        trouble("cut", 22.0, 9.0, parts = [[0, 1, 2], [3, 4, 5], [6, 7, 8, 9]]),
        # One process leaves, a second process takes the number of another one, a third one runs for a tenth of the time,
        # and all links lose 20% of the datagrams.
        trouble("leave", 36.4, which = [9]),
        trouble("replace", 36.5, which = [2]),
        trouble("slow", 37.0, 6.0, which = [3], strength = 100.0),
        trouble("lossy", 37.0, 6.0, strength = 0.2),
    ],
}
