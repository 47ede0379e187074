"""The router of the users' platform: requests that crash engines."""

import http.client
import json
import threading
import time
import unittest

import fleet
from gateway_harness import Client, GatewayTestCase, free_port

BAD_PART = "bad0"


class CrashingEngines:
    """Engines that go down when they begin to answer a prompt with BAD_PART.

    The answering function of each; requests that ask for it are broken off in
    a stream's first event. An engine that is down gives up its port and stays
    away until restart() is called.
    """

    def __init__(self):
        self.engines = []
        self.reached = []  # Requests with BAD_PART that reached an engine.
        self.lock = threading.Lock()
        self.unframed = False  # Answers end with their connection.

    def answer(self, request):
        prompt = request.headers.get("Prompt-Prefix", "")
        with self.lock:
            engine = next(one for one in self.engines
                          if request in one.requests)
            bad = f"{BAD_PART}:" in prompt
            if bad:
                self.reached.append(request)
        # Another id than the next would end a resumed stream before the crash.
        event = int(request.headers.get("Last-Event-Id", 0)) + 1
        if bad and self.unframed:
            request.send(request.response_head() +
                         f"\r\nid: {event}\ndata: a\n\n")
            return engine.crash(reset=False)
        if bad:
            request.begin_stream()
            request.send_event(event)
            return engine.crash()
        GatewayTestCase.stream_two_events(request)


class GatewayCrashTest(GatewayTestCase):
    def start_crashing_engines(self, count):
        self.crashing = CrashingEngines()
        self.crashing.engines = self.start_with_engines(
            *[self.crashing.answer] * count)

    @staticmethod
    def chat(port, parts, body="{}"):
        """Sends a prompt with these parts and a last one of its own.

        Returns "served", "cut_off" or the reason of the refusal.
        """
        client = Client(port)
        last = f"own{time.monotonic_ns():x}"
        prompt = ",".join(f"{part}:30" for part in [*parts, last])
        reply = client.request("POST", "/chat/x", body, Token_Count="100,60",
                               Model="m", Prompt_Prefix=prompt,
                               Deadline_Ms="2000")
        try:
            text = reply.read()
        except (http.client.HTTPException, ConnectionError):
            return "cut_off"
        return "served" if reply.status == 200 else json.loads(text)["error"]

    def send_bad_requests(self, ports, count, pause_s=0.6):
        """Sends requests that share nothing but BAD_PART, to VMs in turn."""
        statuses = []
        for number in range(count):
            parts = [f"first{number % 3}", BAD_PART] if number % 2 \
                else [BAD_PART, f"second{number}"]
            statuses.append(self.chat(ports[number % len(ports)], parts,
                                      f'{{"n": {number}}}'))
            time.sleep(pause_s)
        return statuses

    def test_requests_with_a_prompt_part_that_crashes_engines_are_refused(self):
        """Such requests differ in everything else, so each looks new."""
        self.start_crashing_engines(12)
        statuses = self.send_bad_requests([self.port], 16)
        self.assertEqual(statuses[-8:], ["crashes_engines"] * 8)
        self.assertLessEqual(len(self.crashing.reached), 5)

    def test_crashing_prompt_part_is_refused_while_the_store_is_away(self):
        """A VM decides by the crashes that it saw itself."""
        self.start_crashing_engines(12)
        self.store.set_available(False)
        statuses = self.send_bad_requests([self.port], 8)
        self.assertEqual(statuses[-4:], ["crashes_engines"] * 4)
        self.assertLessEqual(len(self.crashing.reached), 5)

    def test_crashing_prompt_part_is_known_to_all_vms(self):
        """No single VM sees enough crashes to recognise the part."""
        self.writes_per_s, self.peer_port = 1200, free_port()
        self.start_crashing_engines(12)
        with self.second_vm("vm-b") as vms:
            ports = [vm["port"] for vm in vms]
            for port in ports:
                fleet.wait_until(lambda: self.chat(port, ["a"]) == "served", 20,
                                 "the VM to serve the customer")
            self.send_bad_requests(ports, 4, pause_s=0.7)
            time.sleep(3)  # contact_ms
            reached = len(self.crashing.reached)
            statuses = self.send_bad_requests(ports, 8)
            self.assertEqual(statuses, ["crashes_engines"] * 8)
            self.assertLessEqual(len(self.crashing.reached), reached)

    def test_crash_that_ends_an_answer_without_length_is_noticed(self):
        """Such an answer looks whole, as its connection is closed."""
        self.start_crashing_engines(12)
        self.crashing.unframed = True
        statuses = self.send_bad_requests([self.port], 12)
        self.assertEqual(statuses[-6:], ["crashes_engines"] * 6)
        self.assertLessEqual(len(self.crashing.reached), 5)

    def test_restarted_vm_still_refuses_a_crashing_prompt_part(self):
        """The crash list must be read before clients come."""
        self.start_crashing_engines(12)
        self.send_bad_requests([self.port], 10)
        reached = len(self.crashing.reached)
        time.sleep(1)  # The record is written with a pause.
        self.process.kill()
        self.process.wait()
        self.log.close()
        self.start_router()
        fleet.wait_until(self.is_ready, 20, "the router to be ready")
        self.assertEqual(self.send_bad_requests([self.port], 4),
                         ["crashes_engines"] * 4)
        self.assertEqual(len(self.crashing.reached), reached)

    def test_sound_requests_beside_a_crashing_prompt_part_are_served(self):
        """They share the caller and the other parts of the prompt."""
        self.start_crashing_engines(12)
        parts = ["first0", "second0"]
        sound = []
        for number in range(12):
            self.chat(self.port, [*parts, BAD_PART], f'{{"n": {number}}}')
            sound += [self.chat(self.port, parts),
                      self.chat(self.port, parts[:1])]
            time.sleep(0.6)
        self.assertEqual(sound, ["served"] * 24)
        self.assertLessEqual(len(self.crashing.reached), 5)


if __name__ == "__main__":
    unittest.main(verbosity=2)
