"""Failures and drains of daemons on loopback; no assertion needs speed."""

import http.client
import json
import signal
import socket
import threading
import time
import unittest

import fleet


def start_two_vms(test_fleet, **settings):
    """Starts vm-a and vm-b and waits until they see each other."""
    first = test_fleet.start_vm("vm-a", **settings)
    second = test_fleet.start_vm(
        "vm-b", seeds=[f"127.0.0.1:{first.peer_port}"], **settings)
    test_fleet.wait_ready()
    test_fleet.wait_peers("vm-a", 1)
    test_fleet.wait_peers("vm-b", 1)
    return first, second


def refuses_connections(port):
    """Returns whether a VM accepts no new connection."""
    try:
        fleet.call(port, "GET", "/health", timeout=5)
        return False
    except (OSError, http.client.HTTPException):
        return True


class RetryingClient(threading.Thread):
    """Retries one keyed stream at the VMs in turn until it is complete.

    answer_text stays None if that takes more than 60 s.
    """

    def __init__(self, ports, key, tokens=40):
        super().__init__()
        self.ports, self.key, self.tokens = ports, key, tokens
        self.answer_text = None
        self.start()

    def run(self):
        deadline = time.monotonic() + 60
        attempt = 0
        while self.answer_text is None and time.monotonic() < deadline:
            port = self.ports[attempt % len(self.ports)]
            attempt += 1
            try:
                status, events = fleet.chat(port, "acme", self.key,
                                            tokens=self.tokens, stream=True)
                if status == 200 and events and events[-1] == "[DONE]":
                    self.answer_text = fleet.stream_text(events)
                    return
            except (OSError, http.client.HTTPException, ValueError):
                pass
            time.sleep(0.2)


class FailureTest(unittest.TestCase):

    def check_billed_once(self, test_fleet, keys):
        """Asserts that these keys alone are billed, once net of reversals."""
        bills = test_fleet.wait_bills("acme", len(keys))
        self.assertEqual(set(bills), set(keys))
        for key, entries in bills.items():
            count = sum(-1 if entry["reversal"] else 1 for entry in entries)
            self.assertEqual(count, 1, (key, entries))

    def test_streams_complete_and_are_billed_once_after_their_vm_is_killed(
            self):
        """A killed VM must cost neither an answer nor a second bill.

        Clients retry their keys at the VM that is left.
        """
        with fleet.Fleet() as test_fleet:
            test_fleet.add_engine("e1", pace_ms=10, slots=64)
            test_fleet.add_customer("acme", 1_000_000)
            test_fleet.start_platform()
            first, second = start_two_vms(test_fleet)
            keys = [f"k{number}" for number in range(12)]
            clients = [RetryingClient([first.port, second.port], key)
                       for key in keys]
            fleet.wait_until(
                lambda: test_fleet.status("vm-a")["open_requests"] +
                test_fleet.status("vm-b")["open_requests"] >= 6, 20,
                "6 open streams")
            fleet.kill(first)
            for client in clients:
                client.join()
            expected_text = "".join(f"t{number} " for number in range(40))
            self.assertEqual({client.answer_text for client in clients},
                             {expected_text})
            test_fleet.start_vm("vm-a",
                                seeds=[f"127.0.0.1:{second.peer_port}"])
            self.check_billed_once(test_fleet, keys)

    def test_keys_are_billed_once_when_a_vm_pauses_past_its_lease(self):
        """A VM that was paused must not act on an expired lease.

        The other VM serves the keys meanwhile; after the pause both VMs give
        the same answer.
        """
        with fleet.Fleet() as test_fleet:
            test_fleet.add_engine("e1", pace_ms=10, slots=64)
            test_fleet.add_customer("acme", 1_000_000)
            test_fleet.start_platform()
            first, second = start_two_vms(test_fleet, peers__suspect_ms=600)
            keys = [f"k{number}" for number in range(8)]
            clients = [RetryingClient([second.port], key) for key in keys]
            first.send_signal(signal.SIGSTOP)
            test_fleet.wait_peers("vm-b", 0)
            for client in clients:
                client.join()
            first.send_signal(signal.SIGCONT)
            test_fleet.wait_peers("vm-b", 1)
            self.assertNotIn(None, [client.answer_text for client in clients])
            repeated = fleet.chat(first.port, "acme", "k0", tokens=40,
                                  stream=True)
            self.assertEqual(fleet.stream_text(repeated[1]),
                             clients[0].answer_text)
            self.check_billed_once(test_fleet, keys)

    def test_chats_are_served_and_orders_refused_while_the_platform_is_down(
            self):
        """Bills must survive an outage and the loss of write answers.

        After the outage the platform applies three writes unanswered; their
        repetition must not bill twice.
        """
        with fleet.Fleet() as test_fleet:
            test_fleet.add_engine("e1", slots=64)
            test_fleet.add_engine("o1", targets=("orders",), kind="service")
            test_fleet.add_customer("acme", 1_000_000)
            test_fleet.start_platform()
            first, second = start_two_vms(test_fleet, platform__timeout_ms=300)
            self.assertEqual(fleet.chat(first.port, "acme", "warm")[0], 200)
            test_fleet.set_script(test_fleet.platform, outage=True)
            served = [key for key in ("k1", "k2", "k3")
                      if fleet.chat(second.port, "acme", key)[0] == 200]
            self.assertEqual(served, ["k1", "k2", "k3"])
            status, _, body = fleet.call(
                first.port, "POST", "/v1/services/orders/place", "x",
                fleet.customer_headers("acme", "order-1"))
            self.assertEqual(json.loads(body)["error"]["ran"], "no")
            self.assertEqual(status, 503)
            test_fleet.set_script(test_fleet.platform, outage=False,
                                  lose_answers=3)
            self.check_billed_once(test_fleet, ["warm", *served])

    def test_order_with_an_issued_key_runs_once_during_an_outage(self):
        """An order repeated at another VM must not run twice.

        The platform is down, so the VMs must find out without its store
        whether the order ran.
        """
        with fleet.Fleet() as test_fleet:
            order_engine = test_fleet.add_engine("o1", targets=("orders",),
                                                 kind="service")
            test_fleet.add_customer("acme", 1_000_000)
            test_fleet.start_platform()
            first, second = start_two_vms(test_fleet, platform__timeout_ms=300)
            path = "/v1/services/orders/place"
            fleet.call(first.port, "POST", path, "warm",
                       fleet.customer_headers("acme", "warm"))
            test_fleet.set_script(test_fleet.platform, outage=True)
            key = json.loads(fleet.call(
                first.port, "POST", "/v1/keys",
                headers=fleet.customer_headers("acme"))[2])["key"]
            for vm in (second, first, second):
                status, _, body = fleet.call(
                    vm.port, "POST", path, "two",
                    fleet.customer_headers("acme", key))
                self.assertEqual((status, json.loads(body)),
                                 (200, {"placed": "two"}))
            counts = json.loads(
                fleet.call(order_engine.port, "GET", "/runs")[2])
            self.assertEqual(counts["begun"]["two"], 1)

    def test_stream_resumes_at_another_engine_when_its_engine_breaks(self):
        """A stream cut off by its engine must reach the client complete."""
        with fleet.Fleet() as test_fleet:
            breaking_engine = test_fleet.add_engine("e1", resumes=True)
            test_fleet.add_engine("e2", resumes=True)
            test_fleet.add_customer("acme", 1_000_000)
            test_fleet.start_platform()
            vm = test_fleet.start_vm("vm-a")
            test_fleet.wait_ready()
            test_fleet.set_script(breaking_engine, break_after=3)
            expected_text = "".join(f"t{number} " for number in range(20))
            for number in range(6):
                status, events = fleet.chat(
                    vm.port, "acme", f"k{number}", text=f"prompt {number}",
                    tokens=20, stream=True)
                self.assertEqual(status, 200)
                self.assertEqual(fleet.stream_text(events), expected_text)
            self.check_billed_once(test_fleet,
                                   [f"k{number}" for number in range(6)])

    def test_drain_finishes_streams_returns_grants_and_exits_with_0(self):
        """A drain must not cut streams or keep budget after the exit."""
        with fleet.Fleet() as test_fleet:
            test_fleet.add_engine("e1", pace_ms=20, slots=64)
            test_fleet.add_customer("acme", 1_000_000)
            test_fleet.start_platform()
            first, second = start_two_vms(test_fleet)
            clients = [RetryingClient([first.port], f"k{number}")
                       for number in range(6)]
            fleet.wait_until(
                lambda: test_fleet.status("vm-a")["open_requests"] == 6, 20,
                "6 open streams")
            first.send_signal(signal.SIGTERM)
            for client in clients:
                client.join()
            self.assertNotIn(None, [client.answer_text for client in clients])
            self.assertEqual(first.process.wait(20), 0, first.log_text())
            self.check_billed_once(test_fleet,
                                   [f"k{number}" for number in range(6)])
            grants = test_fleet.account("acme")["grants"]
            vm_a_grants = [grant for grant in grants
                           if "vm-a" in grant["holder"]]
            self.assertEqual(sum(grant["amount"] for grant in vm_a_grants), 0)

    def test_drain_by_an_operator_closes_the_port_first_and_exits_with_0(
            self):
        """New connections must be refused while open streams still run."""
        with fleet.Fleet() as test_fleet:
            test_fleet.add_engine("e1", pace_ms=20)
            test_fleet.add_customer("acme", 1_000_000)
            test_fleet.start_platform()
            vm = test_fleet.start_vm("vm-a")
            test_fleet.wait_ready()
            client = RetryingClient([vm.port], "k1", tokens=150)
            fleet.wait_until(
                lambda: test_fleet.status("vm-a")["open_requests"] == 1, 20,
                "1 open stream")
            test_fleet.run_client("drain", "vm")
            fleet.wait_until(lambda: refuses_connections(vm.port), 20,
                             "the port to close")
            self.assertTrue(client.is_alive(),
                            "the port closed only after the stream ended")
            client.join()
            self.assertIsNotNone(client.answer_text)
            self.assertEqual(vm.process.wait(20), 0, vm.log_text())

    def test_malformed_and_forbidden_requests_are_refused_and_others_served(
            self):
        """Invalid, oversized and incomplete requests must not stop the VM."""
        with fleet.Fleet() as test_fleet:
            test_fleet.add_engine("e1")
            test_fleet.add_customer("acme", 1_000_000, targets=("chat",))
            test_fleet.start_platform()
            vm = test_fleet.start_vm("vm-a", vm__max_body_bytes=2000,
                                     vm__max_header_bytes=2000,
                                     vm__read_timeout_ms=300)
            test_fleet.wait_ready()
            path = "/v1/chat/completions"
            valid_body = fleet.chat_body()
            cases = [
                (400, "{", fleet.customer_headers("acme")),
                (401, valid_body, fleet.customer_headers("nobody")),
                (403, valid_body.replace('"chat"', '"other"'),
                 fleet.customer_headers("acme")),
                (400, valid_body,
                 fleet.customer_headers("acme", priority="soon")),
                (413, "x" * 5000, fleet.customer_headers("acme")),
                (431, valid_body,
                 fleet.customer_headers("acme", **{"X-Long": "y" * 4000})),
            ]
            for status, body, headers in cases:
                reply = fleet.call(vm.port, "POST", path, body, headers)
                self.assertEqual(reply[0], status, reply)
                self.assertEqual(json.loads(reply[2])["error"]["ran"], "no")
            for malformed in (b"\x00\xff nonsense\r\n\r\n",
                              b"POST /v1/chat/completions HTTP/1.1\r\nCon"):
                with socket.create_connection(
                        ("127.0.0.1", vm.port)) as connection:
                    connection.sendall(malformed)
                    connection.settimeout(20)
                    while connection.recv(1000):
                        pass
            self.assertEqual(fleet.chat(vm.port, "acme", "k1")[0], 200)
            self.check_billed_once(test_fleet, ["k1"])
            denied = fleet.call(vm.port, "GET", "/operator/status",
                                headers=fleet.customer_headers("acme"))
            self.assertEqual(denied[0], 401)

    def test_plan_change_needs_the_current_version_and_tops_up_the_budget(
            self):
        """Of two operators that change a plan, the second must not win unseen.

        A stale version and a negative budget are refused; the top-up serves
        the customer whose budget was too small.
        """
        with fleet.Fleet() as test_fleet:
            test_fleet.add_engine("e1")
            test_fleet.add_customer("acme", 100)
            test_fleet.start_platform()
            vm = test_fleet.start_vm("vm-a")
            test_fleet.wait_ready()
            status, body = fleet.chat(vm.port, "acme", "k1", tokens=500)
            self.assertEqual((status, body["error"]["type"]),
                             (402, "budget_exhausted"))
            plans = test_fleet.run_client("--json", "plans", "list").stdout
            version = json.loads(plans)[0]["version"]
            path = test_fleet.folder + "/plan.json"
            with open(path, "w", encoding="utf-8") as file:
                json.dump(fleet.plan("acme", 5000), file)
            test_fleet.run_client("plans", "set", path, version)
            stale = test_fleet.run_client("plans", "set", path, version,
                                          check=False)
            self.assertEqual(stale.returncode, 3, stale.stderr)
            with open(path, "w", encoding="utf-8") as file:
                json.dump(fleet.plan("acme", -5), file)
            invalid = test_fleet.run_client("plans", "set", path, check=False)
            self.assertEqual(invalid.returncode, 1, invalid.stderr)
            fleet.wait_until(
                lambda: fleet.chat(vm.port, "acme", "k2", tokens=500)[0]
                == 200, 20, "the top-up to be used")


if __name__ == "__main__":
    unittest.main(verbosity=2)
