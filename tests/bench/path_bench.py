"""One daemon against the stand-in engine called directly, turn by turn."""

import pathlib
import statistics
import subprocess
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "daemons"))
import fleet  # noqa: E402

ROUNDS = 3


def load(port, callers, pace_us=0):
    out = subprocess.run(
        [str(fleet.BUILD / "tests/path_bench"), str(port), str(callers), "2",
         str(pace_us)], capture_output=True, text=True, check=True).stdout
    rate, median, p99, failed = out.split()
    assert int(failed) == 0, out
    return float(rate), float(median), float(p99)


def memory(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise AssertionError("no VmRSS")


def open_streams(trial, vm, count):
    """Memory of the daemon with this many streams open."""
    engine = trial.engines["e1"]
    trial.script(engine, pace_ms=2000)
    before = memory(vm.process.pid)

    def ask(number):
        fleet.chat(vm.port, "acme", f"s{number}", tokens=3, stream=True,
                   timeout=60)
    threads = [threading.Thread(target=ask, args=(number,))
               for number in range(count)]
    for thread in threads:
        thread.start()
    fleet.wait_until(
        lambda: trial.status("vm-a")["open_requests"] >= count, 30,
        "open streams")
    during = memory(vm.process.pid)
    for thread in threads:
        thread.join()
    return before, during


def main():
    with fleet.Fleet() as trial:
        engine = trial.add_engine("e1", first_ms=0, pace_ms=0, slots=4000)
        trial.add_customer("acme", 10 ** 12, max_concurrent=100000,
                           requests_per_minute=100000000)
        trial.start_platform()
        vm = trial.start_vm("vm-a")
        trial.wait_ready()
        load(vm.port, 8)
        through = [load(vm.port, 16) for _ in range(ROUNDS)]
        direct = [load(engine.port, 16) for _ in range(ROUNDS)]
        rate = statistics.median(item[0] for item in through)
        print(f"path_requests_per_second: {rate:.0f}")
        print(f"path_rate_ratio_to_direct: "
              f"{rate / statistics.median(i[0] for i in direct):.2f}")
        pace_us = int(1e6 / (rate / 2) * 16)
        pairs = [(load(vm.port, 16, pace_us), load(engine.port, 16, pace_us))
                 for _ in range(ROUNDS)]
        for index, name in ((1, "p50"), (2, "p99")):
            added = statistics.median(a[index] - b[index] for a, b in pairs)
            print(f"path_added_ms_{name}: {added:.3f}")
        before, during = open_streams(trial, vm, 1000)
        print(f"path_idle_mib: {before:.0f}")
        print(f"path_mib_with_1000_streams: {during:.0f}")


if __name__ == "__main__":
    main()
