"""Idle cost of control on one VM, against the number of VMs in the fleet."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "daemons"))
import fleet  # noqa: E402

SIZES = (2, 4, 8, 16)
SPAN_S = 6


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def resident_mib(pid):
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2 ** 20


def sent(vm):
    text = fleet.call(vm.port, "GET", "/metrics")[2].decode()
    for line in text.split("\n"):
        if line.startswith("rosemarydeck_peer_messages_sent "):
            return int(line.split()[1])
    return 0


def measure(size):
    with fleet.Fleet() as trial:
        trial.add_customer("acme", 1000)
        trial.start_platform()
        first = trial.start_vm("vm-0")
        for number in range(1, size):
            trial.start_vm(f"vm-{number}",
                           seeds=[f"127.0.0.1:{vm.peer_port}"
                                  for vm in trial.vms.values()])
        trial.wait_ready()
        for name in trial.vms:
            trial.wait_peers(name, size - 1)
        pid = first.process.pid
        cpu, messages = cpu_seconds(pid), sent(first)
        time.sleep(SPAN_S)
        return ((cpu_seconds(pid) - cpu) / SPAN_S * 100,
                (sent(first) - messages) / SPAN_S, resident_mib(pid))


def slope(points):
    """Least squares: slope, value at 0, and largest error of the fit."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    rise = (sum((x - mean_x) * (y - mean_y) for x, y in points) /
            sum((x - mean_x) ** 2 for x, _ in points))
    base = mean_y - rise * mean_x
    return rise, base, max(abs(y - base - rise * x) for x, y in points)


def main():
    found = {size: measure(size) for size in SIZES}
    for index, name in enumerate(("core_percent", "messages_per_second",
                                  "resident_mib")):
        for size in SIZES:
            print(f"idle_{name}_{size}_vms: {found[size][index]:.3f}")
        rise, base, error = slope([(s, found[s][index]) for s in SIZES])
        print(f"idle_{name}_slope: {rise:.4f}")
        print(f"idle_{name}_base: {base:.3f}")
        print(f"idle_{name}_fit_error: {error:.3f}")


if __name__ == "__main__":
    main()
