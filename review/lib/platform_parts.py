"""Stand-ins of the platform (store, engines, clients) and the router process.

They follow PROTOCOL.md and DEPLOY.md and use loopback addresses only.
"""

import contextlib
import copy
import http.client
import http.server
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "desk.example"
KEY = "key-of-acme-0123456789"


class CannotRun(Exception):
    """The case did not come to its disruption, so it has no result."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def route(name, prefix, route_type, service, **fields):
    stream = route_type == "streaming"
    return {"name": name, "hostname": HOST_NAME, "path_prefix": prefix,
            "route_type": route_type, "service": service, "timeout_ms": 8000,
            "target_latency_ms": 1200, "priority": 2, "max_attempts": 2,
            "auth_exempt": False, "session_affinity": stream,
            "stream_resume": stream, "gap_aim_ms": 200, **fields}


def configuration(version, routes, tenants):
    return {"version": version, "routes": routes,
            "services": [
                {"name": "rosemary-desk", "max_connections": 370,
                 "engine": {"slots": 64, "kv_capacity_tokens": 355260,
                            "stride": 3}},
                {"name": "orders-app", "max_connections": 110}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants}


class Store:
    """The metadata store: revisions, conditions, watches and Store-Era."""

    def __init__(self, record):
        self.record = record
        self.objects, self.tombstones = {}, []
        self.revision, self.era = 100, 1
        self.changed = threading.Condition()
        self.away = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def serve(self):
                length = int(self.headers.get("Content-Length", 0))
                status, reply = store.handle(self.command, self.path,
                                             self.rfile.read(length))
                text = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_GET = do_POST = do_PUT = do_DELETE = serve

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()

    def handle(self, method, path, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [part for part in url.path.split("/") if part][2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        time.sleep(0.004)
        with self.changed:
            if self.away:
                return 503, {"error": "unavailable"}
            if method == "GET" and "watch" in query:
                return self.watch(kind, int(query["watch"]),
                                  int(query.get("wait_ms", 0)) / 1000)
            if method == "GET" and name is None:
                items = [value for (one, _), value
                         in sorted(self.objects.items()) if one == kind]
                return 200, {"items": items, "more": False,
                             "current_rev": self.revision}
            stored = self.objects.get((kind, name))
            if method == "GET":
                return (200, stored) if stored else (404, {})
            if method == "DELETE":
                if not stored:
                    return 404, {}
                if int(query.get("revision", stored["metadata"]["revision"])
                       ) != stored["metadata"]["revision"]:
                    return 409, stored
                return 200, self.remove(kind, name)
            sent = json.loads(body)
            name = sent["metadata"]["name"]
            stored = self.objects.get((kind, name))
            if method == "POST":
                return (409, stored) if stored else (
                    201, self.put(kind, name, sent["spec"]))
            if not stored:
                return 404, {}
            condition = sent["metadata"].get("revision")
            if condition not in (None, stored["metadata"]["revision"]):
                return 409, stored
            return 200, self.put(kind, name, sent["spec"])

    def watch(self, kind, since, wait_s):
        deadline, era = time.monotonic() + wait_s, self.era
        if since > self.revision:
            return 410, {"error": "revision is not known"}
        while True:
            events = sorted(
                [{"tombstone": False, "object": value}
                 for (one, _), value in self.objects.items()
                 if one == kind and value["metadata"]["revision"] > since] +
                [{"tombstone": True, "object": value}
                 for one, value in self.tombstones
                 if one == kind and value["metadata"]["revision"] > since],
                key=lambda event: event["object"]["metadata"]["revision"])
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            self.changed.wait(left)
            if self.away or self.era != era:
                return 503, {"error": "unavailable"}

    def put(self, kind, name, spec):
        with self.changed:
            known = self.objects.get((kind, name))
            if known and known["spec"] == spec:
                return known
            self.revision += 1
            created = (known["metadata"]["create_revision"] if known
                       else self.revision)
            self.objects[kind, name] = {
                "metadata": {"name": name, "revision": self.revision,
                             "create_revision": created, "finalizers": [],
                             "deleting": False},
                "spec": spec, "status": None}
            self.changed.notify_all()
            return self.objects[kind, name]

    def remove(self, kind, name):
        with self.changed:
            self.revision += 1
            gone = copy.deepcopy(self.objects.pop((kind, name)))
            gone["metadata"]["revision"] = self.revision
            self.tombstones.append((kind, gone))
            self.changed.notify_all()
            return gone

    def take_copy(self):
        with self.changed:
            self.record.write(f"store: copy taken at revision {self.revision}")
            return copy.deepcopy((self.objects, self.tombstones,
                                  self.revision))

    def leave(self):
        with self.changed:
            self.away = True
            self.record.write(f"store: away, revision {self.revision}")
            self.changed.notify_all()

    def come_back(self, restored=None):
        """Serves again, from a copy if one is given."""
        with self.changed:
            if restored is not None:
                self.objects, self.tombstones, self.revision = restored
                self.era += 1
            self.away = False
            self.record.write(f"store: back, era {self.era}, revision "
                              f"{self.revision}")
            self.changed.notify_all()


class EngineRequest:
    """A request that an engine has received."""

    def __init__(self, connection, head, body):
        self.connection, self.body = connection, body
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {name.lower(): value for name, value in
                        (line.split(": ", 1) for line in lines[1:] if line)}
        self.id = self.headers.get("request-id", "")

    def send(self, data):
        self.connection.sendall(data if isinstance(data, bytes)
                                else data.encode("latin-1"))

    def head(self, status=200, **fields):
        fields = {"Request-Id": self.id, "Response-Seal": f"s.{self.id}",
                  **fields}
        return f"HTTP/1.1 {status} X\r\n" + "".join(
            f"{name.replace('_', '-')}: {value}\r\n"
            for name, value in fields.items())

    def answer(self, body="done", status=200, **fields):
        self.send(self.head(status, **fields) +
                  f"Content-Length: {len(body)}\r\n\r\n{body}")

    def begin_stream(self, **fields):
        self.send(self.head(Content_Type="text/event-stream", **fields) +
                  "Transfer-Encoding: chunked\r\n\r\n")

    def send_event(self, number):
        text = f"id: {number}\ndata: piece {number} of {self.id}\n\n"
        self.send(f"{len(text):x}\r\n{text}\r\n")

    def end_stream(self):
        self.send("0\r\n\r\n")


class Engine:
    """An engine: hands each request to a function, on a thread of its own."""

    def __init__(self, name, serve, host="127.0.0.1"):
        self.name, self.serve_request = name, serve
        self.connections = set()
        self.listener = socket.create_server((host, 0), backlog=256)
        self.address = "%s:%d" % self.listener.getsockname()[:2]
        threading.Thread(target=self.accept, daemon=True).start()

    def register(self, store, service, zone="sofia-north", **fields):
        store.put("servers", self.name, {
            "service": service, "address": self.address, "zone": zone,
            "version": "v1", "slots": 64, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1,
            "born": 1_700_000_000_000, **fields})

    def stop_listening(self):
        """Closes the port; the pending accept() ends first."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def crash(self):
        """Closes the port and resets all connections, idle ones too."""
        self.stop_listening()
        for connection in list(self.connections):
            reset(connection)

    def listen_again(self):
        """Opens the port again, at the same address."""
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return  # The engine is down.
            self.connections.add(connection)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        pending = b""
        with contextlib.suppress(OSError, ValueError):
            while True:
                while b"\r\n\r\n" not in pending:
                    data = connection.recv(65536)
                    if not data:
                        return
                    pending += data
                head, pending = pending.split(b"\r\n\r\n", 1)
                request = EngineRequest(connection, head, b"")
                length = int(request.headers.get("content-length", 0))
                while len(pending) < length:
                    data = connection.recv(65536)
                    if not data:
                        return
                    pending += data
                request.body, pending = pending[:length], pending[length:]
                expected = request.headers.get("expect-instance", self.name)
                if expected != self.name:
                    request.answer("other", 421, Not_Executed="1")
                elif request.method == "GET" and request.target == "/healthz":
                    request.answer("ok", Instance_Id=self.name)
                else:
                    self.serve_request(self, request)
        self.connections.discard(connection)
        connection.close()


class Router:
    """One machine: the program of the deploy file, on an own address."""

    def __init__(self, name, number, store, record, folder, *,
                 memory_mb=260, zone="sofia-north", seeds=()):
        self.name, self.record = name, record
        self.host = f"127.0.{40 + number}.1"
        self.folder = pathlib.Path(folder) / name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.settings = self.folder / "local.toml"
        first = free_ports(self.host, 16)
        control = free_ports(self.host, 1)
        self.settings.write_text(f'''
node_name = "{name}"
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = "{self.host}"
zone = "{zone}"
region = "sofia"
internal_ports = [{first}, {first + 15}]
seeds = {json.dumps(list(seeds))}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
sofia-north = "sofia"
sofia-east = "sofia"
sofia-south = "sofia"
[listen]
front = "{self.host}:{free_ports(self.host, 1)}"
ready = "{self.host}:{free_ports(self.host, 1)}"
control = "{self.host}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 56
recovery_s = 12
pass_ms = 120
reuse_window_s = 9.8
settle_ms = 1500
[provider]
address = "127.0.0.1:{store.port}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
''')
        self.process, self.starts = None, 0
        self.lock, self.closed = threading.Lock(), False

    def start(self):
        """Starts the process and waits until it listens."""
        with self.lock:
            if self.closed:
                return
            self.launch()
        found = wait_for(lambda: self.closed or re.search(
            r"event=listening callers=(\d+) ready=(\d+)", self.log()), 15)
        if not self.closed:
            self.port, self.ready_port = map(int, found.groups())

    def launch(self):
        self.starts += 1
        log = open(self.folder / f"log-{self.starts}", "wb")
        self.log_path = self.folder / f"log-{self.starts}"
        words = "target/packages/daemon/rosemarydeckd --platform " \
                "--metrics-port 9464"
        self.process = subprocess.Popen(
            words.split(), cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": os.environ.get("HOME", "/tmp"),
                 "ROSEMARYDECK_CONFIG": str(self.settings)})
        log.close()
        self.record.write(f"{self.name}: started, process "
                          f"{self.process.pid}")
    def log(self):
        return self.log_path.read_text(errors="replace")

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(
                self.host, self.ready_port, timeout=2)
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def await_ready(self, seconds=15):
        wait_for(self.is_ready, seconds)
        self.record.write(f"{self.name}: ready")

    def memory_mb(self):
        """Returns the process's own memory, without mapped files."""
        try:
            text = pathlib.Path(
                f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0.0

    def restart_planned(self, grace_s=8):
        """SIGTERM, SIGKILL after the grace period, and a new start."""
        self.record.write(f"{self.name}: SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.record.write(f"{self.name}: ended")
        self.start()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def close(self):
        """Ends the process for good."""
        with self.lock:
            self.closed = True
            self.kill()


def reset(connection):
    """Closes a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              b"\1\0\0\0\0\0\0\0")
        connection.shutdown(socket.SHUT_RD)
        connection.close()


def free_ports(host, count):
    """Returns the first of so many consecutive free ports."""
    while True:
        sockets = []
        try:
            first = socket.create_server((host, 0))
            sockets.append(first)
            port = first.getsockname()[1]
            if port + count > 65535:
                continue
            for more in range(1, count):
                sockets.append(socket.create_server((host, port + more)))
            return port
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()


def wait_for(condition, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError("the stand-ins could not be set up")


class Answer:
    def __init__(self, status, headers=None, body=b"", whole=True):
        self.status, self.headers = status, headers or {}
        self.body, self.whole = body, whole

    def events(self):
        return len(re.findall(rb"^id: \d+\n(?:.+\n)*\n", self.body, re.M))


def send_request(host, port, method, path, request_id, *, body=None, key=KEY,
                 deadline_ms=6000, **fields):
    """Sends one request on a new connection and reads the whole answer."""
    headers = {"Host": HOST_NAME, "Request-Id": request_id,
               "Deadline-Ms": str(deadline_ms),
               **{name.replace("_", "-"): value
                  for name, value in fields.items()}}
    if key:
        headers["Authorization"] = f"Token {key}"
    connection = http.client.HTTPConnection(host, port,
                                            timeout=deadline_ms / 1000 + 1)
    try:
        connection.request(method, path, body, headers)
        reply = connection.getresponse()
        try:
            return Answer(reply.status, dict(reply.getheaders()),
                          reply.read())
        except http.client.IncompleteRead as cut:
            return Answer(reply.status, dict(reply.getheaders()),
                          cut.partial, False)
        except OSError:
            return Answer(reply.status, dict(reply.getheaders()), b"", False)
    except (OSError, http.client.HTTPException):
        return Answer(0, whole=False)
    finally:
        connection.close()


def stop_on_signal(*_):
    raise CannotRun("stopped by a signal")


def run_case(play, record_path):
    """Runs a case and exits: 0 held, 3 broken, 2 not run.

    run.sh turns 3 into 1: Python exits with 1 after an error of its own.
    """
    result = 2
    try:
        record = Record(record_path)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        routers = []
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, stop_on_signal)
        with tempfile.TemporaryDirectory(prefix="review-") as work:
            try:
                result = 3 if play(record, trouble, work, routers) else 0
            except Exception as fault:  # Whatever it is: there is no result.
                record.write(f"the case could not run: {fault!r}")
            finally:
                for router in routers:
                    router.close()
        meaning = {0: "the rule held", 2: "the case could not run",
                   3: "the rule was broken"}[result]
        record.write(f"result: {meaning}")
        print(meaning, flush=True)
    finally:
        os._exit(result)
