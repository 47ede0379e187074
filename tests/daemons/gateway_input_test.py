"""The router of the users' platform: odd requests, and answers that stop."""

import contextlib
import http.client
import time
import unittest

import fleet
from gateway_harness import Client, GatewayTestCase

LARGEST = 9_223_372_036_854_775_807


class GatewayInputTest(GatewayTestCase):
    def test_count_of_tokens_that_overflows_is_no_credit(self):
        """The reservation became negative, and the budget unlimited."""
        self.start_with_engines(self.stream_two_events)
        client = Client(self.port)
        for tokens in (f"1800,{LARGEST}", f"{LARGEST},{LARGEST}",
                       f"{LARGEST},1", f"1,{LARGEST}0"):
            reply = client.chat(tokens=tokens)
            reply.read()
            self.assertEqual(reply.status, 402, tokens)
        self.assertEqual(client.chat(tokens="900000,200000").status, 402)

    def test_request_that_names_no_count_of_tokens_is_not_served_free(self):
        engine, = self.start_with_engines(self.stream_two_events)
        for tokens in ("100", "-100,60", "100,-60", "1e2,60", "100.5,60"):
            reply = Client(self.port).chat(tokens=tokens)
            reply.read()
            self.assertEqual(reply.status, 400, tokens)
        self.assertEqual(engine.requests, [])

    def test_stream_id_of_any_bytes_does_not_end_the_router(self):
        """Two versions of software make the VM list its streams."""
        self.start_with_engines(self.stream_two_events, self.stream_two_events)
        second, = self.engines_of(self.stream_two_events)
        self.register_engine("i-new", second, "models", version="v2")
        fleet.wait_until(lambda: self.log_match("engine_listed engine=i-new"),
                         20, "the engine of another version")
        for number, name in enumerate(("größe", "\x80", "x" * 90)):
            reply = Client(self.port).chat(Request_Id=name)
            with contextlib.suppress(http.client.HTTPException):
                reply.read()
            time.sleep(0.3)
            self.assertIsNone(self.process.poll(), number)

    def test_stream_with_a_long_id_is_taken_up(self):
        def broken_or_rest(request):
            after = int(request.headers.get("Last-Event-Id", 0))
            request.begin_stream()
            request.send_event(after + 1)
            if not after:
                return request.wait_for_disconnect(5)
            request.send_event(after + 2)
            request.end_stream()
        self.start_with_engines(broken_or_rest, broken_or_rest)
        second, = self.engines_of(self.stream_two_events)
        self.register_engine("i-new", second, "models", version="v2")
        fleet.wait_until(lambda: self.log_match("engine_listed engine=i-new"),
                         20, "the engine of another version")
        self.store.remove("servers", "i-new")
        fleet.wait_until(lambda: self.log_match("engine_gone engine=i-new"),
                         20, "the engine to leave")
        name = "s" * 36 + "." + "a" * 36
        client = Client(self.port)
        reply = client.chat(Request_Id=name)
        self.assertEqual(reply.readline(), b"id: 1\n")
        reply.close()
        client.connection.close()
        time.sleep(0.5)
        reply = Client(self.port).chat(Request_Id="again", Resumes=name,
                                       Last_Event_Id="1")
        self.assertEqual(reply.status, 200)
        self.assertIn(b"piece 3", reply.read())

    def test_answer_that_stops_in_its_head_is_no_answer(self):
        """At each byte, with and without a length, also of the event stream."""
        def stop_in_head(request):
            request.send((request.response_head() + fields + "\r\n")[:stop])
            request.connection.close()
        self.start_with_engines(stop_in_head, service="plain")
        engine, = self.engines_of(stop_in_head)
        self.register_engine("i-models", engine, "models")
        fleet.wait_until(lambda: self.log_match("engine_listed engine=i-mod"),
                         20, "the engine to be listed")
        for fields in ("Content-Length: 4\r\n", "",
                       "Transfer-Encoding: chunked\r\n"):
            head = ("HTTP/1.1 200 X\r\nRequest-Id: r1\r\n"
                    "Response-Seal: seal-1\r\n" + fields)
            # The head lacks its empty line, or a part of it, to the end.
            for stop in range(0, len(head) + 2):
                reply = Client(self.port).request("POST", "/order/1", "x")
                reply.read()
                self.assertEqual(reply.status, 502, (fields, stop))
                with contextlib.suppress(http.client.HTTPException,
                                         ConnectionError):
                    reply = Client(self.port).chat()
                    reply.read()
                    self.assertGreaterEqual(reply.status, 500, (fields, stop))


if __name__ == "__main__":
    unittest.main()
