# Who is there: eight processes, two more that join, and what can happen between them. Judged by what each wrote down of
# the others; every bound is stated here and printed beside what was seen.
#
# --set plant=NAME is a defect that has to be found:
#   deaf-detector   whoever dies is never declared: the time to object is an hour
#   hasty           rounds of 50 ms on links that are slower than that: the living are held for lost
#   stranger        one process has another key: views are never equal, and it never hears that its number is taken
#   unseen-cut      one is cut off without the auditor's being told: it is held for lost while it is there
#   chatty          many more messages than are stated

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
        # 200 ms a round, ten members, 40 messages of at most 309 bytes a second: docs/design/membership.md says how these
        # come about.
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
        # Two join in one second; one is killed for good.
        trouble("join", 1.0, which = [8, 9]),
        trouble("kill", 7.0, which = [5]),
        # One is stopped for longer than anybody waits, and wakes. Meanwhile a link goes one way only.
        trouble("balancer_stall", 8.0, 8.5, which = [6]),
        trouble("cut", 10.0, 6.0, parts = [[0], [1]], one_way = True),
    ] + ([trouble("lossy", 8.0, 8.0, parts = [[7], [0, 1, 2, 3, 4, 5, 6, 8, 9]], strength = 1.0)] if plant == "unseen-cut" else []) + [
        # A cut in three, and its heal.
        trouble("cut", 22.0, 9.0, parts = [[0, 1, 2], [3, 4, 5], [6, 7, 8, 9]]),
        # One leaves in order, and the number of another is taken by a second process. One runs for a tenth of the time,
        # and all lose a fifth.
        trouble("leave", 36.4, which = [9]),
        trouble("replace", 36.5, which = [2]),
        trouble("slow", 37.0, 6.0, which = [3], strength = 100.0),
        trouble("lossy", 37.0, 6.0, strength = 0.2),
    ],
}
