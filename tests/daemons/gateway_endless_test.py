"""The router of the users' platform: answers whose bytes never end."""

import contextlib
import http.client
import pathlib
import re
import socket
import threading
import time
import unittest

import fleet
from gateway_harness import Client, GatewayTestCase, free_port

MEMORY_MB = 110  # Of the users' smallest VMs of a small fleet.
CLIENTS = 40
# Each faulty answer stops without an end after so many, below any limit of one
# answer.
STOP_BYTES = 7_340_032
ENDLESS_HEADS = {"no length": "", "chunks": "Transfer-Encoding: chunked\r\n",
                 "a length": f"Content-Length: {STOP_BYTES + 1}\r\n"}


def send_without_end(request, kind):
    """Sends a body that goes on until the other end closes."""
    piece = bytes(65536)
    if kind == "chunks":
        piece = b"10000\r\n" + piece + b"\r\n"
    for _ in range(STOP_BYTES // 65536):
        request.send(piece)
    request.wait_for_disconnect()


class GatewayEndlessTest(GatewayTestCase):
    def peak_mb(self, duration_s):
        """Returns the most memory of the router, of its own, in some time."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        end, most = time.monotonic() + duration_s, 0
        while time.monotonic() < end:
            kb = re.search(r"RssAnon:\s+(\d+)", status.read_text())[1]
            most = max(most, int(kb))
            time.sleep(0.02)
        return most / 1024

    @staticmethod
    def ask_all(port, path):
        """Sends requests at the same time; returns their threads."""
        def ask():
            with contextlib.suppress(OSError, http.client.HTTPException):
                Client(port).request("GET", path).read()
        threads = [threading.Thread(target=ask) for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        return threads

    def test_endless_answers_to_other_requests_stay_within_the_memory(self):
        """They were kept whole, on each connection, and charged to nobody."""
        answered = set()

        def answer(request):
            if request.connection not in answered:
                answered.add(request.connection)
                time.sleep(1)  # Each client gets a connection of its own.
                return request.answer("a")
            request.send(request.response_head(request_id="other") +
                         ENDLESS_HEADS[kind] + "\r\n")
            return send_without_end(request, kind)
        # A VM keeps some connections to each engine.
        self.start_with_engines(*[answer] * 6, service="plain")
        sound, = self.engines_of(lambda request: request.answer("b"))
        self.register_engine("i-sound", sound, "models")
        fleet.wait_until(lambda: self.log_match("engine=i-sound"), 10,
                         "the other engine to be listed")
        for kind in ENDLESS_HEADS:
            with self.subTest(kind=kind):
                for thread in self.ask_all(self.port, "/look/1"):
                    thread.join()
                threads = self.ask_all(self.port, "/look/2")
                self.assertLess(self.peak_mb(6), MEMORY_MB)
                for thread in threads:
                    thread.join()
                reply = Client(self.port).chat()
                self.assertEqual(reply.status, 502)  # No event stream.
                self.assertTrue(self.log_match(
                    "event=send_failed .* engine=i-.* why=\"an answer to another"))

    def test_endless_copy_of_the_configuration_stays_within_the_memory(self):
        """A VM that asks the others while the store is away kept 64 MB."""
        listener = socket.create_server(("127.0.0.1", 0))

        def serve(connection):
            with contextlib.suppress(OSError):
                connection.recv(65536)
                connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                for _ in range(4096):
                    connection.sendall(b"[" * 65536)

        def accept():
            while True:
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                threading.Thread(target=serve, args=(connection,),
                                 daemon=True).start()
        threading.Thread(target=accept, daemon=True).start()
        self.peer_port, self.relay_port = free_port(), free_port()
        self.store.put("rosemarydeck-vms", "vm-b", {
            "run": "vm-b.1", "beat": 1, "data_centre": "dc1",
            "address": "127.0.0.1", "port": 0,
            "relay_port": listener.getsockname()[1], "cores": 1})
        self.start_with_engines(lambda request: request.answer(),
                                service="plain")
        fleet.wait_until(lambda: self.log_match("event=fleet_size vms=2"), 10,
                         "the other VM to be known")
        self.store.server.refusing = True
        self.assertLess(self.peak_mb(6), MEMORY_MB / 2)
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


if __name__ == "__main__":
    unittest.main()
