"""Rate, latency and memory of one daemon, against direct engine calls."""

import pathlib
import statistics
import subprocess
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "daemons"))
import fleet  # noqa: E402

ROUNDS = 3


def run_load(port, callers, pace_us=0):
    """Returns requests per second, and median and p99 latency in ms."""
    output = subprocess.run(
        [str(fleet.BUILD / "tests/path_bench"), str(port), str(callers), "2",
         str(pace_us)], capture_output=True, text=True, check=True).stdout
    rate, median, p99, failed = output.split()
    assert int(failed) == 0, output
    return float(rate), float(median), float(p99)


def resident_mib(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise AssertionError(f"no VmRSS line in /proc/{pid}/status")


def memory_with_streams(test_fleet, vm, count):
    """Returns the daemon's memory in MiB before and with open streams."""
    engine = test_fleet.engines["e1"]
    test_fleet.set_script(engine, pace_ms=2000)
    before = resident_mib(vm.process.pid)

    def request_stream(number):
        fleet.chat(vm.port, "acme", f"s{number}", tokens=3, stream=True,
                   timeout=60)
    threads = [threading.Thread(target=request_stream, args=(number,))
               for number in range(count)]
    for thread in threads:
        thread.start()
    fleet.wait_until(
        lambda: test_fleet.status("vm-a")["open_requests"] >= count, 30,
        f"{count} open streams")
    during = resident_mib(vm.process.pid)
    for thread in threads:
        thread.join()
    return before, during


def main():
    with fleet.Fleet() as test_fleet:
        engine = test_fleet.add_engine("e1", first_ms=0, pace_ms=0, slots=4000)
        test_fleet.add_customer("acme", 10 ** 12, max_concurrent=100000,
                                requests_per_minute=100000000)
        test_fleet.start_platform()
        vm = test_fleet.start_vm("vm-a")
        test_fleet.wait_ready()
        run_load(vm.port, 8)
        through_daemon = [run_load(vm.port, 16) for _ in range(ROUNDS)]
        direct = [run_load(engine.port, 16) for _ in range(ROUNDS)]
        rate = statistics.median(item[0] for item in through_daemon)
        print(f"path_requests_per_second: {rate:.0f}")
        print(f"path_rate_ratio_to_direct: "
              f"{rate / statistics.median(i[0] for i in direct):.2f}")
        pace_us = int(1e6 / (rate / 2) * 16)
        pairs = [(run_load(vm.port, 16, pace_us),
                  run_load(engine.port, 16, pace_us))
                 for _ in range(ROUNDS)]
        for index, name in ((1, "p50"), (2, "p99")):
            added = statistics.median(a[index] - b[index] for a, b in pairs)
            print(f"path_added_ms_{name}: {added:.3f}")
        before, during = memory_with_streams(test_fleet, vm, 1000)
        print(f"path_idle_mib: {before:.0f}")
        print(f"path_mib_with_1000_streams: {during:.0f}")


if __name__ == "__main__":
    main()
