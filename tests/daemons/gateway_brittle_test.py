"""The router of the users' platform: brittle engines and engines that fall
silent."""

import threading
import time
import unittest

from gateway_harness import Client, GatewayTestCase, free_port

MOST_REJECTIONS = 5  # A second, from all VMs together.


class GatewayBrittleTest(GatewayTestCase):
    def rejecting_engine(self):
        """An engine that has room for one request and says it is brittle."""
        self.lock = threading.Lock()
        self.open, self.rejected = 0, []

        def answer(request):
            with self.lock:
                full = self.open >= 1
                self.open += 0 if full else 1
                if full:
                    self.rejected.append(time.monotonic())
            brittle = {"Server_Brittle": str(MOST_REJECTIONS)}
            if full:
                return request.answer("", status=503, seal=None,
                                      Not_Executed="1", **brittle)
            time.sleep(0.2)
            with self.lock:
                self.open -= 1
            request.answer("done", **brittle)
        return answer

    def most_rejections(self):
        """Returns the most rejections within any second."""
        return max((sum(start <= one < start + 1 for one in self.rejected)
                    for start in self.rejected), default=0)

    @staticmethod
    def load(ports, seconds, clients=4):
        end = time.monotonic() + seconds

        def send(port):
            while time.monotonic() < end:
                Client(port).request("GET", "/look/1").read()
                time.sleep(0.01)
        threads = [threading.Thread(target=send, args=(port,))
                   for port in ports for _ in range(clients)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def test_brittle_engine_rejects_no_more_requests_than_it_bears(self):
        self.start_with_engines(self.rejecting_engine(), service="plain")
        Client(self.port).request("GET", "/look/1").read()
        self.load([self.port], 4)
        self.assertLessEqual(self.most_rejections(), MOST_REJECTIONS)

    def test_brittle_engine_bears_the_requests_of_all_vms_together(self):
        self.writes_per_s, self.peer_port = 1200, free_port()
        self.start_with_engines(self.rejecting_engine(), service="plain")
        with self.second_vm("vm-b") as vms:
            ports = [vm["port"] for vm in vms]
            for port in ports:
                Client(port).request("GET", "/look/1").read()
            time.sleep(3)  # contact_ms
            self.rejected.clear()
            self.load(ports, 4)
        self.assertLessEqual(self.most_rejections(), MOST_REJECTIONS)

    def test_stream_survives_an_engine_that_is_silent_for_a_second(self):
        def fall_silent(request):
            request.begin_stream()
            request.send_event(1)
            time.sleep(1.5)
            request.send_event(2)
            request.end_stream()
        engine, = self.start_with_engines(fall_silent)
        reply = Client(self.port).chat()
        self.assertIn(b"id: 2\n", reply.read())
        self.assertEqual(len(engine.requests), 1)
        self.assertFalse(self.log_match("event=(crash_seen|send_failed)"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
