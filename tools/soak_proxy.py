"""A TCP proxy on loopback that harms what passes through it, on command."""

import selectors
import socket
import threading
import time

CHUNK = 65536
SILENT_MODES = ("silence", "cut-up", "cut-down")


class Proxy:
    """Passes connections on to one address.

    Modes: pass; delay (each chunk waits); reset (all connections are reset, new ones too); silence (nothing passes either
    way, nothing is closed); cut-up and cut-down (one direction is swallowed). Connections that were harmed by silence or
    a cut stay silent for good: only new ones work when the mode is pass again.
    """

    def __init__(self, upstream, delay=0.05):
        host, port = upstream.split(":")
        self._upstream = (host, int(port))
        self._delay = delay
        self._mode = "pass"
        self._lock = threading.Lock()
        self._pairs = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode):
        with self._lock:
            self._mode = mode
            if mode == "reset":
                for pair in self._pairs:
                    pair.reset()
                self._pairs.clear()

    def close(self):
        self._listener.close()
        self.set_mode("reset")

    def mode(self):
        return self._mode

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        if self._mode == "reset":
            reset(client)
            return
        if self._mode == "silence":
            time.sleep(1.0)
        try:
            server = socket.create_connection(self._upstream, timeout=2.0)
        except OSError:
            reset(client)
            return
        pair = _Pair(self, client, server)
        with self._lock:
            self._pairs.append(pair)
        pair.run()
        with self._lock:
            if pair in self._pairs:
                self._pairs.remove(pair)


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        connection.close()
    except OSError:
        pass


class _Pair:
    """One connection and the one that it is passed on to."""

    def __init__(self, proxy, client, server):
        self._proxy = proxy
        self._ends = {client: server, server: client}
        self._client = client
        self._harmed = set()
        self._is_open = True
        self._was_reset = False

    def reset(self):
        self._is_open = False
        for end in self._ends:
            try:
                end.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def run(self):
        selector = selectors.DefaultSelector()
        for end in self._ends:
            selector.register(end, selectors.EVENT_READ)
        while self._is_open:
            for key, _ in selector.select(timeout=0.2):
                if not self._pass(key.fileobj):
                    self._is_open = False
        selector.close()
        is_reset = self._was_reset or self._proxy.mode() == "reset"
        for end in self._ends:
            reset(end) if is_reset else end.close()

    def _pass(self, source):
        try:
            data = source.recv(CHUNK)
            if not data:
                return False
            mode = self._proxy.mode()
            if mode == "delay":
                time.sleep(self._proxy._delay)
            if mode in SILENT_MODES:
                is_up = source is self._client
                if mode == "silence" or (mode == "cut-up") == is_up:
                    self._harmed.add(source)
            if source not in self._harmed:
                self._ends[source].sendall(data)
            return True
        except OSError:
            # A reset is passed on as one: closed in order, an answer without a length would look whole.
            self._was_reset = True
            return False
