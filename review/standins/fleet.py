"""Stand-ins and helpers that the cases of the review share.

A case starts the nodes of the deploy file as separate processes. The platform's store, the servers next to the nodes,
the clients and the proxies run in this process, on one asyncio loop. Only loopback addresses are used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ATTEMPT_ID = "X-Cranberryarch-Attempt-Id"
DEADLINE = "X-Cranberryarch-Deadline-Ms"
STAMP = "X-Cranberryarch-Response-Stamp"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_CASE_S = 115
LAST_LOG_LINES = 3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the small deployments (SYSTEM.md), in seconds.
CONTACT_S = 3
CONFIG_S = 2
OUTER_S = 5
GRACE_S = 6
RECOVERY_S = 15
HEARTBEAT_S = 1.5


class CaseError(Exception):
    """The case could not run, so that its result says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def new_network():
    """Returns the first three bytes of a loopback network, which differs between concurrent runs."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


async def read_head(reader):
    """Reads a start line and headers; returns None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", "0")))


def to_response(status, headers, body):
    head = f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}\r\n"
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


class Store:
    """The platform's metadata store: rows, feeds of changes and objects, as PROTOCOL.md describes them."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def put(self, table, key, value):
        """Writes a row as the operator, or as another writer, and returns once the store has it."""
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = {
                "table": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(value).decode(),
                "schemaVer": self.version,
            }
            self.changed.notify_all()

    async def publish(self, config):
        await self.put("op", "config", json.dumps(config).encode())
        self.record.write(f"operator: configuration {config['version']} acknowledged by the store")

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, answer = await self._answer(method, target, body)
                answer.update(schemaVer=answer.get("schemaVer", self.version), nowS=time.monotonic())
                writer.write(to_response(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/rows-tx":
            return await self._commit(json.loads(body))
        if path == "/rows-get":
            return 200, self._select(query)
        if path == "/rows-feed":
            return await self._feed(query)
        if path.startswith("/blob-put/"):
            return 200, {}
        return 404, {}

    async def _commit(self, call):
        async with self.changed:
            for row in call.get("precondition", []):
                current = self.rows.get((row["table"], row.get("part", ""), row["key"]))
                if (current["schemaVer"] if current else 0) != row["schemaVer"]:
                    return 412, {"rows": [current] if current else []}
            self.version += 1
            for row in call.get("writes", []):
                if row["table"] in ("op", "servers"):
                    return 403, {}
                key = (row["table"], row.get("part", ""), row["key"])
                self.rows[key] = {**row, "part": key[1], "schemaVer": self.version}
            for row in call.get("deletes", []):
                self.rows.pop((row["table"], row.get("part", ""), row["key"]), None)
            self.changed.notify_all()
            return 200, {}

    def _select(self, query):
        found = sorted(
            (
                row
                for row in self.rows.values()
                if row["table"] == query["table"]
                and row["part"] == query.get("part", "")
                and row["key"] >= query.get("from", "")
                and ("target" not in query or row["key"] < query["target"])
            ),
            key=lambda row: row["key"],
        )
        limit = min(500, int(query.get("limit", "500")))
        return {"rows": found[:limit], "hasMore": len(found) > limit}

    async def _feed(self, query):
        after = int(query["after"])
        changed = lambda: [
            row for row in self.rows.values() if row["table"] == query["table"] and row["schemaVer"] > after
        ]
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(changed), int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
            return 200, {"rows": sorted(changed(), key=lambda row: row["schemaVer"])}


class Upstream:
    """A sound server of a service: runs up to its slots, queues a few more, and sends heartbeats to its node."""

    def __init__(self, record, service, name, slots, work_s, body=b"done", queue=200):
        self.record = record
        self.service = service
        self.instance = f"i-{name}"
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.waiting = 0
        self.work_s = work_s
        self.body = body
        self.started_at = {}
        self.ended_at = {}
        self.run_counts = {}
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.control = None
        self.server = None
        self.address = None

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def beat_forever(self):
        while True:
            self.sequence += 1
            body = {
                "address": f"{self.address[0]}:{self.address[1]}",
                "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": "zone-a", "slots": self.slot_count},
                "status": {"state": "ready", "seq": self.sequence, "coldLeftS": 0},
            }
            await post_json(self.control, f"/instances/{self.instance}/heartbeat", body)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if target == "/health":
                    writer.write(to_response(200, {"X-Cranberryarch-Instance-Id": self.instance}, b""))
                else:
                    run = asyncio.ensure_future(self._run(headers, method, target, body))
                    closed = asyncio.ensure_future(reader.read(1))
                    await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
                    if not run.done():
                        # Drops a request whose connection closes.
                        run.cancel()
                        self.record.write(f"server {self.instance}: dropped {headers.get(ATTEMPT_ID.lower())}, its connection closed")
                        return
                    closed.cancel()
                    try:
                        await closed
                    except asyncio.CancelledError:
                        pass
                    writer.write(run.result())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, headers, method, target, body):
        request_id = headers.get(ATTEMPT_ID.lower(), "")
        echo = {ATTEMPT_ID: request_id}
        not_run = {**echo, "X-Cranberryarch-Not-Executed": "1"}
        if headers.get("x-cranberryarch-expect-instance", self.instance) != self.instance:
            return to_response(421, not_run, b"")
        if self.slots.locked() and self.waiting >= self.queue:
            return to_response(503, not_run, b"")
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            self.started_at.setdefault(request_id, self.record.now())
            self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
            tenant = headers.get("x-cranberryarch-tenant-name", "-")
            self.record.write(f"server {self.instance}: runs {request_id} {method} {target} tenant={tenant}")
            await asyncio.sleep(self.work_s)
            self.ended_at[request_id] = self.record.now()
            return to_response(200, {**echo, STAMP: f"stamp-{request_id}"}, self.body)
        finally:
            self.slots.release()


class SilentProxy:
    """Forwards connections. After silence(), the open ones stay open and carry nothing, while new ones work."""

    def __init__(self, target):
        self.target = target
        self.generation = 0
        self.server = None
        self.address = None

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def silence(self):
        self.generation += 1

    async def _serve(self, reader, writer):
        generation = self.generation
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, target_writer, generation), self._copy(target_reader, writer, generation)
        )

    async def _copy(self, reader, writer, generation):
        try:
            while data := await reader.read(65536):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if generation == self.generation:
            writer.close()


async def exchange(reader, writer, request, timeout_s):
    """Sends a request on an open connection; returns (status, headers, body), or None if there is no whole answer."""
    try:
        writer.write(request)
        await writer.drain()
        head = await asyncio.wait_for(read_head(reader), timeout_s)
        if head is None:
            return None
        body = await asyncio.wait_for(read_body(reader, head[1]), timeout_s)
        return int(head[0].split(" ")[1]), head[1], body
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


async def post_json(address, path, body):
    """Sends a call on a new connection; returns the status, or None if there is no answer within a second."""
    data = json.dumps(body).encode()
    request = (
        f"POST {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    ).encode() + data
    return await call(address, request, 1)


async def call(address, request, timeout_s):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        answer = await exchange(reader, writer, request, timeout_s)
        return answer[0] if answer else None
    finally:
        writer.close()


def to_request(method, host, path, request_id, deadline_ms, key=None, body=b"", more=""):
    lines = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{ATTEMPT_ID}: {request_id}\r\n{DEADLINE}: {deadline_ms}\r\n"
    if key is not None:
        lines += f"Authorization: Bearer {key}\r\n"
    if method == "POST":
        lines += f"Content-Length: {len(body)}\r\n"
    return f"{lines}{more}\r\n".encode() + body


class Node:
    """A node process, started with the command of the deploy file in the root of the repository."""

    def __init__(self, fleet, index, service, upstream, zone):
        self.fleet = fleet
        self.name = f"node-{index}"
        self.service = service
        self.zone = zone
        self.upstream = upstream
        self.host = f"{fleet.network}.{index}"
        self.ports = {name: free_port(self.host) for name in ("outbound", "inbound", "ready", "control", "metrics")}
        self.process = None
        self.log_file = os.path.join(fleet.folder, f"{self.name}.log")
        self.store_address = fleet.store.address

    def address(self, name):
        return (self.host, self.ports[name])

    def _settings(self):
        text = lambda address: f"{address[0]}:{address[1]}"
        values = {
            "nodeName": self.name,
            "zone": self.zone,
            "service": self.service,
            "listen.outbound": text(self.address("outbound")),
            "listen.inbound": text(self.address("inbound")),
            "listen.ready": text(self.address("ready")),
            "listen.control": text(self.address("control")),
            "ip": self.host,
            "internalPorts.0": str(self.ports["metrics"]),
            "appAddr": text(self.upstream.address),
            "heartbeatS": str(HEARTBEAT_S),
            "platform.address": text(self.store_address),
            "seeds": "",
            "bounds.graceS": str(GRACE_S),
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetSlack": "50",
            "bounds.quotaWindowS": "5",
            "bounds.quotaOver": "0.1",
            "bounds.quotaSlack": "20",
        }
        template = open(os.path.join(ROOT, self.fleet.role["template"]), encoding="utf-8").read()
        return re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match.group(1)], template)

    async def start(self):
        settings = os.path.join(self.fleet.folder, f"{self.name}.ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self._settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG") if name in os.environ}
        environment["CRANBERRYARCH_CONFIG"] = settings
        with open(self.log_file, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.fleet.role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.fleet.record.write(f"{self.name}: started")

    def send_signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.write(f"{self.name}: {signal.Signals(number).name}")

    async def is_ready(self):
        request = f"GET /ready HTTP/1.1\r\nHost: {self.host}\r\nConnection: close\r\n\r\n".encode()
        return await call(self.address("ready"), request, 1) == 200


class Fleet:
    """The nodes with their servers, and the store."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = new_network()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        for built in ("cranberryarch.jar", "cranberryarch.jsa"):
            if not os.path.exists(os.path.join(ROOT, "target", built)):
                raise CaseError(f"target/{built} is missing: run the build of the deploy file first")
        self.store = Store(record)
        self.nodes = []
        self.tasks = []

    async def add(self, service, slots=20, work_s=0.01, body=b"done", store_address=None, queue=200, zone="zone-a"):
        index = len(self.nodes) + 1
        upstream = Upstream(self.record, service, f"{service}-{index}", slots, work_s, body, queue)
        await upstream.start(f"{self.network}.{index}")
        node = Node(self, index, service, upstream, zone)
        if store_address:
            node.store_address = store_address
        upstream.control = node.address("control")
        self.nodes.append(node)
        return node

    async def start(self):
        for node in self.nodes:
            await node.start()
            self.tasks.append(asyncio.ensure_future(node.upstream.beat_forever()))

    async def await_ready(self, timeout_s=30):
        end = time.monotonic() + timeout_s
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end:
                    raise CaseError(f"{node.name} is not ready after {timeout_s} s")
                await asyncio.sleep(0.1)
        self.record.write("all nodes are ready")

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
            if node.process:
                with open(node.log_file, encoding="utf-8", errors="replace") as log:
                    for line in log.readlines()[-LAST_LOG_LINES:]:
                        self.record.write(f"{node.name} logged: {line.rstrip()}")
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_config(version, routes, services, tenants, idle_timeout_s=30):
    """Builds a configuration in the operator's format. A route is (name, host, prefix, service, kind, timeoutS)."""
    return {
        "version": f"r{version}",
        "routes": {
            "columns": ["name", "host", "prefix", "service", "kind", "timeoutS", "targetLatencyS", "priority", "maxAttempts"],
            "rows": [[name, host, prefix, service, kind, timeout, 1.5, 1, 2] for name, host, prefix, service, kind, timeout in routes],
        },
        "services": {
            "columns": ["name", "healthPath", "maxConnections"],
            "rows": [[service, "/health", 700] for service in services],
        },
        "tenants": {
            "columns": ["name", "apiKeys", "ratePerS", "burst"],
            "rows": [[name, keys, rate, burst] for name, keys, rate, burst in tenants],
        },
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1048576, "headerTimeoutS": 5, "idleTimeoutS": idle_timeout_s},
    }


def run_case(folder, case):
    """Runs a case, prints its result and exits with it: 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    record = Record(folder)
    record.say(f"trouble={'on' if TROUBLE else 'off'}")

    async def run():
        fleet = Fleet(record)
        try:
            await fleet.store.start(f"{fleet.network}.200")
            return await asyncio.wait_for(case(fleet, record), MAX_CASE_S)
        finally:
            await fleet.close()

    try:
        status = asyncio.run(run())
    except (CaseError, asyncio.TimeoutError, OSError) as failure:
        record.say(f"could not run: {type(failure).__name__} {failure}")
        status = COULD_NOT_RUN
    except Exception as failure:  # An error of the script itself must not look like a broken rule.
        record.say(f"could not run: {failure!r}")
        status = COULD_NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no result"}[status])
    record.file.close()
    # The connections of the stand-ins need no orderly end.
    os._exit(status)
