"""The router on the users' platform: requests, streams and the process."""

import http.client
import os
import pathlib
import re
import signal
import socket
import subprocess
import threading
import unittest

import fleet
from gateway_harness import KEY, Client, GatewayCase, config
from platform_standin import Engine


class Gateway(GatewayCase):
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

    def test_a_drain_closes_connections_whose_answers_began_before(self):
        first, second = threading.Event(), threading.Event()

        def held(run):
            run.begin_stream()
            run.event(1)
            (first if run is engine.runs[0] else second).wait(20)
            run.event(2)
            run.end_stream()
        engine, = self.serve(held)
        client, other = Client(self.port), Client(self.port)
        reply, last = client.chat(), other.chat()
        self.process.send_signal(signal.SIGTERM)
        # Idle connections are closed together with the port; these are busy.
        fleet.wait_until(self.port_is_closed, 20, "no more connections")
        first.set()
        self.assertIn(b"piece 2", reply.read())
        # The other stream keeps the process. A request on this connection
        # would be cut off at the end of the grace time.
        client.connection.sock.settimeout(2)
        self.assertEqual(client.connection.sock.recv(1), b"")
        second.set()
        self.assertIn(b"piece 2", last.read())

    def port_is_closed(self):
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", self.port)) != 0

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
