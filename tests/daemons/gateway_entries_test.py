"""The router of the users' platform: odd entries in the store's lists."""

import contextlib
import time
import unittest

import fleet
from gateway_harness import Client, GatewayTestCase, config

OWN_KINDS = ("config", "rosemarydeck-vms", "rosemarydeck-crashes",
             "rosemarydeck-streams", "rosemarydeck-ledgers")
ODD_NAMES = (" ", "a b", "a\r\nb", "a\nt=1 vm=vm-a event=stop", "a\u2028b",
             "a&b", "a&after_revision=zz", "a+b", "a#b", "%7E", "%", "a%b",
             "a%26b", "a?b", "a/status", "..", ".", "a=b", "a\\b", "a\"b",
             "a;b", "a\x00b", "\x7f")
LATE_NAMES = ("\u00e4", "\u65e5\u672c", "\U0001f600")


class GatewayEntriesTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.store.page_size = 5

    def restart(self):
        """Starts the router anew, with an empty record of the store's calls."""
        if self.process:
            self.process.kill()
            self.process.wait()
            self.log.close()
        self.store.pages = []
        self.start_router()

    @contextlib.contextmanager
    def entries(self, names):
        """Holds another writer's entries in the list of engines."""
        for name in names:
            self.store.put("servers", name, {"by": "another writer"})
        try:
            yield
        finally:
            for name in names:
                self.store.remove("servers", name)

    def put_engine(self):
        self.store.put("config", "main", config(3))
        engine, = self.engines_of(lambda request: request.answer("a"))
        self.register_engine("i-0", engine, "plain")

    def assert_serves(self, description):
        fleet.wait_until(self.is_ready, 10, f"ready beside {description!r}")
        reply = Client(self.port).request("GET", "/look/1")
        self.assertEqual((reply.status, reply.read()), (200, b"a"),
                         description)
        engine_pages = [page for page in self.store.pages
                        if page[0] == "servers"]
        self.assertEqual(len(engine_pages), len(set(engine_pages)),
                         f"pages were read again: {engine_pages}")

    def test_odd_name_at_the_end_of_a_page_hides_no_engine(self):
        """All processes were restarted; then almost no request was served."""
        self.put_engine()
        for name in ODD_NAMES + LATE_NAMES:
            with self.subTest(name=name):
                others = [f"\x01{number}" for number in range(4)]
                late = ([f"{name}{number}" for number in range(6)]
                        if name in LATE_NAMES else [])
                with self.entries(others + [name] + late):
                    self.restart()
                    self.assert_serves(name)
                for line in self.log_matches(r"(?m)^.*$"):
                    self.assertRegex(line, r"^(t=\d+ vm=vm-a event=|$)")
                self.assertFalse(self.log_match(r"(?m)^t=1 "))

    def test_whole_page_of_odd_names_hides_no_engine(self):
        self.put_engine()
        for base in ("a&", "#", "+", "%7E", " ", "a?", "a/", "a\r\n",
                     "\u00e4"):
            with self.subTest(base=base):
                with self.entries([f"{base}{number}"
                                   for number in range(12)]):
                    self.restart()
                    self.assert_serves(base)

    def test_odd_names_in_other_lists_hide_nothing(self):
        self.put_engine()
        for kind in OWN_KINDS:
            for number, name in enumerate(ODD_NAMES + LATE_NAMES):
                spec = (None, {}, [], "text", 7)[number % 5]
                self.store.put(kind, name, spec)
        self.restart()
        self.assert_serves("odd entries of all kinds")
        # Another writer's entry is no VM.
        time.sleep(1)
        self.assertFalse(self.log_match(r"event=fleet_size vms=([2-9]|1\d)"))

    def test_list_that_does_not_advance_neither_loops_nor_counts_as_whole(
            self):
        """Each call is priced, and counts toward the rate of all VMs."""
        self.put_engine()
        for number in range(6):
            self.store.put("servers", f"a{number}", None)
        self.store.stuck_kinds.add("servers")
        self.restart()
        time.sleep(4)
        calls = len([page for page in self.store.pages
                     if page[0] == "servers"])
        self.assertLessEqual(calls, 16)
        self.assertFalse(self.is_ready())
        self.assertFalse(self.log_match("event=engines_listed"))
        self.assertTrue(self.log_match("event=list_broken kind=servers"))
        self.store.stuck_kinds.clear()
        fleet.wait_until(self.is_ready, 10, "the list to be read")
        reply = Client(self.port).request("GET", "/look/1")
        self.assertEqual((reply.status, reply.read()), (200, b"a"))

    def test_engine_that_is_being_deleted_gets_nothing_after_a_list(self):
        """As after a watch; passed before."""
        self.put_engine()
        self.store.objects["servers", "i-0"]["metadata"]["deleting"] = True
        self.restart()
        fleet.wait_until(self.is_ready, 10, "the router to be ready")
        self.assertEqual(Client(self.port).request("GET", "/look/1").status,
                         503)

    def test_odd_event_hides_no_other_change(self):
        """The following of the list must go on, and know the entry as gone."""
        self.put_engine()
        self.restart()
        self.assert_serves("nothing")
        odd = {'"tombstone": false, "object": {"metadata": {"name": "odd-0"':
               '"tombstone": "no", "object": {"metadata": {"name": "odd-0"',
               '"object": {"metadata": {"name": "odd-1"':
               '"object": null, "other": {"metadata": {"name": "odd-1"',
               '{"metadata": {"name": "odd-2"': '{"metadata": {"name": 2',
               '{"metadata": {"name": "odd-3", "revision":':
               '{"metadata": {"name": "odd-3", "revision": "x", "was":',
               '"by odd-4"': '"\\ud800"',
               '"by odd-5"': '"\\u0001\u0001"'}
        self.store.raw = odd
        for number in range(6):
            self.store.put("servers", f"odd-{number}",
                           {"by": f"by odd-{number}"})
        second, = self.engines_of(lambda request: request.answer("b"))
        self.register_engine("i-second", second, "plain")
        fleet.wait_until(
            lambda: self.log_match("event=engine_listed engine=i-second"), 10,
            "the engine that came after the odd events")
        # An entry that can no longer be read names no engine to use.
        self.store.raw["\"name\": \"i-0\", \"revision\":"] = (
            "\"name\": \"i-0\", \"revision\": \"x\", \"was\":")
        self.store.put("servers", "i-0",
                       dict(self.store.objects["servers", "i-0"]["spec"]))
        fleet.wait_until(
            lambda: self.log_match("event=engine_gone engine=i-0"), 10,
            "the engine whose entry can't be read to go")
        reply = Client(self.port).request("GET", "/look/9")
        self.assertEqual((reply.status, reply.read()), (200, b"b"))


if __name__ == "__main__":
    unittest.main()
