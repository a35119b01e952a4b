"""Bad clients: CONNECTIONS, each of which sends 300 valid commands of a customer far over its quota at once, reads all answers and
sends the same again. Ends after SECONDS.

usage: crowd.py PORT CONNECTIONS SECONDS FIRST_NUMBER
Prints: clients, answers read."""
import os, select, socket, sys, time
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from lab import request

COMMANDS = 300
port, connections, seconds, first = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
clients = {}  # socket: [all its commands, the part not sent yet, answers owed]
answers = 0
for number in range(first, first + connections):
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setblocking(False)
    batch = b"".join(request("safe", "tiny", 1000, customer=777, id="%016x" % (number * 1000 + n))[1] for n in range(COMMANDS))
    clients[sock] = [batch, memoryview(batch), COMMANDS]
until = time.time() + seconds
while time.time() < until and clients:
    readable, writable, _ = select.select(list(clients), [s for s in clients if clients[s][1]], [], 0.1)
    for sock in writable:
        try:
            clients[sock][1] = clients[sock][1][sock.send(clients[sock][1]):]
        except BlockingIOError:
            pass
        except OSError:
            clients.pop(sock).clear()
    for sock in readable:
        if sock not in clients:
            continue
        try:
            data = sock.recv(1 << 18)
        except OSError:
            data = b""
        if not data:
            clients.pop(sock)
            continue
        done = data.count(b"\n")  # an error is a line
        answers += done
        client = clients[sock]
        client[2] -= done
        if client[2] <= 0:
            client[1:] = [memoryview(client[0]), COMMANDS]
print("clients", connections, "answers", answers)
