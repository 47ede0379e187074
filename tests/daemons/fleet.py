"""Runs stand-ins, daemons and clients on loopback, for tests and benches."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

BUILD = pathlib.Path(os.environ.get("ROSEMARYDECK_BUILD", "build")).resolve()
CLUSTER_KEY = "trial-cluster-key-0123456789"
OPERATOR_KEY = "trial-operator-key-0123456789"


class Process:
    """A child process that writes its output to a log file."""

    def __init__(self, arguments, log_path):
        self.log_path = log_path
        self.log = open(log_path, "ab")
        self.process = subprocess.Popen(
            [str(argument) for argument in arguments],
            stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)

    def log_text(self):
        return pathlib.Path(self.log_path).read_text(errors="replace")

    def wait_for_log(self, text, timeout_s=20):
        """Waits until the log contains the text."""
        return wait_until(lambda: text in self.log_text(), timeout_s,
                          f"{text!r} in {self.log_path}")

    def send_signal(self, number):
        self.process.send_signal(number)

    def stop(self, timeout_s=10):
        """Kills the process if it is running, and closes the log."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(timeout_s)
        self.log.close()


def wait_until(condition, timeout_s, description):
    """Polls a condition and returns its first true value.

    The timeout only keeps a test from hanging; it is no check of speed.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(
        f"timed out after {timeout_s} s waiting for: {description}")


def call(port, method, path, body=None, headers=None, timeout=30):
    """Makes one HTTP request; returns status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read()
    finally:
        connection.close()


def plan(customer, prepaid, **extra):
    """Returns the plan object of a customer, with one API key."""
    return {"customer": customer, "prepaid": prepaid,
            "api_keys": [f"key-{customer}"], "weight": 1, **extra}


def allowance(customer, targets, **extra):
    """Returns an allowance object that permits all priorities."""
    return {"customer": customer, "targets": targets,
            "priorities": ["urgent", "standard", "bulk"], **extra}


class Fleet:
    """A platform stand-in with engine stand-ins and daemons (VMs).

    Engines and customers are added before start_platform(), which loads
    their objects. Leaving the context kills all processes.
    """

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="rosemarydeck-")
        self.processes = []
        self.engines = {}
        self.vms = {}
        self.objects = {}
        self.platform_port = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.stop()

    def start_process(self, name, arguments):
        process = Process(arguments, os.path.join(self.folder, name + ".log"))
        self.processes.append(process)
        return process

    def start_standin(self, name, arguments):
        process = self.start_process(name,
                                     [BUILD / "tests/standin", *arguments])
        process.wait_for_log("ready ")
        port = int(process.log_text().split("ready ")[1].split()[0])
        process.port = port
        return process

    def add_engine(self, name, dc="dc1", targets=("chat",), kind="engine",
                   first_ms=5, pace_ms=2, slots=8, **extra):
        engine = self.start_standin(
            name, ["engine", "--first-ms", first_ms, "--pace-ms", pace_ms,
                   "--slots", slots])
        self.engines[name] = engine
        self.objects[f"fleet/servers/{name}"] = {
            "server": name, "data_centre": dc, "address": "127.0.0.1",
            "port": engine.port, "kind": kind, "targets": list(targets),
            "slots": slots, **extra}
        return engine

    def add_customer(self, name, prepaid, targets=("chat", "orders"), **extra):
        self.objects[f"fleet/plans/{name}"] = plan(name, prepaid)
        self.objects[f"fleet/allowances/{name}"] = allowance(
            name, list(targets), **extra)

    def start_platform(self):
        path = os.path.join(self.folder, "objects.json")
        pathlib.Path(path).write_text(json.dumps(self.objects))
        self.platform = self.start_standin(
            "platform", ["platform", "--objects", path])
        self.platform_port = self.platform.port

    def start_vm(self, name, dc="dc1", seeds=(), **settings):
        """Starts a daemon. A setting is given as section__key=value."""
        values = {"vm": {"name": name, "data_centre": dc,
                         "caller_port": 0, "peer_port": 0},
                  "peers": {"cluster_key": CLUSTER_KEY,
                            "seeds": ",".join(seeds)},
                  "platform": {"port": self.platform_port},
                  "budget": {}, "bills": {"flush_ms": 100}, "requests": {},
                  "operators": {"key": OPERATOR_KEY}, "log": {}}
        for key, value in settings.items():
            section, setting = key.split("__")
            values[section][setting] = value
        path = os.path.join(self.folder, name + ".ini")
        lines = []
        for section, keys in values.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        pathlib.Path(path).write_text("\n".join(lines) + "\n")
        vm = self.start_process(f"{name}-{len(self.processes)}",
                                [BUILD / "packages/daemon/rosemarydeckd",
                                 "--settings", path])
        vm.wait_for_log("and peers on port ")
        words = vm.log_text().split("Serving callers on port ")[1]
        vm.port = int(words.split()[0])
        vm.peer_port = int(words.split("peers on port ")[1].split(".")[0])
        vm.name = name
        self.vms[name] = vm
        return vm

    def wait_ready(self, *names):
        for name in names or self.vms:
            port = self.vms[name].port
            wait_until(lambda: call(port, "GET", "/health")[0] == 200, 20,
                       f"{name} to be ready")

    def status(self, name):
        return json.loads(call(self.vms[name].port, "GET", "/operator/status",
                               headers=operator_headers())[2])

    def wait_peers(self, name, count):
        wait_until(lambda: len(self.status(name)["live"]) == count, 20,
                   f"{name} to see {count} live peers")

    def set_script(self, process, **values):
        """Changes the behaviour of a stand-in; other values stay."""
        call(process.port, "POST", "/script", json.dumps(values))

    def run_client(self, *words, check=True):
        """Runs the operator client against all VMs that are up."""
        vms = ",".join(f"127.0.0.1:{vm.port}" for vm in self.vms.values()
                       if vm.process.poll() is None)
        result = subprocess.run(
            [str(BUILD / "packages/client/rosemarydeck"), "--vm", vms,
             *[str(word) for word in words]],
            capture_output=True, text=True,
            env={**os.environ, "ROSEMARYDECK_KEY": OPERATOR_KEY})
        if check and result.returncode != 0:
            raise AssertionError(f"client {words} exited with "
                                 f"{result.returncode}: {result.stderr}")
        return result

    def list_objects(self, prefix):
        body = call(self.platform_port, "GET", f"/v1/list?prefix={prefix}")[2]
        return {item["name"]: json.loads(item["value"])
                for item in json.loads(body)["objects"]}

    def bills(self, customer):
        """Returns all bills of a customer, as lists by idempotency key."""
        bills_by_key = {}
        for batch in self.list_objects("bills/").values():
            for bill in batch["bills"]:
                if bill["customer"] == customer:
                    bills_by_key.setdefault(bill["key"], []).append(bill)
        return bills_by_key

    def account(self, customer):
        return self.list_objects(f"accounts/{customer}").get(
            f"accounts/{customer}")

    def wait_bills(self, customer, count, timeout_s=20):
        wait_until(lambda: len(self.bills(customer)) >= count, timeout_s,
                   f"{count} billed keys of {customer}")
        return self.bills(customer)


def operator_headers():
    return {"Authorization": f"Bearer {OPERATOR_KEY}"}


def customer_headers(customer, key=None, priority=None, **extra):
    values = {"Authorization": f"Bearer key-{customer}",
              "Content-Type": "application/json", **extra}
    if key:
        values["Idempotency-Key"] = key
    if priority:
        values["X-Priority"] = priority
    return values


def chat_body(text="hello", tokens=8, stream=False, **extra):
    return json.dumps({"model": "chat", "max_tokens": tokens, "stream": stream,
                       "messages": [{"role": "user", "content": text}],
                       **extra})


def chat(port, customer, key=None, text="hello", tokens=8, stream=False,
         priority=None, timeout=30):
    """Sends a chat request; returns status and parsed body or events."""
    status, _, body = call(port, "POST", "/v1/chat/completions",
                           chat_body(text, tokens, stream),
                           customer_headers(customer, key, priority), timeout)
    if not stream or status != 200:
        return status, json.loads(body)
    return status, parse_stream(body)


def parse_stream(body):
    """Returns the data of each server-sent event, parsed; [DONE] as text."""
    lines = [line[6:] for line in body.decode().split("\n")
             if line.startswith("data: ")]
    return [line if line == "[DONE]" else json.loads(line) for line in lines]


def stream_text(events):
    """Returns the joined content of all events."""
    return "".join(choice["delta"].get("content", "")
                   for event in events if isinstance(event, dict)
                   for choice in event.get("choices", []))


def kill(process):
    """Kills a process as a crash would: it can neither drain nor flush."""
    process.send_signal(signal.SIGKILL)
    process.process.wait(10)
