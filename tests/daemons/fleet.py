"""Starts stand-ins and daemons on loopback, and ends them again."""

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
    """A started program whose port is read from its first lines."""

    def __init__(self, arguments, log_path):
        self.log_path = log_path
        self.log = open(log_path, "ab")
        self.process = subprocess.Popen(
            [str(argument) for argument in arguments],
            stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)

    def text(self):
        return pathlib.Path(self.log_path).read_text(errors="replace")

    def wait_for(self, word, seconds=20):
        return wait_until(lambda: word in self.text(), seconds,
                          f"{word!r} in {self.log_path}")

    def signal(self, number):
        self.process.send_signal(number)

    def end(self, seconds=10):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(seconds)
        self.log.close()


def wait_until(holds, seconds, what):
    """Waits for a condition; a bound on hanging, not a speed check."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = holds()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not within {seconds} s: {what}")


def call(port, method, path, body=None, headers=None, timeout=30):
    """One HTTP call. Returns status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read()
    finally:
        connection.close()


def plan(customer, prepaid, **more):
    return {"customer": customer, "prepaid": prepaid,
            "api_keys": [f"key-{customer}"], "weight": 1, **more}


def allowance(customer, targets, **more):
    return {"customer": customer, "targets": targets,
            "priorities": ["urgent", "standard", "bulk"], **more}


class Fleet:
    """One platform, some engines and some daemons."""

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
            process.end()

    def start(self, name, arguments):
        process = Process(arguments, os.path.join(self.folder, name + ".log"))
        self.processes.append(process)
        return process

    def start_standin(self, name, arguments):
        process = self.start(name, [BUILD / "tests/standin", *arguments])
        process.wait_for("ready ")
        port = int(process.text().split("ready ")[1].split()[0])
        process.port = port
        return process

    def add_engine(self, name, dc="dc1", targets=("chat",), kind="engine",
                   first_ms=5, pace_ms=2, slots=8, **more):
        engine = self.start_standin(
            name, ["engine", "--first-ms", first_ms, "--pace-ms", pace_ms,
                   "--slots", slots])
        self.engines[name] = engine
        self.objects[f"fleet/servers/{name}"] = {
            "server": name, "data_centre": dc, "address": "127.0.0.1",
            "port": engine.port, "kind": kind, "targets": list(targets),
            "slots": slots, **more}
        return engine

    def add_customer(self, name, prepaid, targets=("chat", "orders"), **more):
        self.objects[f"fleet/plans/{name}"] = plan(name, prepaid)
        self.objects[f"fleet/allowances/{name}"] = allowance(
            name, list(targets), **more)

    def start_platform(self):
        path = os.path.join(self.folder, "objects.json")
        pathlib.Path(path).write_text(json.dumps(self.objects))
        self.platform = self.start_standin(
            "platform", ["platform", "--objects", path])
        self.platform_port = self.platform.port

    def start_vm(self, name, dc="dc1", seeds=(), **settings):
        values = {"vm": {"name": name, "data_centre": dc,
                         "caller_port": 0, "peer_port": 0},
                  "peers": {"cluster_key": CLUSTER_KEY,
                            "seeds": ",".join(seeds)},
                  "platform": {"port": self.platform_port},
                  "budget": {}, "bills": {"flush_ms": 100}, "requests": {},
                  "operators": {"key": OPERATOR_KEY}, "log": {}}
        for key, value in settings.items():
            section, name_of_key = key.split("__")
            values[section][name_of_key] = value
        path = os.path.join(self.folder, name + ".ini")
        lines = []
        for section, keys in values.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        pathlib.Path(path).write_text("\n".join(lines) + "\n")
        vm = self.start(f"{name}-{len(self.processes)}",
                        [BUILD / "packages/daemon/rosemarydeckd",
                         "--settings", path])
        vm.wait_for("and peers on port ")
        words = vm.text().split("Serving callers on port ")[1]
        vm.port = int(words.split()[0])
        vm.peer_port = int(words.split("peers on port ")[1].split(".")[0])
        vm.name = name
        self.vms[name] = vm
        return vm

    def wait_ready(self, *names):
        for name in names or self.vms:
            port = self.vms[name].port
            wait_until(lambda: call(port, "GET", "/health")[0] == 200, 20,
                       f"{name} ready")

    def status(self, name):
        return json.loads(call(self.vms[name].port, "GET", "/operator/status",
                               headers=operator())[2])

    def wait_peers(self, name, count):
        wait_until(lambda: len(self.status(name)["live"]) == count, 20,
                   f"{name} sees {count} peers")

    def script(self, process, **values):
        call(process.port, "POST", "/script", json.dumps(values))

    def client(self, *words, check=True):
        vms = ",".join(f"127.0.0.1:{vm.port}" for vm in self.vms.values()
                       if vm.process.poll() is None)
        done = subprocess.run(
            [str(BUILD / "packages/client/rosemarydeck"), "--vm", vms,
             *[str(word) for word in words]],
            capture_output=True, text=True,
            env={**os.environ, "ROSEMARYDECK_KEY": OPERATOR_KEY})
        if check and done.returncode != 0:
            raise AssertionError(f"{words}: {done.returncode} {done.stderr}")
        return done

    def platform_list(self, prefix):
        body = call(self.platform_port, "GET", f"/v1/list?prefix={prefix}")[2]
        return {item["name"]: json.loads(item["value"])
                for item in json.loads(body)["objects"]}

    def bills(self, customer):
        """Bills by key; a key billed twice in different batches shows."""
        found = {}
        for batch in self.platform_list("bills/").values():
            for bill in batch["bills"]:
                if bill["customer"] == customer:
                    found.setdefault(bill["key"], []).append(bill)
        return found

    def account(self, customer):
        return self.platform_list(f"accounts/{customer}").get(
            f"accounts/{customer}")

    def wait_bills(self, customer, count, seconds=20):
        wait_until(lambda: len(self.bills(customer)) >= count, seconds,
                   f"{count} bills of {customer}")
        return self.bills(customer)


def operator():
    return {"Authorization": f"Bearer {OPERATOR_KEY}"}


def headers(customer, key=None, priority=None, **more):
    values = {"Authorization": f"Bearer key-{customer}",
              "Content-Type": "application/json", **more}
    if key:
        values["Idempotency-Key"] = key
    if priority:
        values["X-Priority"] = priority
    return values


def chat_body(text="hello", tokens=8, stream=False, **more):
    return json.dumps({"model": "chat", "max_tokens": tokens, "stream": stream,
                       "messages": [{"role": "user", "content": text}],
                       **more})


def chat(port, customer, key=None, text="hello", tokens=8, stream=False,
         priority=None, timeout=30):
    """Asks for an answer; returns status and parsed body or stream events."""
    status, _, body = call(port, "POST", "/v1/chat/completions",
                           chat_body(text, tokens, stream),
                           headers(customer, key, priority), timeout)
    if not stream or status != 200:
        return status, json.loads(body)
    return status, stream_events(body)


def stream_events(body):
    lines = [line[6:] for line in body.decode().split("\n")
             if line.startswith("data: ")]
    return [line if line == "[DONE]" else json.loads(line) for line in lines]


def stream_text(events):
    return "".join(choice["delta"].get("content", "")
                   for event in events if isinstance(event, dict)
                   for choice in event.get("choices", []))


def kill(process):
    process.signal(signal.SIGKILL)
    process.process.wait(10)
