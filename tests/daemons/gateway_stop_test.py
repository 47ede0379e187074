"""The router of the users' platform: requests late in a planned stop."""

import signal
import socket
import threading
import time
import unittest

import fleet
from gateway_harness import API_KEY, GatewayTestCase


def head(path, name, length, more=""):
    return (f"POST {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {name}\r\nDeadline-Ms: 6000\r\n"
            f"Authorization: Token {API_KEY}\r\n{more}"
            f"Content-Length: {length}\r\n\r\n")


ORDER = head("/order/1", "late", 1)
CHAT = head("/chat/x", "early", 2, "Token-Count: 100,60\r\nModel: m\r\n"
            "Prompt-Prefix: aa:40,bb:60\r\n").replace("6000", "7900")


class GatewayStopTest(GatewayTestCase):
    """The grace period is 8 s; the engine takes 2.5 s for an order."""

    def answer(self, request):
        if request.method == "POST" and request.target.startswith("/order"):
            time.sleep(2.5)
            return request.answer("placed")
        request.begin_stream()
        request.send_event(1)
        self.go_on.wait(20)
        request.send_event(2)
        request.end_stream()

    def start(self):
        self.go_on = threading.Event()
        self.engines = self.start_with_engines(self.answer, self.answer,
                                               service="plain")
        engine, = self.engines_of(self.answer)
        self.register_engine("i-models", engine, "models")
        fleet.wait_until(lambda: self.log_match("engine_listed engine=i-mod"),
                         20, "the engine to be listed")

    @staticmethod
    def read_all(connection):
        connection.settimeout(10)
        reply = b""
        while data := connection.recv(65536):
            reply += data
        return reply

    def assert_answered(self, reply):
        """A refusal must say that the order has not run; none may be cut."""
        self.assertRegex(reply, rb"^HTTP/1.1 (200|503) ")
        served = reply.startswith(b"HTTP/1.1 200")
        self.assertEqual(reply.endswith(b"placed"), served)
        ran = any(request.target.startswith("/order")
                  for engine in self.engines for request in engine.requests)
        self.assertEqual(ran, served)

    def test_order_whose_head_ends_late_in_the_grace_is_not_cut_off(self):
        """The client began it before idle connections were closed."""
        self.start()
        begin = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        time.sleep(2.4)
        with socket.create_connection(("127.0.0.1", self.port)) as client:
            client.sendall(ORDER[:30].encode())
            time.sleep(max(0, begin + 5.2 - time.monotonic()))
            client.sendall(ORDER[30:].encode() + b"x")
            self.assert_answered(self.read_all(client))

    def test_order_behind_a_stream_that_ends_late_is_not_cut_off(self):
        """It has arrived while the stream on its connection was open."""
        self.start()
        with socket.create_connection(("127.0.0.1", self.port)) as client:
            client.sendall(CHAT.encode() + b"{}")
            self.assertIn(b"HTTP/1.1 200", client.recv(65536))
            begin = time.monotonic()
            self.process.send_signal(signal.SIGTERM)
            time.sleep(0.5)
            client.sendall(ORDER.encode() + b"x")
            time.sleep(max(0, begin + 5.5 - time.monotonic()))
            self.go_on.set()
            reply = self.read_all(client)
        self.assertIn(b"piece 2", reply)
        self.assert_answered(reply.split(b"\r\n0\r\n\r\n", 1)[1])


if __name__ == "__main__":
    unittest.main()
