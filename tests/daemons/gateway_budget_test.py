"""The router on the users' platform: budgets, crashes and other VMs."""

import contextlib
import re
import signal
import socket
import time
import unittest

import fleet
from gateway_harness import KEY, Client, GatewayCase, config


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Budgets(GatewayCase):
    # --- budgets ---------------------------------------------------------

    def spent(self):
        account = self.ledger()
        return account["closed"] + sum(share[1] for share
                                       in account["shares"].values())

    def test_a_stream_is_charged_its_prompt_and_what_was_delivered(self):
        self.serve(self.two_events)
        Client(self.port).chat("100,60").read()
        fleet.wait_until(lambda: self.spent() == 106, 20, "106 tokens charged")

    def test_a_request_beyond_the_budget_gets_402(self):
        engine, = self.serve(self.two_events, tenants=[
            {"name": "acme", "api_keys": [KEY], "prepaid": 500}])
        self.assertEqual(Client(self.port).chat("300,300").status, 402)
        self.assertEqual(engine.runs, [])

    def test_a_killed_run_is_charged_little_beyond_its_report(self):
        self.serve(self.two_events)
        Client(self.port).chat("100,60").read()
        fleet.wait_until(lambda: self.spent() == 106, 20, "the report")
        self.process.kill()
        self.process.wait()
        self.log.close()
        self.start()
        fleet.wait_until(self.ready, 20, "ready again")
        fleet.wait_until(lambda: self.logged("event=run_closed"), 20,
                         "the last run is closed")
        self.assertLess(self.ledger()["closed"], 100_000)

    def test_a_store_that_is_away_stops_neither_requests_nor_the_end(self):
        self.serve(self.two_events)
        self.store.answers = False
        fleet.wait_until(lambda: self.logged("event=store_lost"), 20,
                         "the outage is seen")
        self.assertEqual(Client(self.port).chat().status, 200)
        self.store.answers = True
        fleet.wait_until(lambda: self.logged("event=store_regained"), 20,
                         "its end is seen")

    def test_an_engine_that_leaves_after_an_outage_is_gone_at_once(self):
        first, second = self.serve(lambda run: run.answer(),
                                   lambda run: run.answer(), service="plain")
        self.store.answers = False
        fleet.wait_until(lambda: self.logged("event=store_lost"), 20,
                         "the outage is seen")
        self.store.answers = True
        fleet.wait_until(lambda: self.logged("event=store_regained"), 20,
                         "its end is seen")
        # Entries that lapsed meanwhile would be back by now.
        time.sleep(2.5)
        self.store.remove("servers", "i-0")
        fleet.wait_until(lambda: self.logged("event=engine_gone engine=i-0"),
                         20, "the removal is seen")
        before = len(first.runs)
        for _ in range(12):
            reply = Client(self.port).ask("POST", "/look/1", "x")
            self.assertEqual(reply.status, 200)
        self.assertEqual(len(first.runs), before)
        self.assertGreaterEqual(len(second.runs), 12)

    def test_a_request_that_crashes_engines_is_stopped(self):
        made = []

        def crashes(run):
            if run.body == b"boom":
                for engine in made:
                    if run in engine.runs:
                        engine.stop()
                return run.reset()
            run.answer()
        made += self.serve(*[crashes] * 6, service="plain")
        statuses = [Client(self.port).ask("POST", "/look/1", "boom").status
                    for _ in range(5)]
        self.assertEqual(statuses[-1], 503)
        fleet.wait_until(lambda: self.logged("event=request_blocked"), 20,
                         "the request is blocked")
        self.assertLessEqual(sum(len(one.runs) for one in made), 4)
        # Another body of the same caller on the same path is served.
        self.assertEqual(
            Client(self.port).ask("POST", "/look/1", "fine").status, 200)

    def test_a_crash_is_told_to_other_vms_and_heard_from_them(self):
        def crashes(run):
            engine.stop()
            run.reset()
        engine, = self.serve(crashes, service="plain")
        Client(self.port).ask("POST", "/look/1", "boom")
        seen = fleet.wait_until(
            lambda: self.logged(r"event=crash_seen request=(\w+)"), 20,
            "the crash is seen").group(1)
        told = fleet.wait_until(lambda: self.store.objects.get(
            ("rosemarydeck-crashes", "vm-a")), 20, "the others are told")
        self.assertEqual(told["spec"], {seen: ["i-0"]})
        self.store.put("rosemarydeck-crashes", "vm-b", {seen: ["x", "y"]})
        fleet.wait_until(lambda: self.logged("event=request_blocked"), 20,
                         "the request is blocked")
        self.store.put("rosemarydeck-crashes", "vm-c", ["unreadable"])
        fleet.wait_until(lambda: self.logged("event=crashes_unreadable"), 20,
                         "the entry is logged")
        reply = Client(self.port).ask("POST", "/look/1", "boom")
        self.assertEqual(reply.status, 503)
        self.assertIn(b"crashes_engines", reply.read())

    def test_vms_that_run_are_counted(self):
        self.store.put("rosemarydeck-vms", "vm-b", {"run": "b.1", "beat": 4})
        self.store.put("rosemarydeck-vms", "vm-c", {"beat": "many"})
        self.serve(self.two_events)
        size = fleet.wait_until(
            lambda: self.logged(r"event=fleet_size vms=(\d+)"), 20, "a count")
        self.assertEqual(size.group(1), "2")
        self.assertIn(("rosemarydeck-vms", "vm-a"), self.store.objects)

    def test_a_raised_budget_serves_at_once(self):
        tenant = {"name": "acme", "api_keys": [KEY], "prepaid": 500}
        self.serve(self.two_events, tenants=[tenant])
        client = Client(self.port)
        self.assertEqual(client.chat("300,300").status, 402)
        self.store.put("config", "main", config(
            4, tenants=[{**tenant, "prepaid": 100_000}]))
        fleet.wait_until(lambda: Client(self.port).chat("300,300").status
                         == 200, 20, "the new budget is used")

    def test_many_vms_keep_a_ledger_for_each_customer_they_serve(self):
        self.writes_per_s = 1200
        self.serve(self.two_events)

        def ledgers():
            return [value["spec"] for (kind, name), value
                    in self.store.objects.items()
                    if kind == "rosemarydeck-ledgers" and name != "layout"]
        self.assertEqual(ledgers(), [])
        reply = Client(self.port).chat("100,60")
        self.assertEqual((reply.status, reply.read().count(b"piece")),
                         (200, 2))
        ledger, = ledgers()
        self.assertEqual(list(ledger["accounts"]), ["acme"])
        self.process.kill()
        self.process.wait()
        self.log.close()
        self.start()
        fleet.wait_until(lambda: self.logged("event=run_closed"), 20,
                         "the last run is closed before any request comes")
        ledger, = ledgers()
        self.assertLess(ledger["accounts"]["acme"]["closed"], 100_000)

    @contextlib.contextmanager
    def another(self, name):
        """Runs a second VM beside the one that serve() started."""
        first = {key: getattr(self, key) for key in
                 ("process", "log", "log_path", "port", "metrics_port",
                  "ready_port", "vm", "peer_port")}
        self.vm, self.peer_port = name, free_port()
        self.start()
        fleet.wait_until(self.ready, 20, "the second VM is ready")
        second = {key: getattr(self, key) for key in first}
        try:
            yield first, second
        finally:
            self.process.kill()
            self.process.wait()
            self.log.close()
            for key, value in first.items():
                setattr(self, key, value)

    @staticmethod
    def metric(vm, name):
        text = fleet.call(vm["metrics_port"], "GET", "/metrics")[2].decode()
        return int(re.search(rf"{name} (\d+)", str(text)).group(1))

    @staticmethod
    def served_whole(vm):
        """Asks once; reads an answer with status 200 to its end.

        A client that leaves earlier is charged only what was delivered.
        """
        reply = Client(vm["port"]).chat()
        if reply.status != 200:
            return False
        reply.read()
        return True

    def test_vms_hand_each_other_parts_of_a_budget(self):
        self.writes_per_s, self.peer_port = 1200, free_port()
        self.serve(self.two_events)
        with self.another("vm-b") as vms:
            for vm in vms:
                self.log_path = vm["log_path"]
                fleet.wait_until(
                    lambda: self.logged("event=fleet_size vms=2"), 20,
                    "both VMs are known")
            for vm in vms:
                # The connection to the other VM may still be opening.
                fleet.wait_until(lambda: self.served_whole(vm), 20,
                                 "the VM serves the customer")
            asked = [self.metric(vm, "credit_asks_total") for vm in vms]
            given = [self.metric(vm, "credit_given_tokens_total")
                     for vm in vms]
            asker = 0 if asked[0] else 1
            self.assertGreater(asked[asker], 0)
            self.assertGreater(given[1 - asker], 0)
            self.assertEqual(asked[1 - asker], 0)
            # What was lent is reported as it is used.
            ledger = fleet.wait_until(
                lambda: self.used_of_both(), 20, "the use is reported")
            self.assertEqual(len(ledger["members"]), 1)
            # The VM that holds the budget goes; the other takes its place.
            vms[1 - asker]["process"].send_signal(signal.SIGTERM)
            vms[1 - asker]["process"].wait()
            fleet.wait_until(lambda: Client(vms[asker]["port"]).chat().status
                             == 200, 40, "the VM that is left serves")

    def used_of_both(self):
        for (kind, name), value in self.store.objects.items():
            if kind != "rosemarydeck-ledgers" or name == "layout":
                continue
            for share in value["spec"]["accounts"]["acme"]["shares"].values():
                if share[1] - share[6] >= 212:
                    return value["spec"]
        return None


if __name__ == "__main__":
    unittest.main(verbosity=2)
