# The default day. Among its troubles: one of three ingresses is killed and restarted with only its cached node list,
# nodes fail requests immediately, a node stops answering, an account sends seven times its usual traffic, all accounts
# move to another ingress at the same time, and clients retry without a pause.

def trouble(kind, at, lasts = 0.0, **more):
    return dict(kind = kind, at = at, lasts = lasts, **more)

door = given.get("door", "grpc")

day = {
    "seed": int(given.get("seed", "1")),
    "seconds": float(given.get("seconds", "120")),
    "ingresses": 3,
    "zones": ["bldg-a", "bldg-b", "bldg-c"],
    "settings": {
        "front": {"answer_margin_ms": 40, "default_class": "sig-check", "max_connections": 120},
        "descriptors": {"nodes": 64},
        "ledger": {"period": {"seconds": 10}},
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
        {"name": "starter", "plan": "starter", "door": door, "count": 12, "rate": 3.0,
         "classes": {"sig-check": 0.6, "report-upload": 0.4}},
        {"name": "team", "plan": "team", "door": door, "count": 6, "rate": 7.0,
         "classes": {"sig-check": 0.6, "report-upload": 0.3, "referral": 0.1}},
        {"name": "enterprise", "plan": "enterprise", "door": door, "count": 3, "rate": 45.0, "width": 3,
         "classes": {"sig-check": 0.6, "report-upload": 0.3, "referral": 0.1}},
    ],
    "clients": {"retries": 3, "pause_ms": 200, "patience": 0.5, "hurried": 0.02,
                "units": {"sig-check": 1, "report-upload": 2, "referral": 1}},
    "network": {"loss": 0.05, "double": 0.01, "delay_ms": [1, 10]},
    "news_late_s": 0.3,
    "troubles": [
        trouble("balancer_crash", 10.0, 4.0, which = [1]),
        trouble("fast_errors", 18.0, 12.0, which = [0, 3], strength = 0.7),
        trouble("halfway", 22.0, 8.0, which = [1], strength = 0.4),
        trouble("hang", 34.0, 8.0, which = [4]),
        trouble("hot_key", 40.0, 12.0, group = "team", which = [0], strength = 7.0),
        trouble("roster_down", 52.0, 8.0),
        trouble("balancer_crash", 54.0, 2.0, which = [0]),
        trouble("node_crash", 62.0, 2.0, which = [2]),
        trouble("shift", 68.0),
        trouble("reconnect", 72.0),
        trouble("retry_abuse", 72.0, 8.0),
        trouble("burst", 74.0, 5.0, strength = 2.0),
        trouble("node_roll", 82.0, 1.0, which = [7, 8]),
        trouble("peer_loss", 86.0, 5.0, strength = 0.6),
        trouble("give_up", 90.0, 5.0, strength = 0.2),
        trouble("heavy_tail", 92.0, 6.0, share = 0.02, strength = 15.0),
        trouble("neighbour", 96.0, 6.0, which = [6], strength = 3.0),
        trouble("scan", 98.0, 6.0, strength = 20.0),
        trouble("class_fail", 100.0, 3.0, which = [3, 5], group = "report-upload", strength = 0.8),
        trouble("balancer_stall", 103.0, 1.2, which = [1]),
        trouble("flood", 30.0, 10.0, which = [0, 1], strength = 400.0),
        trouble("zone_cut", 104.0, 6.0, which = [2]),
        trouble("balancer_roll", 112.0, 0.5, which = [2]),
    ],
}
