"""Streams of a killed machine can't be taken up if their ids are long."""

import pathlib
import re
import socket
import sys
import threading
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lib"))

import platform_parts as parts  # noqa: E402

STREAMS = 24          # Open at the machine that is killed.
EVENTS, EVENT_GAP_S = 60, 0.1
KILL_AT_S = 2.5       # After the streams have begun.
DEADLINE_S = 10.0
# A client names its session and the attempt: 73 characters. With "short" as
# the argument of the program, only the attempt: 36 characters.
SHORT = "short" in sys.argv


def new_id(session):
    attempt = str(uuid.uuid4())
    return attempt if SHORT else f"{session}.{attempt}"


def serve(engine, request):
    first = int(request.headers.get("last-event-id", 0)) + 1
    engine.record.write(f"engine {engine.name}: runs {request.id} from event "
                        f"{first}")
    request.begin_stream()
    for number in range(first, EVENTS + 1):
        request.send_event(number)
        time.sleep(EVENT_GAP_S)
    request.end_stream()


class Stream:
    """A stream that its client takes up until it is complete."""

    def __init__(self, number, routers, record):
        self.number, self.routers, self.record = number, routers, record
        self.session = str(uuid.uuid4())
        self.first_id, self.last_event = None, 0
        self.refused, self.went_on, self.complete = [], False, False
        self.deadline = time.monotonic() + DEADLINE_S
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        router, tries = self.routers[0], 0
        while (not self.complete and tries < 4
               and time.monotonic() < self.deadline - 0.2):
            tries += 1
            pause = self.attempt(router)
            router = self.routers[1]
            time.sleep(pause)

    def attempt(self, router):
        """Returns the pause before the next attempt, in seconds."""
        request_id = new_id(self.session)
        left_ms = int(1000 * (self.deadline - time.monotonic()))
        head = (f"POST /chat/x HTTP/1.1\r\nHost: {parts.HOST_NAME}\r\n"
                f"Request-Id: {request_id}\r\nModel: m\r\n"
                "Token-Count: 715,180\r\n"
                f"Prompt-Prefix: aa:172,{self.number:02x}b:543\r\n"
                f"Deadline-Ms: {left_ms}\r\n"
                f"Authorization: Token {parts.KEY}\r\n"
                "Connection: close\r\nContent-Length: 2\r\n")
        taken_up = self.last_event > 0
        if taken_up:
            head += (f"Resumes: {self.first_id}\r\n"
                     f"Last-Event-Id: {self.last_event}\r\n")
        before, data = self.last_event, b""
        try:
            with socket.create_connection((router.host, router.port),
                                          1) as one:
                one.settimeout(max(0.1, left_ms / 1000))
                one.sendall((head + "\r\n{}").encode())
                while piece := one.recv(65536):
                    data += piece
                    numbers = re.findall(rb"id: (\d+)\ndata", data)
                    if numbers:
                        self.last_event = int(numbers[-1])
                        if not taken_up:
                            self.first_id = request_id
        except OSError:
            pass
        self.complete = self.last_event == EVENTS
        status = data[9:12].decode() or "connection ended"
        reason = re.search(rb'"error":"(\w+)"', data)
        reason = reason.group(1).decode() if reason else ""
        self.record.write(
            f"client {self.number}: {'takes up' if taken_up else 'begins'} "
            f"{request_id} at {router.name} -> {status} {reason}, events "
            f"{before + 1} to {self.last_event} of {EVENTS}")
        if taken_up:
            self.went_on = self.went_on or self.last_event > before
            if self.last_event == before:
                self.refused.append(reason or status)
        wait = re.search(rb"Retry-After: ([\d.]+)", data)
        return float(wait.group(1)) if wait else 0.1


def play(record, trouble, work, routers):
    store = parts.Store(record)
    store.put("config", "main", parts.configuration(3, [
        parts.route("chat", "/chat/", "streaming", "rosemary-desk",
                    timeout_ms=15000)],
        [{"name": "acme", "api_keys": [parts.KEY], "prepaid": 10_000_000}]))
    for number in range(4):
        engine = parts.Engine(f"i-{number}", serve)
        engine.record = record
        engine.register(store, "rosemary-desk",
                        version="v1" if number < 2 else "v2")
    routers += [parts.Router(f"edge-{number}", number, store, record, work)
                for number in range(2)]
    for router in routers:
        router.start()
    for router in routers:
        router.await_ready()
    time.sleep(3)
    streams = [Stream(number, routers, record) for number in range(STREAMS)]
    time.sleep(KILL_AT_S)
    if trouble:
        record.write("edge-0: SIGKILL")
        routers[0].kill()
    new = [Stream(100 + number, [routers[1], routers[1]], record)
           for number in range(STREAMS)]
    for one in streams + new:
        one.thread.join(DEADLINE_S + 5)
    taken_up = [one for one in streams if one.went_on or one.refused]
    went_on = sum(one.went_on for one in taken_up)
    begun = sum(one.last_event > 0 for one in new)
    record.write(f"taken up: {len(taken_up)}, went on: {went_on}; new "
                 f"streams: {len(new)}, begun: {begun}")
    print(f"taken up {len(taken_up)}, went on {went_on}; new {len(new)}, "
          f"begun {begun}")
    return (len(taken_up) >= 12 and
            went_on / len(taken_up) < 0.5 * begun / len(new))


if __name__ == "__main__":
    parts.run_case(play, FOLDER / "record.txt")
