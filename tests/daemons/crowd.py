"""Clients that keep a router's memory, and what its process holds meanwhile."""

import collections
import contextlib
import os
import pathlib
import re
import selectors
import socket
import threading
import time

KEY_FIELD = "Authorization: Token key-of-acme\r\n"


def head(request_id, path="/order/1", method="POST", **extra):
    """Returns the head of a request, without the empty line."""
    fields = "".join(f"{name.replace('_', '-')}: {value}\r\n"
                     for name, value in extra.items())
    return (f"{method} {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: 60000\r\n"
            f"{KEY_FIELD}{fields}").encode()


def chunked(request_id, **extra):
    """Returns the whole head of a request with a chunked body."""
    return head(request_id, Transfer_Encoding="chunked", **extra) + b"\r\n"


def chunks(body_bytes, size):
    """Returns chunks of a size, without the last one of an ended body."""
    return (f"{size:x}\r\n".encode() + b"x" * size + b"\r\n") * (
        body_bytes // size)


class ProcessWatch:
    """Samples the memory and the descriptors of a process.

    Memory is the process's own and what the kernel holds for its sockets.
    """

    def __init__(self, pid):
        self.folder = pathlib.Path(f"/proc/{pid}")
        self.most_bytes = self.most_descriptors = 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended.wait(0.02):
            with contextlib.suppress(OSError, TypeError):
                self.sample()

    def field(self, name):
        text = (self.folder / "status").read_text()
        return int(re.search(rf"{name}:\s+(\d+) kB", text)[1]) * 1024

    def sample(self):
        anonymous = self.field("RssAnon")
        sockets = set()
        names = os.listdir(self.folder / "fd")
        for name in names:
            with contextlib.suppress(OSError):
                target = os.readlink(self.folder / "fd" / name)
                if target.startswith("socket:["):
                    sockets.add(target[8:-1])
        queued = 0
        for line in (self.folder / "net/tcp").read_text().splitlines()[1:]:
            parts = line.split()
            if parts[9] in sockets and parts[3] != "0A":  # 0A: listening.
                queued += sum(int(part, 16) for part in parts[4].split(":"))
        self.most_bytes = max(self.most_bytes, anonymous + queued)
        self.most_descriptors = max(self.most_descriptors, len(names))

    def finish(self):
        """Ends the samples; adds the peak that they may have missed."""
        self.ended.set()
        self.thread.join()
        self.sample()
        self.most_bytes = max(self.most_bytes,
                              self.field("VmHWM") - self.field("RssFile"))


class Crowd:
    """Clients that send bytes and keep their connections open."""

    def __init__(self, port, payloads, read_limit=1_000_000, buffer=None):
        """read_limit: bytes that each client reads, 0 for none.

        buffer: size of the receive buffers; the system's if not given.
        """
        self.read_limit = read_limit
        self.selector = selectors.DefaultSelector()
        self.received = collections.defaultdict(bytes)
        self.unsent, self.clients = {}, []
        for payload in payloads:
            client = socket.socket()
            if buffer:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
            client.settimeout(5)
            with contextlib.suppress(OSError):
                client.connect(("127.0.0.1", port))
                client.setblocking(False)
                self.clients.append(client)
                self.unsent[client] = memoryview(payload)
                self.selector.register(client, self.events(client))
        assert self.clients, "no client could connect"

    def events(self, client):
        return ((selectors.EVENT_WRITE if self.unsent[client] else 0)
                | (selectors.EVENT_READ if self.read_limit else 0)
                or selectors.EVENT_WRITE)

    def play(self, quiet_s=1.0, longest_s=30.0):
        """Sends until all is sent or refused, or nothing moved for quiet_s."""
        end = time.monotonic() + longest_s
        moved_at = time.monotonic()
        while time.monotonic() < min(end, moved_at + quiet_s):
            moved = False
            for key, events in self.selector.select(0.1):
                with contextlib.suppress(BlockingIOError):
                    moved |= self.step(key.fileobj, events)
            if moved:
                moved_at = time.monotonic()
            else:
                time.sleep(0.01)

    def step(self, client, events):
        """Reads and sends once; returns True if bytes moved."""
        moved = False
        try:
            if events & selectors.EVENT_READ:
                data = client.recv(65536)
                if not data:
                    self.selector.unregister(client)
                    return True
                self.received[client] += data
                moved = True
            if events & selectors.EVENT_WRITE and self.unsent[client]:
                sent = client.send(self.unsent[client][:262_144])
                self.unsent[client] = self.unsent[client][sent:]
                moved = moved or sent > 0
                self.selector.modify(client, self.events(client))
        except BlockingIOError:
            return moved
        except OSError:
            self.selector.unregister(client)
            return True
        return moved

    def statuses(self):
        """Returns the statuses of the answers, one for each client."""
        return [int(data.split(b" ", 2)[1]) for data in self.received.values()]

    def close(self):
        for client in self.clients:
            client.close()
        self.selector.close()
