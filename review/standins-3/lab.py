"""Stand-ins of the platform for review cases: backends, discovery, clients, and the ingress as a process of its own.

Standard library only. Every address is on loopback. Times in the record are milliseconds since the start of the case.
"""
import ctypes, json, os, signal, socket, subprocess, sys, tempfile, threading, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/chalkgap")
T0 = time.time()


def now_ms():
    return (time.time() - T0) * 1000.0


_libc = ctypes.CDLL(None)


def _end_with_parent():
    """In a new process: the system kills it when the case's main thread ends, however that ends (PR_SET_PDEATHSIG)."""
    _libc.prctl(1, signal.SIGKILL)


class Lab:
    """One case: its record, its processes and its end."""

    def __init__(self, folder, limit_s=110):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_path = os.path.join(folder, "record.txt")
        self.lines, self.lock, self.children = [], threading.Lock(), []
        self.tmp = tempfile.TemporaryDirectory(prefix="chalkgap-review-")
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, frame: self.end(2, "ended by signal %d" % number))
        sys.excepthook = lambda kind, error, trace: (sys.__excepthook__(kind, error, trace), self.end(2, repr(error)))
        watchdog = threading.Timer(limit_s, lambda: self.end(2, "the case took too long"))
        watchdog.daemon = True
        watchdog.start()
        if not os.path.exists(PROGRAM):
            self.end(2, "not built: " + PROGRAM)

    def note(self, text):
        with self.lock:
            self.lines.append("%10.1f %s" % (now_ms(), text))

    def spawn(self, words, **options):
        """Starts a process that ends with the case. To be called by the main thread."""
        child = subprocess.Popen(words, preexec_fn=_end_with_parent, **options)
        self.children.append(child)
        return child

    def end(self, code, verdict):
        self.note("verdict: %s (exit %d)" % (verdict, code))
        for child in self.children:
            if child.poll() is None:
                try:
                    child.send_signal(signal.SIGCONT)
                except OSError:
                    pass
                child.kill()
                child.wait()
        with self.lock:
            lines = list(self.lines)
        with open(self.record_path, "w") as record:
            record.write("\n".join(lines) + "\n")
        print("%s: %s" % ({0: "held", 1: "BROKEN"}.get(code, "could not run"), verdict))
        sys.stdout.flush()
        try:
            self.tmp.cleanup()
        except OSError:
            pass
        os._exit(code)


def free_ports(count, kind=socket.SOCK_STREAM):
    held = []
    for _ in range(count):
        s = socket.socket(socket.AF_INET, kind)
        s.bind(("127.0.0.1", 0))
        held.append(s)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


def grade(name, effect="repeatable", objective_ms=1000, give_up_ms=4000, group="all", window_ms=5000, worth=1.0):
    return {"name": name, "effect": effect, "give_up_us": give_up_ms * 1000, "group": group, "late_worth": 0.0,
            "objective_us": objective_ms * 1000, "stream": False, "window_us": window_ms * 1000, "worth": worth}


def contract(name, rate=0.0, burst=0.0, max_out=0, ceiling_rate=0.0, ceiling_burst=0.0, slack=0.0, worth=1.0):
    return {"name": name, "quota_rate": rate, "burst": burst, "max_out": max_out, "never_over_rate": ceiling_rate,
            "ceiling_burst": ceiling_burst, "ceiling_slack": slack, "worth_factor": worth, "over_worth": 0.0,
            "beyond_costs": 0.8}


def settings(grades, contracts, instances=1, slot=0, **changes):
    s = {
        "clients": {"marks_retry": False}, "contracts": contracts, "domain_type": "gate",
        "family_info": {"count_wait_us": 0, "counter_price": 0.0, "has_counter": False, "meter_period_us": 0,
                        "most_units": 4, "peer_in_per_s": 100.0, "post_paid": False},
        "grades": grades, "layers": ["intake-fleet"],
        "limits": {"cancelling": True, "connect_timeout_us": 250000, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 400000, "keepalive_us": 15000000, "max_open": 20000,
                   "max_retry_after_us": 2000000, "max_streams": 1, "may_probe": False, "most_tries": 3,
                   "peers": True, "retry_after": True, "second_copies": True},
        "membership_mode": "push", "n_instances": instances,
        "objective_mix": {"whole": 0.65, "worst_class": 0.0, "worst_tenant": 0.15, "worst_window": 0.2},
        "reporting": {"fields": ["depth"], "how": "answers"},
        "rules": {"answer_slack_us": 16000, "cold_from": 0.19, "cold_us": 18000000, "drain_grace_us": 2000000,
                  "fall_us": 2000000, "must_ask_in_us": 10000000, "overload_factor": 3.0},
        "skus": ["fast-node", "std-node"], "slot_no": slot,
        "tariffs": {}, "tick_us": 4000, "tier": 0, "weights": "rough", "zone": 0,
        "zones": ["bldg-a", "bldg-b", "bldg-c"],
    }
    for path, value in changes.items():
        at, keys = s, path.split("__")
        for key in keys[:-1]:
            at = at[key]
        at[keys[-1]] = value
    return s


# RESP2

def command(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else word.encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


class Reader:
    """Reads RESP2 items from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, bytearray()

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def line(self):
        while True:
            at = self.buffer.find(b"\r\n")
            if at >= 0:
                line = bytes(self.buffer[:at])
                del self.buffer[:at + 2]
                return line
            self.fill()

    def exact(self, count):
        while len(self.buffer) < count:
            self.fill()
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    def item(self):
        line = self.line()
        kind, rest = line[:1], line[1:]
        if kind == b"*":
            return [self.item() for _ in range(int(rest))]
        if kind == b"$":
            if int(rest) < 0:
                return None
            return self.exact(int(rest) + 2)[:-2]
        return line


def served(value, load=b"depth=0"):
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n" % (len(value), value, len(load), load)


def attributes(text):
    return dict(item.split("=", 1) for item in text.split(","))


class Backend:
    """A backend. `work(backend, run)` returns the reply's bytes, or None to stay silent; it may sleep.

    `run` has: id, customer, list (dict), at (ms of the last byte), name (command)."""

    def __init__(self, lab, host, work=None, zone="bldg-a", cell=1, born_ms=0, port=0):
        self.lab, self.host, self.work, self.zone, self.cell, self.born_ms = lab, host, work, zone, cell, born_ms
        self.runs, self.lock = [], threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        self.connections = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, health="ready"):
        return {"host": self.host, "dial": "127.0.0.1:%d" % self.port, "site": self.zone, "class": "std-node",
                "block": self.cell, "health": health, "share": 1.0, "born_ms": self.born_ms}

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        reader = Reader(conn)
        try:
            while True:
                words = reader.item()
                at = now_ms()
                name = words[0].decode()
                if name in ("CLIENT", "SELECT"):
                    conn.sendall(b"+OK\r\n")
                    continue
                run = {"name": name, "customer": words[1].decode(), "id": words[2].decode(),
                       "list": attributes(words[3].decode()), "at": at, "host": self.host, "conn": conn}
                with self.lock:
                    self.runs.append(run)
                self.lab.note("backend %s begins %s d=%s" % (self.host, run["id"], run["list"].get("d")))
                reply = self.work(self, run) if self.work else served(run["id"].encode())
                if reply is None:
                    reader.fill()  # silent until the ingress closes
                    return
                conn.sendall(reply)
                self.lab.note("backend %s answers %s" % (self.host, run["id"]))
        except (EOFError, OSError, ValueError):
            pass
        finally:
            conn.close()


class Discovery:
    """The agent: answers with the whole list, and serves watches."""

    def __init__(self, lab, hosts):
        self.lab, self.seq, self.hosts, self.lock = lab, 41, {h["host"]: h for h in hosts}, threading.Condition()
        self.changes = []
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.silent, self.retired_at = False, None
        threading.Thread(target=self.accept, daemon=True).start()

    def retire(self):
        """A new configuration names another address: takes no new connection, and closes the open ones after 1.5 s."""
        self.retired_at = time.time()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": [h for h in self.hosts.values() if h["health"] != "gone"]}

    def change(self, *entries):
        with self.lock:
            self.seq += 1
            for entry in entries:
                self.hosts[entry["host"]] = entry
            self.changes.append((self.seq, list(entries)))
            self.lock.notify_all()

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                more = conn.recv(4096)
                if not more:
                    return
                data += more
            path = data.split(b" ")[1].decode()
            self.lab.note("discovery at %d: %s" % (self.port, path))
            while self.silent:
                time.sleep(0.02)
            if "watch=1" not in path:
                with self.lock:
                    body = json.dumps(self.whole()).encode()
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            seen = int(path.split("from=")[1].split("&")[0])
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                with self.lock:
                    new = [c for c in self.changes if c[0] > seen]
                    if not new:
                        self.lock.wait(2.0)
                        new = [c for c in self.changes if c[0] > seen]
                if self.retired_at and time.time() > self.retired_at + 1.5:
                    return
                with self.lock:
                    lines = [json.dumps({"seq": seq, "whole": False, "hosts": hosts}) + "\n" for seq, hosts in new]
                    if new:
                        seen = new[-1][0]
                for text in lines or ["\n"]:
                    text = text.encode()
                    conn.sendall(b"%x\r\n%s\r\n" % (len(text), text))
                    if new:
                        self.lab.note("discovery at %d writes %s" % (self.port, text.decode().strip()))
        except OSError:
            pass
        finally:
            conn.close()


class Ingress:
    """`chalkgap platform`, as the deploy file starts it."""

    def __init__(self, lab, discovery, site, name="n0", slot=0, port=None, peers=(), peer_port=None, memory_mb=192,
                 sockets=1024, known=None):
        self.lab, self.name = lab, name
        self.port = port or free_ports(1)[0]
        self.log = os.path.join(lab.tmp.name, "%s-%d.log" % (name, int(now_ms())))
        config = {"name": name, "listen": "127.0.0.1:%d" % self.port, "discovery": discovery.address,
                  "seed": "8c1f30d27a5be9%02x" % slot,
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": known or discovery.whole(), "settings": dict(site, slot_no=slot)}
        if peers:
            config["peers"] = ["127.0.0.1:%d" % p for p in peers]
            config["peer_listen"] = "127.0.0.1:%d" % peer_port
        self.file = os.path.join(lab.tmp.name, name + ".json")
        with open(self.file, "w") as f:
            json.dump(config, f)
        self.start()

    def start(self):
        env = dict(os.environ, RELAY_CONFIG=self.file, TMPDIR=self.lab.tmp.name)
        self.process = self.lab.spawn(["/bin/sh", "-c", "exec target/release/chalkgap platform"], cwd=ROOT, env=env,
                                      stdout=subprocess.DEVNULL, stderr=open(self.log, "a"))
        self.lab.note("ingress %s starts as process %d" % (self.name, self.process.pid))

    def ready(self, within_s=10):
        end = time.time() + within_s
        while time.time() < end:
            try:
                with socket.create_connection(("127.0.0.1", self.port), 1) as s:
                    s.sendall(command("PING"))
                    if s.recv(16) == b"+PONG\r\n":
                        self.lab.note("ingress %s is ready" % self.name)
                        return
            except OSError:
                time.sleep(0.05)
        self.lab.end(2, "ingress %s was not ready: %s" % (self.name, open(self.log).read()[-400:]))

    def signal(self, number):
        self.lab.note("signal %d to ingress %s" % (number, self.name))
        self.process.send_signal(number)


_ids = [0]
_ids_lock = threading.Lock()


def new_id():
    with _ids_lock:
        _ids[0] += 1
        return "%08x%08x" % (0x9B1F03AA ^ os.getpid(), _ids[0])


def request(cls, plan, d, customer=0x1234, name="SVC.QUERY", units=1, spread=1, first=0, key=None, body=None, id=None):
    """Returns (id, bytes) of a request."""
    id = id or new_id()
    text = "c=%s,t=%s,d=%d" % (cls, plan, d)
    if key:
        text += ",k=" + key
    text += ",units=%s,spread=%d,first=%d" % (units, spread, first)
    words = [name, "%016x" % customer, id, text] + ([body] if body is not None else [])
    return id, command(*words)


class Client:
    """A usual client: one connection, one request after the other."""

    def __init__(self, lab, port):
        self.lab, self.port, self.sock = lab, port, None

    def ask(self, id, data, wait_s):
        """Returns the answer (bytes, or a list), or an exception's name."""
        try:
            if self.sock is None:
                self.sock = socket.create_connection(("127.0.0.1", self.port), wait_s)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.reader = Reader(self.sock)
            self.sock.settimeout(wait_s)
            self.sock.sendall(data)
            return self.reader.item()
        except socket.timeout:
            self.close()
            return "timeout"
        except (OSError, EOFError) as error:
            self.close()
            return "ended: " + type(error).__name__

    def close(self):
        if self.sock:
            self.sock.close()
        self.sock = None

