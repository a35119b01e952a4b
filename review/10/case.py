"""Lists are asked for. Backends begin to drain, each just before a new configuration, while bad clients keep the ingress busy. What
discovery has written has to be known; no request may begin at a drained backend long after."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../standins-3"))
from lab import *

GRACE_MS, SLACK_MS = 2000, 50
TOLD_MS = 6000            # the latest time by which any sentence of the pages counts a change as told
ROUNDS, PAUSE_S = 14, 0.5
OFFSETS_MS = [5, 8, 12, 8, 5, 10, 8, 12, 6, 8, 10, 5, 8, 12]  # from the change at the watch to SIGHUP
PROCESSES, CONNECTIONS = 4, 70

lab = Lab(HERE)


def work(backend, run):
    time.sleep(0.01)
    return served(run["id"].encode())


backends = [Backend(lab, "s-%d" % n, work) for n in range(ROUNDS + 4)]
discovery = Discovery(lab, [b.entry() for b in backends])
site = settings([grade("safe", objective_ms=500, give_up_ms=1000)], [contract("free"), contract("tiny", rate=0.1, burst=1)],
                membership_mode="ask", rules__drain_grace_us=GRACE_MS * 1000)
ingress = Ingress(lab, discovery, site, sockets=1024)
ingress.ready()
until = time.time() + 3 + ROUNDS * PAUSE_S + (TOLD_MS + GRACE_MS) / 1000 + 4


def usual(number):
    client = Client(lab, ingress.port)
    while time.time() < until:
        id, data = request("safe", "free", 1000, customer=0x100 + number)
        client.ask(id, data, 2)
        time.sleep(0.02)


clients = [threading.Thread(target=usual, args=(n,), daemon=True) for n in range(10)]
[c.start() for c in clients]
crowd = []
if lab.trouble:
    script = os.path.join(HERE, "../standins-3/crowd.py")
    for n in range(PROCESSES):
        crowd.append(lab.spawn([sys.executable, script, str(ingress.port), str(CONNECTIONS), str(2 + ROUNDS * PAUSE_S),
                                str(1000 * (n + 1))], stdout=subprocess.PIPE))
time.sleep(2.5)
drained = []
for number in range(ROUNDS):
    backend = backends[number]
    entry = backend.entry("draining")
    new = Discovery(lab, list(discovery.hosts.values()))
    new.seq, new.changes = discovery.seq, list(discovery.changes)
    new.change(entry)                     # the new address has the same list, with the drain
    with open(ingress.file) as f:
        config = json.load(f)
    config["discovery"] = new.address
    with open(ingress.file + ".new", "w") as f:
        json.dump(config, f)
    os.rename(ingress.file + ".new", ingress.file)
    discovery.change(entry)               # written to the watch at the old address
    drained.append((backend, now_ms()))
    lab.note("%s drains" % backend.host)
    time.sleep(OFFSETS_MS[number % len(OFFSETS_MS)] / 1000)
    ingress.signal(signal.SIGHUP)
    discovery.retire()
    discovery = new
    time.sleep(PAUSE_S)
for process in crowd:
    lab.note("crowd: " + process.communicate()[0].decode().strip())
[c.join() for c in clients]
if ingress.process.poll() is not None:
    lab.end(1, "the ingress ended")
broken = 0
for backend, at in drained:
    with backend.lock:
        late = [r for r in backend.runs if r["at"] > at + TOLD_MS + GRACE_MS + SLACK_MS]
    lab.note("%s: %d requests begin later than %d ms after its drain" % (backend.host, len(late), TOLD_MS + GRACE_MS + SLACK_MS))
    broken += bool(late)
others = sum(len(b.runs) for b in backends[ROUNDS:])
if others < 100:
    lab.end(2, "the usual clients were hardly served: %d" % others)
if broken:
    lab.end(1, "%d of %d drained backends still get new requests %d ms after their drain" % (broken, ROUNDS, TOLD_MS + GRACE_MS + SLACK_MS))
lab.end(0, "no drained backend got a request later than allowed")
