"""The router of the users' platform: memory while engines send without end."""

import contextlib
import http.client
import pathlib
import re
import threading
import time
import unittest

from gateway_harness import Client, GatewayTestCase

MEMORY_MB = 110  # Of the users' smallest VMs of a small fleet.


class GatewayMemoryTest(GatewayTestCase):
    def send_without_end(self, request):
        request.send(request.response_head(status=500) + "\r\n")
        while True:
            request.send(bytes(65536))
            time.sleep(0.02)

    def test_bodies_without_end_from_all_engines_stay_within_the_memory(self):
        self.start_with_engines(*[self.send_without_end] * 4, service="plain")
        end = time.monotonic() + 6

        def ask():
            while time.monotonic() < end:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    Client(self.port).request("GET", "/look/1").read()
        clients = [threading.Thread(target=ask) for _ in range(48)]
        for client in clients:
            client.start()
        most = 0
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        while time.monotonic() < end:
            kb = re.search(r"RssAnon:\s+(\d+)", status.read_text())[1]
            most = max(most, int(kb))
            time.sleep(0.05)
        for client in clients:
            client.join()
        self.assertLess(most, MEMORY_MB * 1024)


if __name__ == "__main__":
    unittest.main()
