"""Starts two daemons with stand-ins and sends real requests through them."""

import json
import subprocess
import sys

import fleet


def show(title, text):
    print(f"\n== {title}\n{text.rstrip()}")


def run(keep):
    with fleet.Fleet() as trial:
        trial.add_engine("engine-1")
        trial.add_engine("engine-2")
        trial.add_engine("orders-1", targets=("orders",), kind="service")
        trial.add_customer("acme", 1_000_000)
        trial.start_platform()
        first = trial.start_vm("vm-a")
        second = trial.start_vm(
            "vm-b", seeds=[f"127.0.0.1:{first.peer_port}"])
        trial.wait_ready()
        trial.wait_peers("vm-a", 1)
        trial.wait_peers("vm-b", 1)

        status, answer = fleet.chat(first.port, "acme", "plain-1",
                                    priority="urgent")
        show("a plain answer through vm-a", json.dumps(answer))
        assert status == 200 and answer["usage"]["completion_tokens"] == 8

        status, events = fleet.chat(second.port, "acme", "stream-1",
                                    stream=True)
        show("a streamed answer through vm-b", fleet.stream_text(events))
        usage = [event for event in events
                 if isinstance(event, dict) and event.get("usage")]
        assert status == 200 and len(usage) == 1 and events[-1] == "[DONE]"

        again = fleet.chat(first.port, "acme", "stream-1", stream=True)
        assert fleet.stream_text(again[1]) == fleet.stream_text(events)

        key = json.loads(fleet.call(first.port, "POST", "/v1/keys",
                                    headers=fleet.headers("acme"))[2])["key"]
        order = fleet.call(second.port, "POST", "/v1/services/orders/place",
                           "two mats", fleet.headers("acme", key))
        show("an order, through the VM that did not hand out its key",
             order[2].decode())
        assert order[0] == 200

        bills = trial.wait_bills("acme", 3)
        assert all(len(each) == 1 for each in bills.values())
        charged = bills["stream-1"][0]["charged"]
        assert charged == usage[0]["usage"]["total_tokens"], bills
        show("spend", trial.client("spend").stdout)
        show("bills", trial.client("bills", "acme").stdout)
        show("time line of stream-1",
             trial.client("--request", "stream-1", "timeline").stdout)
        show("VMs", trial.client("status").stdout)
        if keep:
            wait_for_person(first.port, second.port)
        for vm in (first, second):
            vm.signal(15)
        for vm in (first, second):
            assert vm.process.wait(20) == 0, vm.text()


def wait_for_person(first, second):
    body = fleet.chat_body(stream=True)
    print(f"\nTry:\n  curl -N http://127.0.0.1:{first}/v1/chat/completions "
          f"-H 'Authorization: Bearer key-acme' -H 'Idempotency-Key: k1' "
          f"-d '{body}'\n"
          f"  ROSEMARYDECK_KEY={fleet.OPERATOR_KEY} "
          f"{fleet.BUILD}/packages/client/rosemarydeck "
          f"--vm 127.0.0.1:{first},127.0.0.1:{second} timeline\n"
          "Press Enter to end.")
    sys.stdout.flush()
    sys.stdin.readline()


if __name__ == "__main__":
    try:
        run("--keep" in sys.argv[1:])
    except (AssertionError, subprocess.SubprocessError) as fault:
        print(f"trial: failed: {fault}")
        sys.exit(1)
    print("\ntrial: ok")
