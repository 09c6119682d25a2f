"""Clients that send what they like, as slowly as they like."""

import selectors
import socket
import threading
import time

PIECE = b"x" * (64 << 10)
CHUNK = b"%x\r\n" % len(PIECE) + PIECE + b"\r\n"
# A sender that makes no progress for this long has been slowed down by the server.
STALL_S = 3.0
CONNECT_LIMIT_S = 20.0
# Few enough for a short queue of new connections.
CONNECTED_TOGETHER = 8


def head(method, path, host, *fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def connect(address):
    ip, port = address.rsplit(":", 1)
    return socket.create_connection((ip, int(port)), timeout=CONNECT_LIMIT_S)


def open_crowd(address, count):
    """Opens `count` connections, some at a time. The server may leave some unaccepted."""
    ip, port = address.rsplit(":", 1)
    crowd = []
    while len(crowd) < count:
        opened = [socket.socket() for _ in range(min(CONNECTED_TOGETHER, count - len(crowd)))]
        pending = selectors.DefaultSelector()
        for one in opened:
            one.setblocking(False)
            one.connect_ex((ip, int(port)))
            pending.register(one, selectors.EVENT_WRITE)
        while pending.get_map():
            connected = pending.select(STALL_S)
            if not connected:
                break
            for key, _ in connected:
                pending.unregister(key.fileobj)
        crowd += opened
    return crowd


class ReconnectingCrowd:
    """Clients that replace their connections one after the other, before any is old. Each
    connection sends `sent`. At most `MAX_CONNECTIONS` are opened."""

    MAX_CONNECTIONS = 30000
    PAUSE_S = 0.001

    def __init__(self, address, count, sent):
        ip, port = address.rsplit(":", 1)
        self.target = (ip, int(port))
        self.clients = [None] * count
        self.sent = sent
        self.opened = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.reconnect, daemon=True)
        self.thread.start()

    def close(self):
        self.stopped.set()
        self.thread.join()
        close_crowd(one for one in self.clients if one is not None)

    def reconnect(self):
        while not self.stopped.is_set() and self.opened < self.MAX_CONNECTIONS:
            place = self.opened % len(self.clients)
            if self.clients[place] is not None:
                self.clients[place].close()
            self.clients[place] = socket.socket()
            self.clients[place].setblocking(False)
            self.clients[place].connect_ex(self.target)
            self.opened += 1
            time.sleep(self.PAUSE_S)
            try:
                self.clients[place].send(self.sent)
            except OSError:
                pass  # The server may be full.


def close_crowd(crowd):
    for one in crowd:
        one.close()


def send_to_all(crowd, parts):
    """Sends the bytes of `parts` on each connection of `crowd`, all together, until
    everything is sent, refused or stalled. Returns the number of bytes sent on each."""
    data = memoryview(b"".join(parts))
    sent = {one: 0 for one in crowd}
    waiting = selectors.DefaultSelector()
    for one in crowd:
        one.setblocking(False)
        waiting.register(one, selectors.EVENT_WRITE)
    while waiting.get_map():
        writable = waiting.select(STALL_S)
        if not writable:
            break
        for key, _ in writable:
            one = key.fileobj
            try:
                sent[one] += one.send(data[sent[one]:sent[one] + len(PIECE)])
            except BlockingIOError:
                continue
            except OSError:
                waiting.unregister(one)
                continue
            if sent[one] == len(data):
                waiting.unregister(one)
    return [sent[one] for one in crowd]


def read_status(connection, limit=30.0):
    """Returns the status of the answer, or None if the connection ends without one."""
    connection.settimeout(limit)
    received = b""
    try:
        while b"\r\n" not in received:
            piece = connection.recv(4096)
            if not piece:
                return None
            received += piece
    except OSError:
        return None
    return int(received.split()[1])


def wait_until_closed(connection, limit=30.0):
    """Reads until the server ends the connection; returns False if it does not."""
    end = time.monotonic() + limit
    connection.settimeout(1.0)
    while time.monotonic() < end:
        try:
            if not connection.recv(65536):
                return True
        except socket.timeout:
            continue
        except OSError:
            return True
    return False
