"""The only node of a zone is stopped by SIGTERM while clients pipeline requests on kept connections."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f

HOST = "shop.example"
KEY = "key-of-acme"
ROUTE = ("batches", HOST, "/batches/", "archive", "idempotent", 3)
CLIENTS = 6
DEPTH = 3
WORK_S = 0.3
DEADLINE_MS = 3_000
WARM_UP_S = 5
# Requests sent later than this after SIGTERM have no excuse if their server was at work (RULES.md, LOST).
EXCUSED_SENT_S = 3.0


class Client:
    """Keeps a few pipelined requests in progress on one connection until an answer closes it."""

    def __init__(self, number, node, record, requests):
        self.number = number
        self.node = node
        self.record = record
        self.requests = requests

    async def run(self, end_at):
        reader, writer = await asyncio.open_connection(*self.node.address("outbound"))
        pending = []
        count = 0
        while True:
            while len(pending) < DEPTH and self.record.now() < end_at:
                count += 1
                name = f"c{self.number}-{count}"
                pending.append(name)
                self.requests[name] = {"sent": self.record.now(), "status": None, "ended": None}
                self.record.write(f"client: sends {name}")
                writer.write(f.to_request("GET", HOST, f"/batches/{name}", name, DEADLINE_MS, KEY))
                if count <= DEPTH:
                    # Spreads the requests of a connection over the time that one takes.
                    await asyncio.sleep(WORK_S / DEPTH)
            if not pending:
                writer.close()
                return
            answer = await f.exchange(reader, writer, b"", DEADLINE_MS / 1000 + 1)
            if answer is None:
                for name in pending:
                    self.requests[name]["ended"] = self.record.now()
                    self.record.write(f"client: {name} connection ended without an answer")
                return
            name = pending.pop(0)
            self.requests[name].update(status=answer[0], ended=self.record.now())
            self.record.write(f"client: {name} answered {answer[0]} connection={answer[1].get('connection', 'kept')}")
            if answer[1].get(f.ATTEMPT_ID.lower()) != name:
                raise f.CaseError("an answer of another request")
            if answer[1].get("connection") == "close":
                # What was sent behind this answer counts as not read, and would be sent again elsewhere.
                for unread in pending:
                    self.requests[unread].update(ended=self.record.now(), status=0)
                writer.close()
                return


async def case(fleet, record):
    entry = await fleet.add("front", zone="zone-a")
    await fleet.add("archive", zone="zone-b", work_s=WORK_S)
    await fleet.add("archive", zone="zone-c", work_s=WORK_S)
    await fleet.store.publish(f.new_config(10, [ROUTE], ["front", "archive"], [("acme", [KEY], 0, 0)]))
    await fleet.start()
    await fleet.await_ready()
    await asyncio.sleep(1)
    requests = {}
    stop_at = record.now() + WARM_UP_S
    end_at = stop_at + f.GRACE_S + 2
    clients = [asyncio.ensure_future(Client(i, entry, record, requests).run(end_at)) for i in range(CLIENTS)]
    await asyncio.sleep(WARM_UP_S)
    stopped_at = record.now()
    if f.TROUBLE:
        entry.send_signal(signal.SIGTERM)
    await asyncio.gather(*clients)
    if f.TROUBLE:
        await asyncio.wait_for(entry.process.wait(), 10)
        record.say(f"the node ended {record.now() - stopped_at:.1f} s after SIGTERM, exit code {entry.process.returncode}")
    lost = []
    for name, request in requests.items():
        begun = [n.upstream.started_at[name] for n in fleet.nodes if name in n.upstream.started_at]
        sent = request["sent"] - stopped_at
        is_in_time = request["ended"] - request["sent"] < DEADLINE_MS / 1000
        if request["status"] is None and begun and is_in_time and sent > EXCUSED_SENT_S:
            lost.append(f"{name} sent {sent:.2f} s after SIGTERM, run from {min(begun) - stopped_at:.2f} s, cut at {request['ended'] - stopped_at:.2f} s")
    record.say(f"{len(requests)} requests, {sum(1 for r in requests.values() if r['status'] == 200)} served, {len(lost)} lost")
    for line in lost:
        record.say(f"lost: {line}")
    return f.BROKEN if lost else f.HELD


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
