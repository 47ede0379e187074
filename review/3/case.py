"""A budget is overspent after the store came back from an older copy."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import platform_parts as parts  # noqa: E402

PREPAID = 1_200_000
INPUT, OUTPUT, EVENTS, STRIDE = 1_800, 24, 8, 3
CLIENTS = 6
PAUSE_S = 0.25       # Between two requests of a client.
COPY_AT_S = 17.0     # Since the traffic began.
AWAY_AT_S = 22.0     # The copy is 5 s old then.
BACK_AT_S = 23.0
RESTART_AT_S = 33.0  # Long after the drill.
END_S = 75.0


def serve(engine, request):
    del engine
    request.begin_stream()
    for number in range(1, EVENTS + 1):
        request.send_event(number)
    request.end_stream()


class Traffic:
    """Clients of one tenant; counts what they got, by request."""

    def __init__(self, record, routers):
        self.record, self.routers = record, routers
        self.lock = threading.Lock()
        self.tokens, self.answers = 0, {}
        self.stopped = False
        self.threads = [threading.Thread(target=self.run, args=(number,),
                                         daemon=True)
                        for number in range(CLIENTS)]
        for one in self.threads:
            one.start()

    def run(self, number):
        count = 0
        while not self.stopped:
            router = self.routers[(number + count) % len(self.routers)]
            count += 1
            request_id = f"c{number}-{count}"
            answer = parts.send_request(
                router.host, router.port, "POST", "/draft/x", request_id,
                body="{}", Model="m", Token_Count=f"{INPUT},{OUTPUT}",
                Prompt_Prefix=f"aa01:400,{number:02x}{count:06x}:1400")
            events = answer.events()
            used = INPUT + events * STRIDE if answer.status == 200 else 0
            with self.lock:
                self.tokens += used
                self.answers[answer.status] = (
                    self.answers.get(answer.status, 0) + 1)
                total = self.tokens
            self.record.write(
                f"client: {request_id} at {router.name} -> {answer.status}, "
                f"{events} events, {used} tokens; total {total}"
                + ("" if answer.status in (0, 200) else
                   f" {answer.body.decode(errors='replace').strip()}"))
            time.sleep(PAUSE_S if answer.status != 402 else 1.0)


def play(record, trouble, work, routers):
    store = parts.Store(record)
    store.put("config", "main", parts.configuration(
        3, [parts.route("draft", "/draft/", "streaming", "rosemary-desk")],
        [{"name": "acme", "api_keys": [parts.KEY], "prepaid": PREPAID}]))
    for number in range(3):
        parts.Engine(f"i-{number}", serve).register(store, "rosemary-desk")
    routers += [parts.Router(f"edge-{number}", number, store, record, work)
                for number in range(2)]
    for router in routers:
        router.start()
    for router in routers:
        router.await_ready()
    start = time.monotonic()

    def wait_until(at):
        time.sleep(max(0.0, start + at - time.monotonic()))

    traffic = Traffic(record, routers)
    wait_until(COPY_AT_S)
    old = store.take_copy()
    served_before = traffic.tokens
    wait_until(AWAY_AT_S)
    store.leave()
    wait_until(BACK_AT_S)
    store.come_back(old if trouble else None)
    if not 0 < served_before < traffic.tokens:
        raise parts.CannotRun("no requests were served before the drill")
    wait_until(RESTART_AT_S)
    for router in routers:  # Planned: stopped and started in turn.
        router.restart_planned()
        router.await_ready()
    wait_until(END_S)
    traffic.stopped = True
    for one in traffic.threads:
        one.join(8)
    record.write(f"answers by status: {traffic.answers}")
    record.write(f"tokens consumed: {traffic.tokens}, prepaid: {PREPAID}")
    print(f"tokens {traffic.tokens} of {PREPAID}; {traffic.answers}")
    return traffic.tokens > PREPAID


if __name__ == "__main__":
    parts.run_case(play, FOLDER / "record.txt")
