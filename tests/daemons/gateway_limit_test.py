"""The router of the users' platform: engines that name a request limit."""

import threading
import time
import unittest

import fleet
from gateway_harness import Client, GatewayTestCase, free_port

LIMIT_PER_S = 2.0
WINDOW_S = 4.0


class GatewayLimitTest(GatewayTestCase):
    def start_limited(self, answers=(), limit=LIMIT_PER_S):
        """Starts an engine that names a limit, and more that name none."""
        self.arrivals = []

        def answer(request):
            self.arrivals.append(time.monotonic())
            fields = {"Server_Limit": str(self.limit)} if self.limit else {}
            request.answer("limited", **fields)
        self.limit = limit
        return self.start_with_engines(answer, *answers, service="plain")

    @staticmethod
    def answer_other(request):
        request.answer("other")

    @staticmethod
    def send_for(ports, seconds, pause_s=0.005):
        """Sends requests to all VMs at once; returns statuses and bodies."""
        end = time.monotonic() + seconds
        replies = []

        def send(port):
            client = Client(port)
            while time.monotonic() < end:
                reply = client.request("GET", "/look/1")
                replies.append((reply.status, reply.read()))
                time.sleep(pause_s)
        threads = [threading.Thread(target=send, args=(port,))
                   for port in ports]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return replies

    def most_in_window(self, since):
        """Returns the most arrivals within any WINDOW_S."""
        times = [arrived for arrived in self.arrivals if arrived >= since]
        return max((sum(start <= one < start + WINDOW_S for one in times)
                    for start in times), default=0)

    def assert_limit_kept(self, since):
        allowed = 1.5 * LIMIT_PER_S * WINDOW_S + 5
        self.assertLessEqual(self.most_in_window(since), allowed)

    def test_engine_that_names_a_limit_gets_no_more_requests_than_that(self):
        """Other engines serve what is beyond it."""
        self.start_limited([self.answer_other])
        self.send_for([self.port], 0.5)
        since = time.monotonic()
        replies = self.send_for([self.port], 6)
        self.assert_limit_kept(since)
        self.assertEqual({status for status, _ in replies}, {200})
        # The engine still gets a part of what it takes.
        self.assertGreaterEqual(len(self.arrivals), 3)

    def test_limit_of_an_engine_is_kept_while_the_store_is_away(self):
        self.start_limited([self.answer_other])
        self.store.set_available(False)
        self.send_for([self.port], 0.5)
        since = time.monotonic()
        replies = self.send_for([self.port], 5)
        self.assert_limit_kept(since)
        self.assertEqual({status for status, _ in replies}, {200})

    def test_limit_of_an_engine_holds_for_all_vms_together(self):
        self.writes_per_s, self.peer_port = 1200, free_port()
        self.start_limited([self.answer_other])
        with self.second_vm("vm-b") as vms:
            for vm in vms:
                self.log_path = vm["log_path"]
                fleet.wait_until(
                    lambda: self.log_match("event=fleet_size vms=2"), 20,
                    "both VMs to be counted")
            ports = [vm["port"] for vm in vms]
            self.send_for(ports, 0.5)
            since = time.monotonic()
            self.send_for(ports, 8)
        self.assert_limit_kept(since)

    def test_limit_that_another_vm_was_told_is_kept(self):
        """The other VM has not sent a request to that engine yet."""
        self.writes_per_s, self.peer_port = 1200, free_port()
        self.start_limited()
        with self.second_vm("vm-b") as vms:
            Client(vms[0]["port"]).request("GET", "/look/1").read()
            time.sleep(2)  # Within contact_ms.
            since = time.monotonic()
            self.send_for([vms[1]["port"]], 4)
        self.assert_limit_kept(since)

    def test_restarted_vm_still_keeps_the_limit_of_an_engine(self):
        self.start_limited()
        Client(self.port).request("GET", "/look/1").read()
        time.sleep(1)
        self.process.kill()
        self.process.wait()
        self.log.close()
        self.start_router()
        fleet.wait_until(self.is_ready, 20, "the router to be ready")
        since = time.monotonic()
        self.send_for([self.port], 4)
        self.assert_limit_kept(since)

    def test_request_beyond_the_limits_of_all_engines_is_refused_at_once(self):
        """Its Retry-After says when an engine takes the next one."""
        self.start_limited(limit=0.1)
        Client(self.port).request("GET", "/look/1").read()
        time.sleep(0.1)
        begin = time.monotonic()
        reply = Client(self.port).request("GET", "/look/2")
        self.assertEqual(reply.status, 503)
        self.assertLess(time.monotonic() - begin, 0.5)
        self.assertGreater(float(reply.getheader("Retry-After")), 0.3)

    def test_engine_that_names_no_limit_any_more_gets_all_requests(self):
        self.start_limited()
        self.send_for([self.port], 1)
        self.limit = None
        self.send_for([self.port], 4)
        before = len(self.arrivals)
        replies = self.send_for([self.port], 1)
        self.assertEqual({status for status, _ in replies}, {200})
        self.assertGreater(len(self.arrivals) - before, 40)


if __name__ == "__main__":
    unittest.main(verbosity=2)
