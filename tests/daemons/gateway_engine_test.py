"""The router of the users' platform: engines that leave, rest or fail."""

import http.client
import pathlib
import re
import time
import unittest

from gateway_harness import Client, GatewayTestCase


class GatewayEngineTest(GatewayTestCase):
    def test_engine_that_says_it_leaves_gets_no_more_requests(self):
        """The list still names it as ready."""
        leaving, other = self.start_with_engines(
            lambda request: request.answer("a", Server_Leaving="1"),
            lambda request: request.answer("b"), service="plain")
        client = Client(self.port)
        bodies = [client.request("GET", f"/look/{number}").read()
                  for number in range(12)]
        self.assertLessEqual(len(leaving.requests), 1)
        self.assertEqual(bodies.count(b"b"), len(other.requests))
        self.assertIn(len(other.requests), (11, 12))

    def test_engine_that_wants_rest_gets_no_requests_for_that_time(self):
        def want_rest(request):
            request.answer("", status=503, seal=None, Not_Executed="1",
                           Retry_After="30")
        resting, other = self.start_with_engines(
            want_rest, lambda request: request.answer("b"), service="plain")
        client = Client(self.port)
        for number in range(12):
            self.assertEqual(
                client.request("GET", f"/look/{number}").read(), b"b")
            time.sleep(0.15)  # Longer than the back-off after a refusal.
        self.assertLessEqual(len(resting.requests), 1)
        self.assertGreaterEqual(len(other.requests), 11)

    def test_request_while_all_engines_rest_is_told_when_to_return(self):
        engine, = self.start_with_engines(
            lambda request: request.answer("", status=503, seal=None,
                                           Not_Executed="1", Retry_After="9"),
            service="plain")
        for _ in range(3):
            reply = Client(self.port).request("POST", "/order/1", "x")
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.getheader("Retry-After")), 7)
        self.assertEqual(len(engine.requests), 1)

    def test_late_second_copy_of_an_answer_is_not_taken_for_the_next(self):
        """The next request on that connection must get its own answer."""
        def answer_twice(request):
            if len(engine.requests) == 2:
                # The copy of the first answer comes before the own one.
                request.answer("one", request_id="r1")
            request.answer("one" if len(engine.requests) == 1 else "two")
        engine, = self.start_with_engines(answer_twice, service="plain")
        client = Client(self.port)
        self.assertEqual(client.request("POST", "/order/1", "x").read(), b"one")
        reply = client.request("POST", "/order/2", "y")
        self.assertEqual((reply.status, reply.read()), (200, b"two"))
        self.assertEqual([request.id for request in engine.requests],
                         ["r1", "r2"])

    def test_bytes_without_end_cost_neither_memory_nor_the_request(self):
        """An engine in trouble may send them in a head, a body or an event."""
        heads = {
            "head": lambda request: "HTTP/1.1 200 X\r\nX-A: ",
            "many heads": lambda request: "HTTP/1.1 200 X\r\n",
            "body": lambda request: request.response_head() +
            "Transfer-Encoding: chunked\r\n\r\n",
            "body without length": lambda request:
            request.response_head() + "\r\n",
            "chunk line": lambda request: request.response_head() +
            "Transfer-Encoding: chunked\r\n\r\n5;",
        }
        more = {"many heads": b"X-A: 1\r\n" * 8_000,
                "body": b"ffff\r\n" + b"x" * 65_535 + b"\r\n"}
        sent = {}

        def send_without_end(request):
            kind = request.target.rsplit("/", 1)[1].replace("_", " ")
            request.send(heads[kind](request))
            sent[kind] = 0
            while sent[kind] < 300_000_000:
                request.send(more.get(kind, b"x" * 65_536))
                sent[kind] += 65_536
        self.start_with_engines(send_without_end, send_without_end,
                                service="plain")
        for kind in heads:
            reply = Client(self.port).request(
                "POST", "/order/" + kind.replace(" ", "_"), "x")
            self.assertEqual((kind, reply.status), (kind, 502))
            self.assertLess(sent[kind], 40_000_000, kind)
        self.assertLess(self.resident_mb(), 80)

    def test_event_without_end_breaks_the_stream(self):
        def send_event_without_end(request):
            request.begin_stream()
            request.send_event(1)
            for _ in range(4_000):
                request.send(b"10000\r\n" + b"x" * 65_536 + b"\r\n")
        self.start_with_engines(send_event_without_end)
        reply = Client(self.port).chat()
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            reply.read()
        self.assertLess(self.resident_mb(), 80)

    def resident_mb(self):
        """Returns the peak resident memory of the router."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024


if __name__ == "__main__":
    unittest.main(verbosity=2)
