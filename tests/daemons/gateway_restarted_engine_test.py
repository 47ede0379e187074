"""The router of the users' platform: engines that start anew, unread."""

import json
import unittest

import fleet
from gateway_harness import Client, GatewayTestCase
from platform_standin import Engine


class RestartedEngine:
    """Tells its start in its report; its entry may name an earlier one."""

    def __init__(self, born):
        self.born = born
        self.begun, self.resumed = [], []
        self.engine = Engine(self.answer)

    def answer(self, request):
        if request.target == "/api/report":
            return request.answer(json.dumps({"born": self.born}), seal=None)
        after = int(request.headers.get("Last-Event-Id", 0))
        (self.resumed if after else self.begun).append(request.id)
        request.begin_stream()
        request.send_event(after + 1)
        if not after:
            return request.wait_for_disconnect(5)
        request.end_stream()


class GatewayRestartedEngineTest(GatewayTestCase):
    def start(self):
        """Starts two engines of one version and begins a stream."""
        self.engines = [RestartedEngine(1000), RestartedEngine(1000)]
        for number, one in enumerate(self.engines):
            self.register_engine(f"i-{number}", one.engine, "models",
                                 born=1000)
        self.start_with_engines()
        client = Client(self.port)
        reply = client.chat(Request_Id="s-1")
        self.assertEqual(reply.readline(), b"id: 1\n")
        reply.close()
        client.connection.close()
        first = next(one for one in self.engines if one.begun)
        other = next(one for one in self.engines if one is not first)
        first.engine.crash()
        return first, other

    def take_up(self, number):
        reply = Client(self.port).chat(Request_Id=f"up-{number}",
                                       Resumes="s-1", Last_Event_Id="1")
        reply.read()
        return reply.status

    def test_stream_does_not_go_on_at_other_software_under_a_known_id(self):
        """The engine came back, and its entry is not read yet."""
        _, other = self.start()
        other.born = 2000
        for number in range(3):
            self.assertEqual(self.take_up(number), 503)
        self.assertEqual(other.resumed, [])
        # Its new entry names the same software, so that the stream fits.
        self.register_engine(f"i-{self.engines.index(other)}", other.engine,
                             "models", born=2000)
        fleet.wait_until(lambda: self.log_match("engine_listed .*born=2000"),
                         20, "the engine's new entry")
        fleet.wait_until(lambda: self.take_up("late") == 200, 10,
                         "the stream to go on")

    def test_stream_goes_on_at_an_engine_that_has_not_started_anew(self):
        _, other = self.start()
        self.assertEqual(self.take_up(1), 200)
        self.assertEqual(other.resumed, ["up-1"])

    def test_vm_that_is_cut_off_from_the_store_mixes_no_software(self):
        """Other software comes to the ids while the VM can't read entries."""
        first, other = self.start()
        self.store.set_available(False)
        other.born = 2000
        self.assertEqual(self.take_up(1), 503)
        first.engine = None
        self.assertEqual(other.resumed, [])


if __name__ == "__main__":
    unittest.main()
