"""Sends requests through two daemons with stand-ins and checks the answers."""

import json
import subprocess
import sys

import fleet


def print_section(title, text):
    print(f"\n== {title}\n{text.rstrip()}")


def run(keep_running):
    with fleet.Fleet() as test_fleet:
        test_fleet.add_engine("engine-1")
        test_fleet.add_engine("engine-2")
        test_fleet.add_engine("orders-1", targets=("orders",), kind="service")
        test_fleet.add_customer("acme", 1_000_000)
        test_fleet.start_platform()
        first = test_fleet.start_vm("vm-a")
        second = test_fleet.start_vm(
            "vm-b", seeds=[f"127.0.0.1:{first.peer_port}"])
        test_fleet.wait_ready()
        test_fleet.wait_peers("vm-a", 1)
        test_fleet.wait_peers("vm-b", 1)

        status, answer = fleet.chat(first.port, "acme", "plain-1",
                                    priority="urgent")
        print_section("a plain answer through vm-a", json.dumps(answer))
        assert status == 200 and answer["usage"]["completion_tokens"] == 8

        status, events = fleet.chat(second.port, "acme", "stream-1",
                                    stream=True)
        print_section("a streamed answer through vm-b",
                      fleet.stream_text(events))
        usage = [event for event in events
                 if isinstance(event, dict) and event.get("usage")]
        assert status == 200 and len(usage) == 1 and events[-1] == "[DONE]"

        repeated = fleet.chat(first.port, "acme", "stream-1", stream=True)
        assert fleet.stream_text(repeated[1]) == fleet.stream_text(events)

        key = json.loads(fleet.call(
            first.port, "POST", "/v1/keys",
            headers=fleet.customer_headers("acme"))[2])["key"]
        order = fleet.call(second.port, "POST", "/v1/services/orders/place",
                           "two mats", fleet.customer_headers("acme", key))
        print_section("an order, through the VM that did not hand out its key",
                      order[2].decode())
        assert order[0] == 200

        bills = test_fleet.wait_bills("acme", 3)
        assert all(len(entries) == 1 for entries in bills.values())
        charged = bills["stream-1"][0]["charged"]
        assert charged == usage[0]["usage"]["total_tokens"], bills
        print_section("spend", test_fleet.run_client("spend").stdout)
        print_section("bills", test_fleet.run_client("bills", "acme").stdout)
        print_section("time line of stream-1",
                      test_fleet.run_client("--request", "stream-1",
                                            "timeline").stdout)
        print_section("VMs", test_fleet.run_client("status").stdout)
        if keep_running:
            wait_for_enter(first.port, second.port)
        for vm in (first, second):
            vm.send_signal(15)
        for vm in (first, second):
            assert vm.process.wait(20) == 0, vm.log_text()


def wait_for_enter(first, second):
    """Prints commands to try, and waits until Enter is pressed."""
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
    except (AssertionError, subprocess.SubprocessError) as error:
        print(f"trial: failed: {error}")
        sys.exit(1)
    print("\ntrial: ok")
