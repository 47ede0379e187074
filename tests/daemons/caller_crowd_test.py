"""The own interface: callers that make a VM keep bytes."""

import os
import unittest

import fleet
from crowd import Crowd, ProcessWatch, chunks

MEMORY_BYTES = 67_108_864
BODY_BYTES = 1_048_576
LINE_BYTES = 8_000_000  # After which a caller ends its endless line.
SETTINGS = {"vm__caller_memory_bytes": 33_554_432}
if os.environ.get("ROSEMARYDECK_WITHOUT_ACCOUNT"):  # A build that has none.
    SETTINGS = {}


def head(framing):
    return ("POST /v1/chat/completions HTTP/1.1\r\nHost: vm\r\n"
            "Authorization: Bearer key-acme\r\n" + framing +
            "\r\n\r\n").encode()


CHUNKED = head("Transfer-Encoding: chunked")


class CallerCrowdTest(unittest.TestCase):
    """Each test: the process lives within its limits, and serves a request."""

    def setUp(self):
        self.fleet = fleet.Fleet()
        self.addCleanup(self.fleet.__exit__)
        self.fleet.add_engine("e1")
        self.fleet.add_customer("acme", 1_000_000)
        self.fleet.start_platform()
        self.vm = self.fleet.start_vm("a", **SETTINGS)
        self.fleet.wait_ready()
        self.watch = ProcessWatch(self.vm.process.pid)

    def play(self, payloads):
        crowd = Crowd(self.vm.port, payloads)
        self.addCleanup(crowd.close)
        crowd.play()

    def check(self):
        self.assertIsNone(self.vm.process.poll())
        status, _ = fleet.chat(self.vm.port, "acme", "after")
        self.assertEqual(status, 200)
        self.watch.finish()
        self.assertLess(self.watch.most_bytes, MEMORY_BYTES)

    def test_deeply_nested_request_does_not_end_the_process(self):
        """Its text was written again by recursion."""
        for opening, closing in (("[", "]"), ('{"a":', "}")):
            depth = BODY_BYTES // 2 // (len(opening) + 1)
            content = opening * depth + "1" + closing * depth
            status, _, _ = fleet.call(
                self.vm.port, "POST", "/v1/chat/completions",
                '{"model":"chat","messages":[{"role":"user","content":' +
                content + "}]}", fleet.customer_headers("acme"))
            self.assertEqual(status, 400)
        self.check()

    def test_lines_without_end_do_not_fill_the_memory(self):
        for line in (b"0\r\nTrailer-Field: " + b"v" * LINE_BYTES,
                     b"1;name=" + b"v" * LINE_BYTES, b"0" * LINE_BYTES):
            self.play([CHUNKED + line] * 12)
        self.check()

    def test_bodies_short_of_their_end_do_not_fill_the_memory(self):
        self.play([head(f"Content-Length: {BODY_BYTES}") +
                   b"x" * (BODY_BYTES - 1)] * 96)
        self.check()

    def test_chunked_bodies_short_of_their_end_do_not_fill_the_memory(self):
        for size in (65_536, 4):
            self.play([CHUNKED + chunks(BODY_BYTES, size)] * 48)
        self.check()


if __name__ == "__main__":
    unittest.main()
