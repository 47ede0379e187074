"""Failures of real daemons on loopback; verdicts never rest on speed."""

import http.client
import json
import signal
import socket
import threading
import time
import unittest

import fleet


def two_vms(trial, **settings):
    first = trial.start_vm("vm-a", **settings)
    second = trial.start_vm("vm-b", seeds=[f"127.0.0.1:{first.peer_port}"],
                            **settings)
    trial.wait_ready()
    trial.wait_peers("vm-a", 1)
    trial.wait_peers("vm-b", 1)
    return first, second


def refuses(port):
    """True once a VM takes no new connection."""
    try:
        fleet.call(port, "GET", "/health", timeout=5)
        return False
    except (OSError, http.client.HTTPException):
        return True


class Traffic(threading.Thread):
    """Asks for one answer, with its key, until some VM gives it whole."""

    def __init__(self, ports, key, tokens=40):
        super().__init__()
        self.ports, self.key, self.tokens = ports, key, tokens
        self.text = None
        self.start()

    def run(self):
        until = time.monotonic() + 60
        turn = 0
        while self.text is None and time.monotonic() < until:
            port = self.ports[turn % len(self.ports)]
            turn += 1
            try:
                status, events = fleet.chat(port, "acme", self.key,
                                            tokens=self.tokens, stream=True)
                if status == 200 and events and events[-1] == "[DONE]":
                    self.text = fleet.stream_text(events)
                    return
            except (OSError, http.client.HTTPException, ValueError):
                pass
            time.sleep(0.2)


class Failures(unittest.TestCase):

    def check_books(self, trial, keys):
        """Every key billed once; the engines ran at least what is billed."""
        bills = trial.wait_bills("acme", len(keys))
        self.assertEqual(set(bills), set(keys))
        for key, entries in bills.items():
            count = sum(-1 if entry["reversal"] else 1 for entry in entries)
            self.assertEqual(count, 1, (key, entries))

    def test_owner_killed_with_streams_open(self):
        with fleet.Fleet() as trial:
            trial.add_engine("e1", pace_ms=10, slots=64)
            trial.add_customer("acme", 1_000_000)
            trial.start_platform()
            first, second = two_vms(trial)
            keys = [f"k{number}" for number in range(12)]
            callers = [Traffic([first.port, second.port], key)
                       for key in keys]
            fleet.wait_until(
                lambda: trial.status("vm-a")["open_requests"] +
                trial.status("vm-b")["open_requests"] >= 6, 20, "streams")
            fleet.kill(first)
            for caller in callers:
                caller.join()
            whole = "".join(f"t{number} " for number in range(40))
            self.assertEqual({caller.text for caller in callers}, {whole})
            trial.start_vm("vm-a", seeds=[f"127.0.0.1:{second.peer_port}"])
            self.check_books(trial, keys)

    def test_vm_stopped_past_its_lease_and_continued(self):
        with fleet.Fleet() as trial:
            trial.add_engine("e1", pace_ms=10, slots=64)
            trial.add_customer("acme", 1_000_000)
            trial.start_platform()
            first, second = two_vms(trial, peers__suspect_ms=600)
            keys = [f"k{number}" for number in range(8)]
            callers = [Traffic([second.port], key) for key in keys]
            first.signal(signal.SIGSTOP)
            trial.wait_peers("vm-b", 0)
            for caller in callers:
                caller.join()
            first.signal(signal.SIGCONT)
            trial.wait_peers("vm-b", 1)
            self.assertNotIn(None, [caller.text for caller in callers])
            again = fleet.chat(first.port, "acme", "k0", tokens=40,
                               stream=True)
            self.assertEqual(fleet.stream_text(again[1]), callers[0].text)
            self.check_books(trial, keys)

    def test_platform_down_and_answers_lost(self):
        with fleet.Fleet() as trial:
            trial.add_engine("e1", slots=64)
            trial.add_engine("o1", targets=("orders",), kind="service")
            trial.add_customer("acme", 1_000_000)
            trial.start_platform()
            first, second = two_vms(trial, platform__timeout_ms=300)
            self.assertEqual(fleet.chat(first.port, "acme", "warm")[0], 200)
            trial.script(trial.platform, outage=True)
            served = [key for key in ("k1", "k2", "k3")
                      if fleet.chat(second.port, "acme", key)[0] == 200]
            self.assertEqual(served, ["k1", "k2", "k3"])
            status, _, body = fleet.call(
                first.port, "POST", "/v1/services/orders/place", "x",
                fleet.headers("acme", "order-1"))
            self.assertEqual(json.loads(body)["error"]["ran"], "no")
            self.assertEqual(status, 503)
            trial.script(trial.platform, outage=False, lose_answers=3)
            self.check_books(trial, ["warm", *served])

    def test_an_order_in_an_outage_under_a_key_handed_out(self):
        with fleet.Fleet() as trial:
            order = trial.add_engine("o1", targets=("orders",),
                                     kind="service")
            trial.add_customer("acme", 1_000_000)
            trial.start_platform()
            first, second = two_vms(trial, platform__timeout_ms=300)
            place = "/v1/services/orders/place"
            fleet.call(first.port, "POST", place, "warm",
                       fleet.headers("acme", "warm"))
            trial.script(trial.platform, outage=True)
            key = json.loads(fleet.call(
                first.port, "POST", "/v1/keys",
                headers=fleet.headers("acme"))[2])["key"]
            for vm in (second, first, second):
                status, _, body = fleet.call(vm.port, "POST", place, "two",
                                             fleet.headers("acme", key))
                self.assertEqual((status, json.loads(body)),
                                 (200, {"placed": "two"}))
            runs = json.loads(fleet.call(order.port, "GET", "/runs")[2])
            self.assertEqual(runs["begun"]["two"], 1)

    def test_engine_breaks_mid_stream(self):
        with fleet.Fleet() as trial:
            bad = trial.add_engine("e1", resumes=True)
            trial.add_engine("e2", resumes=True)
            trial.add_customer("acme", 1_000_000)
            trial.start_platform()
            vm = trial.start_vm("vm-a")
            trial.wait_ready()
            trial.script(bad, break_after=3)
            whole = "".join(f"t{number} " for number in range(20))
            for number in range(6):
                status, events = fleet.chat(
                    vm.port, "acme", f"k{number}", text=f"prompt {number}",
                    tokens=20, stream=True)
                self.assertEqual(status, 200)
                self.assertEqual(fleet.stream_text(events), whole)
            self.check_books(trial, [f"k{number}" for number in range(6)])

    def test_drain_finishes_streams_and_exits_zero(self):
        with fleet.Fleet() as trial:
            trial.add_engine("e1", pace_ms=20, slots=64)
            trial.add_customer("acme", 1_000_000)
            trial.start_platform()
            first, second = two_vms(trial)
            callers = [Traffic([first.port], f"k{number}")
                       for number in range(6)]
            fleet.wait_until(
                lambda: trial.status("vm-a")["open_requests"] == 6, 20,
                "six streams")
            first.signal(signal.SIGTERM)
            for caller in callers:
                caller.join()
            self.assertNotIn(None, [caller.text for caller in callers])
            self.assertEqual(first.process.wait(20), 0, first.text())
            self.check_books(trial, [f"k{number}" for number in range(6)])
            grants = trial.account("acme")["grants"]
            held = [grant for grant in grants if "vm-a" in grant["holder"]]
            self.assertEqual(sum(grant["amount"] for grant in held), 0)

    def test_drain_by_an_operator_ends_the_vm_too(self):
        with fleet.Fleet() as trial:
            trial.add_engine("e1", pace_ms=20)
            trial.add_customer("acme", 1_000_000)
            trial.start_platform()
            vm = trial.start_vm("vm-a")
            trial.wait_ready()
            caller = Traffic([vm.port], "k1", tokens=150)
            fleet.wait_until(
                lambda: trial.status("vm-a")["open_requests"] == 1, 20, "one")
            trial.client("drain", "vm")
            fleet.wait_until(lambda: refuses(vm.port), 20, "a closed port")
            self.assertTrue(caller.is_alive(), "closed only at the end")
            caller.join()
            self.assertIsNotNone(caller.text)
            self.assertEqual(vm.process.wait(20), 0, vm.text())

    def test_bad_input_hurts_nobody(self):
        with fleet.Fleet() as trial:
            trial.add_engine("e1")
            trial.add_customer("acme", 1_000_000, targets=("chat",))
            trial.start_platform()
            vm = trial.start_vm("vm-a", vm__max_body_bytes=2000,
                                vm__max_header_bytes=2000,
                                vm__read_timeout_ms=300)
            trial.wait_ready()
            path = "/v1/chat/completions"
            good = fleet.chat_body()
            cases = [
                (400, "{", fleet.headers("acme")),
                (401, good, fleet.headers("nobody")),
                (403, good.replace('"chat"', '"other"'),
                 fleet.headers("acme")),
                (400, good, fleet.headers("acme", priority="soon")),
                (413, "x" * 5000, fleet.headers("acme")),
                (431, good, fleet.headers("acme", **{"X-Long": "y" * 4000})),
            ]
            for status, body, headers in cases:
                reply = fleet.call(vm.port, "POST", path, body, headers)
                self.assertEqual(reply[0], status, reply)
                self.assertEqual(json.loads(reply[2])["error"]["ran"], "no")
            for bytes_sent in (b"\x00\xff nonsense\r\n\r\n",
                               b"POST /v1/chat/completions HTTP/1.1\r\nCon"):
                with socket.create_connection(("127.0.0.1", vm.port)) as slow:
                    slow.sendall(bytes_sent)
                    slow.settimeout(20)
                    while slow.recv(1000):
                        pass
            self.assertEqual(fleet.chat(vm.port, "acme", "k1")[0], 200)
            self.check_books(trial, ["k1"])
            denied = fleet.call(vm.port, "GET", "/operator/status",
                                headers=fleet.headers("acme"))
            self.assertEqual(denied[0], 401)

    def test_operators_race_and_top_up(self):
        with fleet.Fleet() as trial:
            trial.add_engine("e1")
            trial.add_customer("acme", 100)
            trial.start_platform()
            vm = trial.start_vm("vm-a")
            trial.wait_ready()
            status, body = fleet.chat(vm.port, "acme", "k1", tokens=500)
            self.assertEqual((status, body["error"]["type"]),
                             (402, "budget_exhausted"))
            plans = trial.client("--json", "plans", "list").stdout
            version = json.loads(plans)[0]["version"]
            path = trial.folder + "/plan.json"
            with open(path, "w", encoding="utf-8") as file:
                json.dump(fleet.plan("acme", 5000), file)
            trial.client("plans", "set", path, version)
            late = trial.client("plans", "set", path, version, check=False)
            self.assertEqual(late.returncode, 3, late.stderr)
            with open(path, "w", encoding="utf-8") as file:
                json.dump(fleet.plan("acme", -5), file)
            bad = trial.client("plans", "set", path, check=False)
            self.assertEqual(bad.returncode, 1, bad.stderr)
            fleet.wait_until(
                lambda: fleet.chat(vm.port, "acme", "k2", tokens=500)[0]
                == 200, 20, "the top-up in use")


if __name__ == "__main__":
    unittest.main(verbosity=2)
