"""The router of the users' platform: engines that end an answer during the
upload, and statuses that are none."""

import contextlib
import http.client
import time
import unittest

import fleet
from gateway_harness import Client, GatewayTestCase
from platform_standin import Engine, ReceivedRequest

UPLOAD = b"x" * 4_194_304
PAUSES_S = (0, 0.05, 0.3)  # Between the part of the answer and its end.
LIMITS = {"max_header_bytes": 8192, "max_body_bytes": len(UPLOAD),
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class HeadReader(Engine):
    """An engine that reads nothing of a request but its head."""

    def serve(self, connection):
        pending = b""
        with contextlib.suppress(OSError):
            while b"\r\n\r\n" not in pending:
                data = connection.recv(256)
                if not data:
                    return
                pending += data
            request = ReceivedRequest(connection,
                                      pending.split(b"\r\n\r\n", 1)[0], b"")
            self.requests.append(request)
            self.answer(request)


class GatewayUploadTest(GatewayTestCase):
    def start(self, service):
        """Starts a router with two engines that break off their answers."""
        self.pause_s, self.reset, self.part = 0, True, "a part"
        self.fields = ""
        self.start_with_engines(service=service, limits=LIMITS)
        for number in range(2):
            engine = HeadReader(self.break_off)
            self.register_engine(f"i-{number}", engine, service)
        fleet.wait_until(lambda: self.log_match("engine_listed engine=i-1"),
                         20, "the engines to be listed")

    def break_off(self, request):
        request.send(request.response_head() + self.fields + "\r\n" +
                     self.part)
        time.sleep(self.pause_s)
        if self.reset:
            return request.reset_connection()
        request.connection.close()

    def check_no_whole_answer(self, path, rounds=10, **headers):
        """No client takes the part for an engine's whole answer."""
        for reset in (True, False):
            for pause_s in PAUSES_S:
                self.reset, self.pause_s = reset, pause_s
                for _ in range(rounds):
                    with contextlib.suppress(http.client.HTTPException,
                                             ConnectionError):
                        reply = Client(self.port).request(
                            "POST", path, UPLOAD, **headers)
                        reply.read()
                        self.assertGreaterEqual(reply.status, 500,
                                                (reset, pause_s))
        self.assertIsNone(self.process.poll())

    def test_part_of_an_answer_during_the_upload_is_not_whole(self):
        """The write of the upload took the reset, and the read an end."""
        self.start("plain")
        self.check_no_whole_answer("/order/1")

    def test_part_of_an_answer_to_a_repeatable_request_is_not_whole(self):
        self.start("plain")
        self.check_no_whole_answer("/look/1", rounds=4)

    def test_part_of_a_stream_during_the_upload_is_not_whole(self):
        self.start("models")
        self.part = "id: 1\ndata: piece 1\n\n"
        self.fields = "Content-Type: text/event-stream\r\n"
        self.check_no_whole_answer("/chat/1", rounds=4, Model="m",
                                   Token_Count="100,60",
                                   Prompt_Prefix="aa:40,bb:60")

    def test_answer_with_a_length_during_the_upload_is_whole(self):
        """An engine may answer before it has read the upload."""
        def answer(request):
            request.answer()
            time.sleep(0.3)
            request.connection.close()
        self.start_with_engines(service="plain", limits=LIMITS)
        self.register_engine("i-0", HeadReader(answer), "plain")
        fleet.wait_until(lambda: self.log_match("engine_listed engine=i-0"),
                         20, "the engine to be listed")
        for _ in range(3):
            reply = Client(self.port).request("POST", "/order/1", UPLOAD)
            self.assertEqual((reply.status, reply.read()), (200, b"done"))

    def test_status_that_is_none_is_not_passed_on(self):
        status = ""

        def answer(request):
            request.send(f"HTTP/1.1 {status} X\r\nRequest-Id: {request.id}\r\n"
                         "Response-Seal: seal-1\r\nContent-Length: 4\r\n\r\n"
                         "done")
        self.start_with_engines(answer, service="plain")
        for status in ("000", "099", "20", "0200", "600", "999"):
            reply = Client(self.port).request("POST", "/order/1", "x")
            reply.read()
            self.assertEqual(reply.status, 502, status)


if __name__ == "__main__":
    unittest.main()
