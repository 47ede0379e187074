"""Starts routers for the users' platform against stand-ins on loopback."""

import http.client
import os
import pathlib
import re
import subprocess
import tempfile
import unittest

import fleet
from platform_standin import Engine, Store

KEY = "key-of-acme"


def config(version, **more):
    def route(name, prefix, kind, service, **rest):
        return {"name": name, "hostname": "site.example",
                "path_prefix": f"/{prefix}/", "route_type": kind,
                "service": service, "timeout_ms": 8000,
                "target_latency_ms": 500, "priority": 1, "max_attempts": 2,
                "auth_exempt": False, "session_affinity": kind == "streaming",
                "stream_resume": kind == "streaming", "gap_aim_ms": 200, **rest}
    return {"version": version,
            "routes": [route("chat", "chat", "streaming", "models"),
                       route("order", "order", "non_idempotent", "plain"),
                       route("look", "look", "idempotent", "plain")],
            "services": [
                {"name": "models", "max_connections": 100,
                 "engine": {"slots": 4, "kv_capacity_tokens": 9000,
                            "stride": 3}},
                {"name": "plain", "max_connections": 100}],
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 100_000,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1,
                         "prepaid": 1_000_000}], **more}


class Client:
    """A kept connection to the router."""

    def __init__(self, port):
        self.connection = http.client.HTTPConnection("127.0.0.1", port,
                                                     timeout=20)
        self.count = 0

    def ask(self, method, path, body=None, key=KEY, **headers):
        self.count += 1
        fields = {"Host": "site.example", "Request-Id": f"r{self.count}",
                  "Deadline-Ms": "6000",
                  **{name.replace("_", "-"): value
                     for name, value in headers.items()}}
        if key:
            fields["Authorization"] = f"Token {key}"
        self.connection.request(method, path, body, fields)
        return self.connection.getresponse()

    def chat(self, tokens="100,60", **headers):
        return self.ask("POST", "/chat/x", "{}", Token_Count=tokens, Model="m",
                        Prompt_Prefix="aa:40,bb:30,cc:30", **headers)


class GatewayCase(unittest.TestCase):
    """A router with its store and engines; ended after each test."""

    def setUp(self):
        self.folder = tempfile.mkdtemp(prefix="rosemarydeck-gateway-")
        self.store = Store()
        self.process = None
        self.starts = 0
        self.writes_per_s = 400
        self.vm, self.peer_port = "vm-a", 0

    def tearDown(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.process:
            self.log.close()
        self.store.server.shutdown()
        self.store.server.server_close()

    def start(self):
        self.starts += 1
        path = pathlib.Path(self.folder) / "settings.toml"
        path.write_text(f'''
node_name = "{self.vm}"
zone = "dc1"
internal_ports = [{self.peer_port}, {self.peer_port}]
seeds = []
unknown_field = 1
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[limits]
memory_mb = 100
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_extra_retries = 56
budget_window_s = 10
[provider]
address = "127.0.0.1:{self.store.port}"
writes_per_s = {self.writes_per_s}
''')
        self.log_path = os.path.join(self.folder, f"log-{self.starts}")
        self.log = open(self.log_path, "wb")
        self.process = subprocess.Popen(
            [str(fleet.BUILD / "packages/daemon/rosemarydeckd"), "--platform",
             "--metrics-port", "0"],
            env={**os.environ, "ROSEMARYDECK_CONFIG": str(path)},
            stdout=self.log, stderr=self.log)
        ports = fleet.wait_until(
            lambda: self.logged(r"event=listening callers=(\d+) ready=(\d+) "
                                r"metrics=(\d+)"), 20, "the ports are open")
        self.port, self.ready_port, self.metrics_port = map(int, ports.groups())

    def ready(self):
        return fleet.call(self.ready_port, "GET", "/api/ready")[0] == 200

    def serve(self, *engines, service="models", **more):
        """Starts a router with engines; each is a function of a run."""
        self.store.put("config", "main", config(3, **more))
        made = [Engine(answer) for answer in engines]
        for number, engine in enumerate(made):
            self.list_engine(f"i-{number}", engine, service)
        self.start()
        fleet.wait_until(self.ready, 20, "the router is ready")
        return made

    def list_engine(self, name, engine, service, **more):
        self.store.put("servers", name, {
            "service": service, "address": f"127.0.0.1:{engine.port}",
            "zone": "dc1", "version": "v1", "slots": 4, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, **more})

    def logged(self, pattern):
        text = pathlib.Path(self.log_path).read_text(errors="replace")
        return re.search(pattern, text)

    def ledger(self):
        found = self.store.objects.get(("rosemarydeck-ledgers", "part-0"))
        return found["spec"]["accounts"].get("acme") if found else None

    @staticmethod
    def two_events(run):
        run.begin_stream()
        run.event(1)
        run.event(2)
        run.end_stream()
