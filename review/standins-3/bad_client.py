"""A bad client: sends COUNT commands at once that name a plan that does not exist, and sends each of them again as soon as it
is turned away. It reads all that it is sent. Ends after SECONDS, or when its connection ends.

usage: bad_client.py PORT COUNT BODY_BYTES SECONDS
Prints: commands sent, error lines read."""
import os, select, socket, sys, time
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from lab import request

port, count, body, seconds = int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
one = request("order", "no-such-plan", 480, name="SVC.SUBMIT", body=b"x" * body)[1]
batch = memoryview(one * count)
sock = socket.create_connection(("127.0.0.1", port))
sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
sock.setblocking(False)
owed = len(batch)  # bytes that may be sent now: COUNT commands at first, then one for each error line read
sent = errors = 0
end = time.time() + seconds
try:
    while time.time() < end:
        readable, writable, _ = select.select([sock], [sock] if owed else [], [], 0.1)
        if readable:
            data = sock.recv(1 << 18)
            if not data:
                break
            lines = data.count(b"\n")
            errors += lines
            owed += lines * len(one)
        if writable and owed:
            at = sent % len(one)  # the batch repeats one command, so sending continues at any offset within it
            try:
                done = sock.send(batch[at:at + min(owed, len(batch) - at)])
                sent += done
                owed -= done
            except BlockingIOError:
                pass
except OSError as error:
    print("connection ended:", error)
print("commands", sent // len(one), "errors", errors)
