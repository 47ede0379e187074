"""CPU, messages and memory of an idle VM, by the number of VMs."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "daemons"))
import fleet  # noqa: E402

FLEET_SIZES = (2, 4, 8, 16)
MEASUREMENT_S = 6


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def resident_mib(pid):
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2 ** 20


def peer_messages_sent(vm):
    text = fleet.call(vm.port, "GET", "/metrics")[2].decode()
    for line in text.split("\n"):
        if line.startswith("rosemarydeck_peer_messages_sent "):
            return int(line.split()[1])
    return 0


def measure(size):
    """Returns CPU in percent of a core, messages per second and memory in MiB.

    Measured on the first VM of an idle fleet of this size.
    """
    with fleet.Fleet() as test_fleet:
        test_fleet.add_customer("acme", 1000)
        test_fleet.start_platform()
        first = test_fleet.start_vm("vm-0")
        for number in range(1, size):
            test_fleet.start_vm(f"vm-{number}",
                                seeds=[f"127.0.0.1:{vm.peer_port}"
                                       for vm in test_fleet.vms.values()])
        test_fleet.wait_ready()
        for name in test_fleet.vms:
            test_fleet.wait_peers(name, size - 1)
        pid = first.process.pid
        cpu, messages = cpu_seconds(pid), peer_messages_sent(first)
        time.sleep(MEASUREMENT_S)
        return ((cpu_seconds(pid) - cpu) / MEASUREMENT_S * 100,
                (peer_messages_sent(first) - messages) / MEASUREMENT_S,
                resident_mib(pid))


def fit_line(points):
    """Fits a line by least squares.

    Returns its slope, its value at 0 and the largest error of a point.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in points) /
             sum((x - mean_x) ** 2 for x, _ in points))
    intercept = mean_y - slope * mean_x
    return slope, intercept, max(abs(y - intercept - slope * x)
                                 for x, y in points)


def main():
    figures = {size: measure(size) for size in FLEET_SIZES}
    for index, name in enumerate(("core_percent", "messages_per_second",
                                  "resident_mib")):
        for size in FLEET_SIZES:
            print(f"idle_{name}_{size}_vms: {figures[size][index]:.3f}")
        slope, intercept, error = fit_line([(size, figures[size][index])
                                            for size in FLEET_SIZES])
        print(f"idle_{name}_slope: {slope:.4f}")
        print(f"idle_{name}_base: {intercept:.3f}")
        print(f"idle_{name}_fit_error: {error:.3f}")


if __name__ == "__main__":
    main()
