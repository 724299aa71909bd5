"""Clients that send what they like and stay connected, and what a process holds meanwhile.

Used by unruly_clients_test.py.
"""

import os
import selectors
import socket
import threading
import time

CONNECTS_AT_ONCE = 200
PIECE_BYTES = 64 << 10
UNREAD_BUFFER_BYTES = 4 << 10  # Of the kernel, for answers that nobody reads.
SAMPLE_S = 0.02
UNREAD_SAMPLE_S = 0.1
LISTEN_STATE = "0A"
TCP_TABLE = "/proc/net/tcp"


class Crowd(threading.Thread):
    """Connections that each send the bytes of an iterator as fast as the other side takes them, and then stay open.

    None of them is opened again: a server may close them. `reads`: they read their answers; else nobody does.
    """

    def __init__(self, address, plays, reads=False):
        super().__init__(daemon=True)
        host, port = address.split(":")
        self.address = host, int(port)
        self.waiting = list(plays)
        self.reads = reads
        self.selector = selectors.DefaultSelector()
        self.is_over = threading.Event()
        self.has_sent = threading.Event()
        self.last_sent = time.monotonic()
        self.sockets = set()
        self.start()

    def run(self):
        while not self.is_over.is_set():
            for _ in range(CONNECTS_AT_ONCE):
                if self.waiting:
                    self.open(self.waiting.pop())
            for key, events in self.selector.select(SAMPLE_S):
                if events & selectors.EVENT_READ:
                    self.receive(key)
                elif events & selectors.EVENT_WRITE:
                    self.send(key)
        for it in list(self.sockets):
            self.drop(it)

    def open(self, play):
        connection = socket.socket()
        connection.setblocking(False)
        if not self.reads:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
        connection.connect_ex(self.address)
        self.sockets.add(connection)
        events = selectors.EVENT_WRITE | (selectors.EVENT_READ if self.reads else 0)
        self.selector.register(connection, events, [iter(play), memoryview(b"")])

    def drop(self, connection):
        self.sockets.discard(connection)
        if connection.fileno() >= 0:
            if connection in self.selector.get_map():
                self.selector.unregister(connection)
            connection.close()

    def receive(self, key):
        try:
            if not key.fileobj.recv(PIECE_BYTES):
                self.drop(key.fileobj)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(key.fileobj)

    def send(self, key):
        state = key.data
        try:
            if not state[1]:
                piece = next(state[0], None)
                if piece is None:
                    if self.reads:
                        self.selector.modify(key.fileobj, selectors.EVENT_READ, state)
                    else:
                        self.selector.unregister(key.fileobj)
                    return
                state[1] = memoryview(piece)
            state[1] = state[1][key.fileobj.send(state[1][:PIECE_BYTES]):]
            self.last_sent = time.monotonic()
        except BlockingIOError:
            pass
        except OSError:
            self.drop(key.fileobj)

    def settle(self, quiet_s, most_s):
        """Returns once nothing was sent for a while, or after most_s where some send without end."""
        end = time.monotonic() + most_s
        while time.monotonic() < end and (self.waiting or time.monotonic() - self.last_sent < quiet_s):
            time.sleep(SAMPLE_S)

    def end(self):
        self.is_over.set()
        self.join()


def unread_bytes(ports):
    """What the kernel holds for connections to these ports that has not been read."""
    total = 0
    with open(TCP_TABLE, encoding="ascii") as file:
        next(file)
        for line in file:
            _, local, _, state, queues = line.split(maxsplit=5)[:5]
            if state != LISTEN_STATE and int(local.split(":")[1], 16) in ports:
                total += int(queues.split(":")[1], 16)
    return total


class Watch(threading.Thread):
    """The most that a process holds: resident memory with what the kernel holds unread for its ports, and descriptors."""

    def __init__(self, pid, ports):
        super().__init__(daemon=True)
        self.pid, self.ports = pid, set(ports)
        self.peak_bytes, self.peak_unread, self.peak_descriptors = 0, 0, 0
        self.is_over = threading.Event()
        self.start()

    def run(self):
        page = os.sysconf("SC_PAGE_SIZE")
        unread, sampled = 0, 0.0
        while not self.is_over.wait(SAMPLE_S):
            try:
                with open(f"/proc/{self.pid}/statm", encoding="ascii") as file:
                    resident = int(file.read().split()[1]) * page
                descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
            except OSError:
                return
            if time.monotonic() - sampled > UNREAD_SAMPLE_S:
                unread, sampled = unread_bytes(self.ports), time.monotonic()
            self.peak_unread = max(self.peak_unread, unread)
            self.peak_bytes = max(self.peak_bytes, resident + unread)
            self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def end(self):
        self.is_over.set()
        self.join()


def endless(piece):
    while True:
        yield piece


def chunked(chunk, total):
    """Chunks up to that many bytes of body, without the last chunk."""
    head = b"%x\r\n" % len(chunk)
    for _ in range(total // len(chunk)):
        yield head + chunk + b"\r\n"


def tiny_chunks(total):
    """As chunked(), each of one byte, many to a piece."""
    per_piece = 1 << 10
    piece = b"1\r\nx\r\n" * per_piece
    for _ in range(total // per_piece):
        yield piece


def then(*parts):
    for it in parts:
        if isinstance(it, bytes):
            yield it
        else:
            yield from it
