# The drill of CI: a short day with many of the troubles of bad-day.star.
# Three ingresses, nine nodes, three classes and three plans.

def trouble(kind, at, lasts = 0.0, **more):
    return dict(kind = kind, at = at, lasts = lasts, **more)

day = {
    "seed": int(given.get("seed", "1")),
    "seconds": float(given.get("seconds", "12")),
    "ingresses": 3,
    "zones": ["bldg-a", "bldg-b", "bldg-c"],
    "settings": {
        "front": {"answer_margin_ms": 80, "default_class": "sig-check", "max_connections": 120},
        "descriptors": {"nodes": 64},
        "ledger": {"period": {"seconds": 3}, "ask_again_ms": 100},
        "classes": [
            {"name": "sig-check", "aim_ms": 400, "deadline_ms": 1600, "worth": 1.0, "repeat": "safe"},
            {"name": "report-upload", "aim_ms": 800, "deadline_ms": 2500, "worth": 3.0, "late_worth": 0.2,
             "repeat": {"keyed": {"group": "cell", "window_ms": 5000}}},
            {"name": "referral", "aim_ms": 800, "deadline_ms": 2500, "worth": 3.0, "repeat": "once"},
        ],
        "plans": [
            {"name": "starter", "rate": 4.0, "burst": 12.0, "price": 0.5},
            {"name": "team", "rate": 10.0, "burst": 25.0, "price": 0.8,
             "ceiling_rate": 20.0, "ceiling_burst": 50.0, "ceiling_slack": 5.0},
            {"name": "enterprise", "rate": 60.0, "burst": 120.0, "price": 1.6},
        ],
        "default_plan": "starter",
        "rules": {"drain_grace_ms": 300, "cold_from": 0.2, "cold_ms": 4000, "fall_factor": 4.0, "fall_ms": 1000},
    },
    "nodes": [
        {"count": 5, "cores": 3, "speed": 1.5},
        {"count": 4, "cores": 4, "speed": 1.0},
    ],
    "work_ms": {"sig-check": 20.0, "report-upload": 45.0, "referral": 30.0},
    "accounts": [
        {"name": "starter", "plan": "starter", "count": 12, "rate": 1.2,
         "classes": {"sig-check": 0.6, "report-upload": 0.4}, "door": given.get("door", "grpc")},
        {"name": "team", "plan": "team", "count": 6, "rate": 3.0, "door": given.get("door", "mqtt"),
         "classes": {"sig-check": 0.6, "report-upload": 0.3, "referral": 0.1}},
        {"name": "enterprise", "plan": "enterprise", "count": 3, "rate": 20.0, "width": 3,
         "door": given.get("door", "grpc"),
         "classes": {"sig-check": 0.6, "report-upload": 0.3, "referral": 0.1}},
    ],
    "clients": {"retries": 3, "pause_ms": 200, "patience": 0.5, "hurried": 0.02,
                "units": {"sig-check": 1, "report-upload": 2, "referral": 1}},
    "network": {"loss": 0.05, "double": 0.01, "delay_ms": [1, 10]},
    "news_late_s": 0.3,
    "troubles": [
        trouble("fast_errors", 1.0, 2.0, which = [0], strength = 0.7),
        trouble("halfway", 1.0, 2.0, which = [1], strength = 0.5),
        trouble("balancer_crash", 2.0, 1.5, which = [1]),
        trouble("hang", 3.0, 2.0, which = [4]),
        trouble("hot_key", 3.5, 3.0, group = "team", which = [0], strength = 7.0),
        trouble("node_crash", 4.0, 1.0, which = [2]),
        trouble("shift", 5.0),
        trouble("reconnect", 5.5),
        trouble("retry_abuse", 5.5, 2.0),
        trouble("node_roll", 6.0, 0.8, which = [7]),
        trouble("peer_loss", 7.0, 1.0, strength = 0.5),
        trouble("balancer_roll", 8.0, 0.3, which = [2]),
        trouble("flood", 2.5, 3.0, which = [0, 1], strength = 300.0),
        trouble("mute", 9.0, 1.0, which = [5]),
    ],
}
