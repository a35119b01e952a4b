"""Bad clients: CONNECTIONS at a time, each of which sends COMMANDS commands at once, every one for a customer that was not seen
before, reads all answers and goes; another one takes its place. Ends after SECONDS.

usage: new_customers.py PORT CONNECTIONS COMMANDS SECONDS FIRST_CUSTOMER SPREAD
Prints: clients, commands sent, answers read, and the answers' kinds."""
import os, select, socket, sys, time
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from lab import request

port, connections, commands, seconds, customer, spread = (int(word) for word in sys.argv[1:7])
zero = "0" * 16
template = request("lookup", "team", 1000, customer=0, spread=spread, id=zero)[1]
head, tail = template.split(b"%s\r\n$16\r\n%s" % (zero.encode(), zero.encode()))
kinds = {b"served": 0, b"-BUSY": 0, b"-ERR": 0}
clients = sent = read = 0
open_sockets = {}  # socket: [unsent bytes, answers owed]


def begin():
    global customer, clients, sent
    batch = []
    for _ in range(commands):
        customer += 1
        number = b"%016x" % customer
        batch += [head, number, b"\r\n$16\r\n", number, tail]
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setblocking(False)
    open_sockets[sock] = [memoryview(b"".join(batch)), commands]
    clients += 1
    sent += commands


def end(sock):
    open_sockets.pop(sock)
    sock.close()


until = time.time() + seconds
while time.time() < until:
    try:
        while len(open_sockets) < connections:
            begin()
    except OSError:
        break
    writers = [sock for sock, state in open_sockets.items() if state[0]]
    readable, writable, _ = select.select(list(open_sockets), writers, [], 0.1)
    for sock in writable:
        state = open_sockets[sock]
        try:
            state[0] = state[0][sock.send(state[0]):]
        except BlockingIOError:
            pass
        except OSError:
            end(sock)
    for sock in readable:
        if sock not in open_sockets:
            continue
        try:
            data = sock.recv(1 << 18)
        except OSError:
            data = b""
        if not data:
            end(sock)
            continue
        served, busy, err = data.count(b"$"), data.count(b"-BUSY"), data.count(b"-ERR")
        kinds[b"served"] += served
        kinds[b"-BUSY"] += busy
        kinds[b"-ERR"] += err
        read += served + busy + err
        open_sockets[sock][1] -= served + busy + err
        if open_sockets[sock][1] <= 0:
            end(sock)
print("clients", clients, "commands", sent, "answers", read, kinds)
