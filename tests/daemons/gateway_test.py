"""The router on the users' platform, against stand-ins on loopback."""

import http.client
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


class Gateway(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp(prefix="rosemarydeck-gateway-")
        self.store = Store()
        self.process = None
        self.starts = 0
        self.writes_per_s = 400

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
node_name = "vm-a"
zone = "dc1"
internal_ports = [0, 0]
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

    # --- what a request needs -------------------------------------------

    def test_a_plain_request_is_passed_on_and_its_answer_returned(self):
        engine, = self.serve(lambda run: run.answer("stock: 4", seal="s-9"),
                             service="plain")
        reply = Client(self.port).ask("POST", "/order/2?x=1", "two mats",
                                      Tenant="mallory", Kv_From="1.2.3.4:5/x",
                                      X_Trace="t1")
        self.assertEqual((reply.status, reply.read()), (200, b"stock: 4"))
        self.assertEqual(reply.getheader("Response-Seal"), "s-9")
        run = engine.runs[0]
        self.assertEqual((run.method, run.target, run.body),
                         ("POST", "/order/2?x=1", b"two mats"))
        self.assertEqual(run.headers["Tenant"], "acme")
        self.assertEqual(run.headers["Expect-Instance"], "i-0")
        self.assertEqual(run.headers["X-Trace"], "t1")
        self.assertLessEqual(int(run.headers["Deadline-Ms"]), 6000)
        self.assertNotIn("Authorization", run.headers)
        self.assertNotIn("Kv-From", run.headers)

    def test_unknown_keys_routes_and_unreadable_requests_are_refused(self):
        engine, = self.serve(lambda run: run.answer(), service="plain")
        client = Client(self.port)
        self.assertEqual(client.ask("GET", "/look/1", key="no").status, 401)
        self.assertEqual(
            Client(self.port).ask("GET", "/none/1").status, 404)
        with socket.create_connection(("127.0.0.1", self.port)) as raw:
            raw.sendall(b"POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
                        b"Content-Length: 5\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            self.assertIn(b" 400 ", raw.recv(100))
        big = Client(self.port).ask("GET", "/look/1", X_Big="x" * 9000)
        self.assertEqual(big.status, 431)
        self.assertEqual(engine.runs, [])

    def test_a_refusal_reaches_a_client_that_is_still_sending(self):
        self.serve()
        with socket.create_connection(("127.0.0.1", self.port), 10) as client:
            client.sendall(b"POST /look/1 HTTP/1.1\r\nHost: site.example\r\n"
                           b"Content-Length: 900000\r\n\r\n")
            # The answer is there before the body; the rest must still go out.
            self.assertTrue(client.recv(1, socket.MSG_PEEK))
            for _ in range(9):
                client.sendall(b"x" * 100_000)
            client.shutdown(socket.SHUT_WR)
            answer = b"".join(iter(lambda: client.recv(4096), b""))
        self.assertTrue(answer.startswith(b"HTTP/1.1 413 "), answer)

    def test_without_a_configuration_it_is_not_ready_and_refuses(self):
        self.start()
        fleet.wait_until(lambda: self.logged("event=engines_listed"), 20,
                         "the store is read")
        self.assertFalse(self.ready())
        reply = Client(self.port).ask("GET", "/look/1")
        self.assertEqual(reply.status, 503)
        self.assertIsNotNone(reply.getheader("Retry-After"))

    def test_an_older_configuration_is_never_taken_again(self):
        self.serve(lambda run: run.answer(), service="plain")
        newer = config(9)
        newer["routes"] = [route for route in newer["routes"]
                           if route["name"] != "look"]
        self.store.put("config", "main", newer)
        fleet.wait_until(lambda: self.logged("version=9 "), 20, "version 9")
        self.assertEqual(Client(self.port).ask("GET", "/look/1").status, 404)
        self.store.put("config", "main", config(5))
        self.store.put("config", "main", {**newer, "version": 10})
        fleet.wait_until(lambda: self.logged("version=10 "), 20, "version 10")
        self.assertFalse(self.logged("version=5 "))
        self.assertEqual(Client(self.port).ask("GET", "/look/1").status, 404)

    # --- one run, and truthful refusals ---------------------------------

    def test_an_order_whose_answer_is_lost_runs_once_and_gets_502(self):
        first, second = self.serve(lambda run: run.reset(),
                                   lambda run: run.reset(), service="plain")
        reply = Client(self.port).ask("POST", "/order/1", "x")
        self.assertEqual(reply.status, 502)
        self.assertEqual(len(first.runs) + len(second.runs), 1)

    def test_an_order_that_engines_turn_away_gets_503(self):
        def full(run):
            run.answer("", status=503, seal=None, Not_Executed="1")
        self.serve(full, full, service="plain")
        reply = Client(self.port).ask("POST", "/order/1", "x")
        self.assertEqual(reply.status, 503)
        self.assertIsNotNone(reply.getheader("Retry-After"))
        self.assertIsNone(reply.getheader("Response-Seal"))

    def test_an_idempotent_request_is_repeated_at_another_engine(self):
        engines = self.serve(
            lambda run: run.reset() if run.target == "/look/1"
            else run.answer(), lambda run: run.answer(), service="plain")
        for path in ("/look/2", "/look/1", "/look/1"):
            self.assertEqual(Client(self.port).ask("GET", path).status, 200)
        self.assertGreaterEqual(sum(len(one.runs) for one in engines), 3)

    def test_an_engine_failure_is_returned_as_it_is(self):
        self.serve(lambda run: run.answer("broken", status=500, seal="s-5"),
                   service="plain")
        reply = Client(self.port).ask("POST", "/order/1", "x")
        self.assertEqual((reply.status, reply.read()), (500, b"broken"))
        self.assertEqual(reply.getheader("Response-Seal"), "s-5")

    def test_answers_of_other_requests_or_without_seal_are_not_passed_on(self):
        self.serve(lambda run: run.answer("other", request_id="r-other"),
                   service="plain")
        self.assertEqual(Client(self.port).ask("POST", "/order/1").status, 502)
        self.serve_again(lambda run: run.answer("forged", seal=None))
        self.assertEqual(Client(self.port).ask("POST", "/order/1").status, 502)

    def serve_again(self, answer):
        self.store.remove("servers", "i-0")
        self.list_engine("i-9", Engine(answer), "plain")
        fleet.wait_until(lambda: self.logged("engine_listed engine=i-9"), 20,
                         "the new engine is seen")

    def test_an_answer_that_ends_early_does_not_look_whole(self):
        self.serve(lambda run: (run.send(run.head() + "Content-Length: 50\r\n"
                                         "\r\nhalf"), run.reset()),
                   service="plain")
        self.assertEqual(Client(self.port).ask("POST", "/order/1").status, 502)

    # --- streams ---------------------------------------------------------

    def test_a_broken_stream_goes_on_at_another_engine(self):
        def breaks_or_resumes(run):
            after = int(run.headers.get("Last-Event-Id", 0))
            run.begin_stream(seal=f"seal-after-{after}")
            if after:
                for number in range(after + 1, 6):
                    run.event(number)
                return run.end_stream()
            run.event(1)
            run.event(2)
            run.event(3, cut=9)
            run.reset()
        first, second = self.serve(breaks_or_resumes, breaks_or_resumes)
        reply = Client(self.port).chat()
        events = reply.read().decode()
        self.assertEqual(re.findall(r"piece (\d)", events), list("12345"))
        self.assertEqual(reply.getheader("Response-Seal"), "seal-after-0")
        self.assertEqual(len(first.runs) + len(second.runs), 2)

    def test_a_stream_with_a_missing_event_is_not_passed_on_as_whole(self):
        def skips(run):
            run.begin_stream()
            run.event(1)
            run.event(3)
            run.end_stream()
        self.serve(skips)
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            Client(self.port).chat().read()

    def test_the_engine_stops_when_the_client_has_gone(self):
        begun, gone = threading.Event(), threading.Event()

        def slow(run):
            run.begin_stream()
            run.event(1)
            begun.set()
            if run.caller_has_gone():
                gone.set()
        self.serve(slow)
        client = Client(self.port)
        client.chat()
        self.assertTrue(begun.wait(20))
        client.connection.close()
        self.assertTrue(gone.wait(20))

    def test_configurations_may_change_while_a_request_is_repeated(self):
        # The routes of the request's configuration must outlive its change.
        def change_and_break(run):
            if "Last-Event-Id" in run.headers:
                run.begin_stream()
                run.event(2)
                return run.end_stream()
            run.begin_stream()
            run.event(1)
            for version in range(10, 15):
                self.store.put("config", "main", config(version))
            fleet.wait_until(lambda: self.logged("version=14 "), 20,
                             "the newest configuration")
            run.reset()
        self.serve(change_and_break, change_and_break)
        text = Client(self.port).chat().read().decode()
        self.assertEqual(re.findall(r"piece (\d)", text), ["1", "2"])
        self.assertIsNone(self.process.poll())

    # --- budgets ---------------------------------------------------------

    def ledger(self):
        found = self.store.objects.get(("rosemarydeck-ledgers", "part-0"))
        return found["spec"]["accounts"].get("acme") if found else None

    def spent(self):
        account = self.ledger()
        return account["closed"] + sum(share[1] for share
                                       in account["shares"].values())

    @staticmethod
    def two_events(run):
        run.begin_stream()
        run.event(1)
        run.event(2)
        run.end_stream()

    def test_a_stream_is_charged_its_prompt_and_what_was_delivered(self):
        self.serve(self.two_events)
        Client(self.port).chat("100,60").read()
        fleet.wait_until(lambda: self.spent() == 106, 20, "106 tokens charged")

    def test_a_request_beyond_the_budget_gets_402(self):
        engine, = self.serve(self.two_events, tenants=[
            {"name": "acme", "api_keys": [KEY], "prepaid": 500}])
        self.assertEqual(Client(self.port).chat("300,300").status, 402)
        self.assertEqual(engine.runs, [])

    def test_a_killed_run_is_charged_little_beyond_its_report(self):
        self.serve(self.two_events)
        Client(self.port).chat("100,60").read()
        fleet.wait_until(lambda: self.spent() == 106, 20, "the report")
        self.process.kill()
        self.process.wait()
        self.log.close()
        self.start()
        fleet.wait_until(self.ready, 20, "ready again")
        fleet.wait_until(lambda: self.logged("event=run_closed"), 20,
                         "the last run is closed")
        self.assertLess(self.ledger()["closed"], 100_000)

    def test_a_store_that_is_away_stops_neither_requests_nor_the_end(self):
        self.serve(self.two_events)
        self.store.answers = False
        fleet.wait_until(lambda: self.logged("event=store_lost"), 20,
                         "the outage is seen")
        self.assertEqual(Client(self.port).chat().status, 200)
        self.store.answers = True
        fleet.wait_until(lambda: self.logged("event=store_regained"), 20,
                         "its end is seen")

    def test_a_request_that_crashes_engines_is_stopped(self):
        made = []

        def crashes(run):
            if run.body == b"boom":
                for engine in made:
                    if run in engine.runs:
                        engine.stop()
                return run.reset()
            run.answer()
        made += self.serve(*[crashes] * 6, service="plain")
        statuses = [Client(self.port).ask("POST", "/look/1", "boom").status
                    for _ in range(5)]
        self.assertEqual(statuses[-1], 503)
        fleet.wait_until(lambda: self.logged("event=request_blocked"), 20,
                         "the request is blocked")
        self.assertLessEqual(sum(len(one.runs) for one in made), 4)
        # Another body of the same caller on the same path is served.
        self.assertEqual(
            Client(self.port).ask("POST", "/look/1", "fine").status, 200)

    def test_a_crash_is_told_to_other_vms_and_heard_from_them(self):
        def crashes(run):
            engine.stop()
            run.reset()
        engine, = self.serve(crashes, service="plain")
        Client(self.port).ask("POST", "/look/1", "boom")
        seen = fleet.wait_until(
            lambda: self.logged(r"event=crash_seen request=(\w+)"), 20,
            "the crash is seen").group(1)
        told = fleet.wait_until(lambda: self.store.objects.get(
            ("rosemarydeck-crashes", "vm-a")), 20, "the others are told")
        self.assertEqual(told["spec"], {seen: ["i-0"]})
        self.store.put("rosemarydeck-crashes", "vm-b", {seen: ["x", "y"]})
        fleet.wait_until(lambda: self.logged("event=request_blocked"), 20,
                         "the request is blocked")
        self.store.put("rosemarydeck-crashes", "vm-c", ["unreadable"])
        fleet.wait_until(lambda: self.logged("event=crashes_unreadable"), 20,
                         "the entry is logged")
        reply = Client(self.port).ask("POST", "/look/1", "boom")
        self.assertEqual(reply.status, 503)
        self.assertIn(b"crashes_engines", reply.read())

    def test_vms_that_run_are_counted(self):
        self.store.put("rosemarydeck-vms", "vm-b", {"run": "b.1", "beat": 4})
        self.store.put("rosemarydeck-vms", "vm-c", {"beat": "many"})
        self.serve(self.two_events)
        size = fleet.wait_until(
            lambda: self.logged(r"event=fleet_size vms=(\d+)"), 20, "a count")
        self.assertEqual(size.group(1), "2")
        self.assertIn(("rosemarydeck-vms", "vm-a"), self.store.objects)

    def test_a_raised_budget_serves_at_once(self):
        tenant = {"name": "acme", "api_keys": [KEY], "prepaid": 500}
        self.serve(self.two_events, tenants=[tenant])
        client = Client(self.port)
        self.assertEqual(client.chat("300,300").status, 402)
        self.store.put("config", "main", config(
            4, tenants=[{**tenant, "prepaid": 100_000}]))
        fleet.wait_until(lambda: Client(self.port).chat("300,300").status
                         == 200, 20, "the new budget is used")

    def test_many_vms_keep_a_ledger_for_each_customer_they_serve(self):
        self.writes_per_s = 1200
        self.serve(self.two_events)

        def ledgers():
            return [value["spec"] for (kind, name), value
                    in self.store.objects.items()
                    if kind == "rosemarydeck-ledgers" and name != "layout"]
        self.assertEqual(ledgers(), [])
        reply = Client(self.port).chat("100,60")
        self.assertEqual((reply.status, reply.read().count(b"piece")),
                         (200, 2))
        ledger, = ledgers()
        self.assertEqual(list(ledger["accounts"]), ["acme"])
        self.process.kill()
        self.process.wait()
        self.log.close()
        self.start()
        fleet.wait_until(lambda: self.logged("event=run_closed"), 20,
                         "the last run is closed before any request comes")
        ledger, = ledgers()
        self.assertLess(ledger["accounts"]["acme"]["closed"], 100_000)

    # --- the process ------------------------------------------------------

    def test_a_drain_finishes_streams_and_returns_headroom(self):
        go_on = threading.Event()

        def held(run):
            run.begin_stream()
            run.event(1)
            go_on.wait(20)
            run.event(2)
            run.end_stream()
        self.serve(held)
        reply = Client(self.port).chat()
        self.process.send_signal(signal.SIGTERM)
        fleet.wait_until(lambda: not self.ready(), 20, "no longer ready")
        go_on.set()
        self.assertIn(b"piece 2", reply.read())
        self.assertEqual(self.process.wait(20), 0)
        self.assertEqual(self.ledger()["shares"], {})
        self.assertEqual(self.ledger()["closed"], 106)

    def test_changed_settings_are_read_again_and_bad_ones_refused(self):
        self.serve(self.two_events)
        path = pathlib.Path(self.folder) / "settings.toml"
        good = path.read_text()
        self.process.send_signal(signal.SIGHUP)
        fleet.wait_until(
            lambda: self.logged("event=reload cause=signal changed=0"), 20,
            "the signal is followed")
        path.write_text("node_name = 3\n")
        fleet.wait_until(
            lambda: self.logged("event=settings_unreadable line=1"), 20,
            "the change is seen without a signal")
        path.write_text(good.replace("extra_retries = 56",
                                     "extra_retries = 9"))
        fleet.wait_until(lambda: self.logged("cause=file changed=1"), 20,
                         "the good change is seen")
        self.assertEqual(Client(self.port).chat().status, 200)

    def test_metrics_and_bad_settings_are_explained(self):
        self.serve(self.two_events)
        Client(self.port).chat().read()
        status, _, text = fleet.call(self.metrics_port, "GET", "/metrics")
        self.assertEqual(status, 200)
        self.assertIn(b"rosemarydeck_requests_total 1\n", text)
        self.assertIn(b'rosemarydeck_first_event_ms_bucket{le="+Inf"} 1',
                      text)
        bad = pathlib.Path(self.folder) / "bad.toml"
        bad.write_text('node_name = "a"\nzone = 5\n[listen]\nfront = "x"\n')
        run = subprocess.run(
            [str(fleet.BUILD / "packages/daemon/rosemarydeckd"), "--platform"],
            env={**os.environ, "ROSEMARYDECK_CONFIG": str(bad)},
            capture_output=True, text=True, check=False)
        self.assertEqual(run.returncode, 1)
        self.assertIn(f"{bad}:2: zone must be a text", run.stderr)
        self.assertIn(f"{bad}:4: listen.front must be IP:PORT", run.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
