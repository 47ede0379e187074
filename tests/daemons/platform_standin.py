"""Stand-ins for the users' platform: its store and its engines."""

import http.server
import json
import socket
import threading
import time
import urllib.parse


class Store:
    """Objects by kind and name, with revisions, conditions and watches."""

    def __init__(self):
        self.objects = {}
        self.removed = []
        self.revision = 1
        self.changed = threading.Condition()
        self.answers = True  # False: turns every call away with 503.
        self.calls = 0
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def serve(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                status, reply = outer.handle(self.command, self.path, body)
                text = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_GET = do_POST = do_PUT = serve

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                pass  # A killed daemon resets its connections.

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()

    def handle(self, method, path, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.split("/")[3:]
        with self.changed:
            self.calls += 1
            if not self.answers:
                return 503, {"error": "unavailable"}
            if method == "GET" and "watch" in query:
                return 200, self.watch(parts[0], int(query["watch"]),
                                       int(query["wait_ms"]) / 1000)
            if method == "GET" and len(parts) == 1:
                items = [value for (kind, _), value
                         in sorted(self.objects.items()) if kind == parts[0]]
                return 200, {"items": items, "more": False,
                             "current_rev": self.revision}
            if method == "GET":
                found = self.objects.get((parts[0], parts[1]))
                return (200, found) if found else (404, {})
            return self.write(method, parts, json.loads(body))

    def write(self, method, parts, body):
        name = body["metadata"]["name"]
        found = self.objects.get((parts[0], name))
        if method == "POST" and found:
            return 409, found
        if method == "PUT" and not found:
            return 404, {}
        condition = body["metadata"].get("revision")
        if found and condition not in (None, found["metadata"]["revision"]):
            return 409, found
        return 200, self.put(parts[0], name, body["spec"])

    def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        while True:
            events = [{"tombstone": False, "object": value}
                      for (one, _), value in self.objects.items()
                      if one == kind and value["metadata"]["revision"] > since]
            events += [{"tombstone": True, "object": value}
                       for one, value in self.removed
                       if one == kind and value["metadata"]["revision"] > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "current_rev": self.revision}
            self.changed.wait(left)

    def put(self, kind, name, spec):
        with self.changed:
            self.revision += 1
            self.objects[kind, name] = {
                "metadata": {"name": name, "revision": self.revision,
                             "create_revision": self.revision,
                             "finalizers": [], "deleting": False},
                "spec": spec, "status": None}
            self.changed.notify_all()
            return self.objects[kind, name]

    def remove(self, kind, name):
        with self.changed:
            self.revision += 1
            gone = self.objects.pop((kind, name))
            gone["metadata"]["revision"] = self.revision
            self.removed.append((kind, gone))
            self.changed.notify_all()


class Run:
    """One request as an engine got it, and a way to answer it by hand."""

    def __init__(self, connection, head, body):
        self.connection, self.body = connection, body
        lines = head.decode().split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        self.id = self.headers.get("Request-Id", "")

    def send(self, data):
        self.connection.sendall(data if isinstance(data, bytes)
                                else data.encode())

    def head(self, status=200, seal="seal-1", request_id=None, **more):
        fields = {"Request-Id": request_id or self.id, **more}
        if seal:
            fields["Response-Seal"] = seal
        lines = "".join(f"{name.replace('_', '-')}: {value}\r\n"
                        for name, value in fields.items())
        return f"HTTP/1.1 {status} X\r\n{lines}"

    def answer(self, body="done", status=200, **more):
        self.send(self.head(status, **more) +
                  f"Content-Length: {len(body)}\r\n\r\n{body}")

    def begin_stream(self, **more):
        self.send(self.head(**more) + "Transfer-Encoding: chunked\r\n\r\n")

    def event(self, number, cut=None):
        text = f"id: {number}\ndata: piece {number}\n\n"
        self.send(f"{len(text[:cut]):x}\r\n{text[:cut]}\r\n")

    def end_stream(self):
        self.send("0\r\n\r\n")

    def reset(self):
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   b"\1\0\0\0\0\0\0\0")
        self.connection.close()

    def caller_has_gone(self, seconds=10):
        """Waits until the router closes the connection."""
        self.connection.settimeout(seconds)
        try:
            return self.connection.recv(1) == b""
        except ConnectionError:
            return True


class Engine:
    """Accepts requests and gives each to a function that answers it."""

    def __init__(self, answer):
        self.answer = answer
        self.runs = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        """Takes no more connections. A close alone would leave the port open
        while a thread waits in accept()."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return  # Stopped.
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        pending = b""
        try:
            while True:
                while b"\r\n\r\n" not in pending:
                    data = connection.recv(65536)
                    if not data:
                        return
                    pending += data
                head, pending = pending.split(b"\r\n\r\n", 1)
                run = Run(connection, head, b"")
                length = int(run.headers.get("Content-Length", 0))
                while len(pending) < length:
                    pending += connection.recv(65536)
                run.body, pending = pending[:length], pending[length:]
                self.runs.append(run)
                self.answer(run)
        except OSError:
            pass  # The test or the router ended the connection.
