"""A repeat that is decided inside the window and written after it."""
import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standin import *  # noqa: E402,F403

WINDOW = 2.0          # s that a mark is remembered, from the last byte of the first attempt that may have run
SLACK = 0.05          # s by which each time limit is longer on sockets
EARLY = 0.03          # s before the end of the window at which the connection of the first attempt is reset
LATE = 0.19           # s by which the connections for the next attempts come up late
REQUESTS = 8          # connections come up late for every second one, in time for the others
BODY = b"n" * 60000   # bodies hold at most 64 KiB


class Worker:
    """A worker whose listener has small segments, so that a connection that it has not taken yet holds little."""

    def __init__(self, name, fleet):
        self.name, self.fleet = name, fleet
        self.listener = socket.socket()
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "%s:%d" % self.listener.getsockname()
        spawn(self.take)

    def take(self):
        while True:
            # A connection that comes up late: it is taken only after a while.
            select_readable(self.listener)
            if self.fleet.late:
                time.sleep(LATE)
                self.fleet.record(f"worker {self.name}: a connection came up {LATE} s late")
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            spawn(self.serve, connection)

    def serve(self, connection):
        message = read_message(connection.makefile("rb"))
        if message is None:
            connection.close()
            return
        came = time.monotonic()
        self.fleet.run(self, message[1]["request-id"], came, connection)


def select_readable(listener):
    import select
    select.select([listener], [], [])


class Fleet:
    def __init__(self, record):
        self.record, self.late, self.late_next, self.runs, self.lock = record, False, False, {}, threading.Lock()

    def run(self, worker, identity, came, connection):
        with self.lock:
            runs = self.runs.setdefault(identity, [])
            first = runs[0] if runs else None
            repeat = first is not None and came < first + WINDOW + SLACK
            if not repeat:
                runs.append(came)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        started = chunk({"id": identity, "from": worker.name, "state": "started"})
        done = chunk({"id": identity, "from": worker.name, "state": "done", "result": "noted"}) + b"0\r\n\r\n"
        if first is None:
            self.record(f"worker {worker.name}: {identity} came whole, it runs")
            connection.sendall(head + started)
            if TROUBLE:
                time.sleep(max(0.0, came + WINDOW - EARLY - time.monotonic()))
                self.late = self.late_next
                self.record(f"worker {worker.name}: {identity} has run, its connection is reset before the last line")
                reset(connection)
                return
            time.sleep(0.2)
            head = started = b""  # sent before
        elif repeat:
            self.record(f"worker {worker.name}: {identity} came again {came - first:.3f} s after its first, dropped as a repeat")
        else:
            self.record(f"worker {worker.name}: {identity} came again {came - first:.3f} s after its first: "
                        "its mark is forgotten, it runs a second time")
        try:
            connection.sendall(head + started + done)
        except OSError:
            pass
        connection.close()


class Discovery:
    def __init__(self, hosts):
        self.body = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "%s:%d" % self.listener.getsockname()
        spawn(self.take)

    def take(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            spawn(self.serve, connection)

    def serve(self, connection):
        stream = connection.makefile("rb")
        while (message := read_message(stream)) is not None:
            body = self.body
            if "wait=" in message[0]:
                time.sleep(int(message[0].split("wait=")[1].split()[0].split("&")[0]) / 1000)
                body = b'{"seq":1,"whole":false,"hosts":[]}'
            try:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            except OSError:
                return


def case(record, folder, daemons):
    fleet = Fleet(record)
    workers = [Worker(name, fleet) for name in ("w0", "w1", "w2")]
    discovery = Discovery([entry(worker.name, worker.address) for worker in workers])
    made = settings([scheme("note", "by_key", expiry_ms=5000, window_ms=int(WINDOW * 1000))])
    daemon = Daemon("n0", configuration("n0", discovery.address, made), folder)
    daemons.append(daemon)
    daemon.wait_until_ready()
    time.sleep(1)
    for at in range(REQUESTS):
        fleet.late, fleet.late_next = False, at % 2 == 1
        identity = f"note-{at:04x}"
        record(f"client: {identity} is sent")
        answer = call(daemon.address, identity, "note", 5.0, BODY)
        record(f"client: {identity} is answered {answer}")
        time.sleep(0.3)
    if len(fleet.runs) < REQUESTS:
        raise CannotRun("not every request reached a worker")
    return [f"{identity} ran {len(runs)} times, the second {runs[1] - runs[0]:.3f} s after the first; "
            f"repeats are dropped for {WINDOW} s"
            for identity, runs in sorted(fleet.runs.items()) if len(runs) > 1]


play(HERE, case)
