# Settings of one ingress of three. `chalkgap serve deploy/ingress.star --set me=1` starts the second one.
# Durations are in milliseconds. `chalkgap schema` lists every setting; `chalkgap check` reports errors before a start.

me = int(given.get("me", "0"))
count = int(given.get("ingresses", "1"))
base = int(given.get("port", "8081"))

settings = {
    "fleet": {
        "ingresses": count,
        "me": me,
        "zones": ["bldg-a", "bldg-b", "bldg-c"],
        "zone": "bldg-a",
        # Messages between ingresses. The key is a secret: pass it by --set and keep it out of this file.
        "peers": {
            "listen": "127.0.0.1:%d" % (base + 1000 + me),
            "addresses": ["127.0.0.1:%d" % (base + 1000 + n) for n in range(count)],
            "key": given["peer_key"],
            "per_second": 100,
        } if "peer_key" in given else None,
    },
    "front": {"listen": "127.0.0.1:%d" % (base + me), "default_class": "sig-check"},
    "classes": [
        {"name": "sig-check", "aim_ms": 1000, "deadline_ms": 4000, "worth": 1.0, "repeat": "safe"},
        {"name": "report-upload", "aim_ms": 2500, "deadline_ms": 7500, "worth": 3.0, "late_worth": 0.2,
         "repeat": {"keyed": {"group": "cell", "window_ms": 5000}}},
    ],
    "plans": [
        {"name": "starter", "rate": 1.6, "burst": 7, "price": 0.5},
        {"name": "team", "rate": 2.5, "burst": 12, "price": 0.8},
        {"name": "studio", "open_cap": 3, "price": 1.3},
        {"name": "enterprise", "rate": 25, "burst": 60, "price": 1.6},
    ],
    "accounts": {"acme": {"plan": "enterprise"}},
    "default_plan": "starter",
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.19, "cold_ms": 18000, "fall_factor": 3, "fall_ms": 2000},
    # Usage by account and period, on this machine's disk; pass a folder by --set ledger=PATH.
    "ledger": {"folder": given["ledger"], "period": {"seconds": 86400}} if "ledger" in given else None,
    "nodes": {"source": {"file": {"path": given.get("nodes", "nodes.json")}}},
}
