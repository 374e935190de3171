"""Open connections to the store go silent; a later configuration takes a route and a key away."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f

HOST = "shop.example"
KEPT_ROUTE = ("orders", HOST, "/orders/", "orders", "non_idempotent", 5)
DROPPED_ROUTE = ("old", HOST, "/old/", "orders", "non_idempotent", 5)
KEPT_TENANT = ("acme", ["key-kept"], 0, 0)
# After this time no bound of the rule is left: configS, and outerS as if the store had been unstable.
CHECK_AFTER_S = f.CONFIG_S + f.OUTER_S + 1
CHECKS = 8


async def send(node, record, name, path, key):
    request = f.to_request("POST", HOST, path, name, 4000, key, b"one tag", "Connection: close\r\n")
    record.write(f"client: sends {name} POST {path} key={key} to {node.name}")
    status = await f.call(node.address("outbound"), request, 6)
    record.write(f"client: {name} answered {status}")
    return status


async def case(fleet, record):
    proxies = []
    for _ in range(3):
        proxy = f.SilentProxy(fleet.store.address)
        await proxy.start(f"{fleet.network}.201")
        proxies.append(proxy)
        await fleet.add("orders", store_address=proxy.address)
    tenants = [KEPT_TENANT, ("leaving", ["key-withdrawn"], 0, 0)]
    await fleet.store.publish(f.new_config(10, [KEPT_ROUTE, DROPPED_ROUTE], ["orders"], tenants))
    await fleet.start()
    await fleet.await_ready()
    await asyncio.sleep(3)
    for node in fleet.nodes:
        for path, key in (("/orders/1", "key-kept"), ("/orders/1", "key-withdrawn"), ("/old/1", "key-kept")):
            if await send(node, record, f"before-{node.name}-{path.strip('/').replace('/', '-')}-{key}", path, key) != 200:
                raise f.CaseError("a request was not served before the disruption")
    if f.TROUBLE:
        for proxy in proxies:
            proxy.silence()
        record.say("the open connections to the store are silent from now on; new ones work")
    await asyncio.sleep(f.CONTACT_S + 1)
    await fleet.store.publish(f.new_config(14, [KEPT_ROUTE], ["orders"], [KEPT_TENANT]))
    await asyncio.sleep(CHECK_AFTER_S)
    stale = []
    for i in range(CHECKS):
        for node in fleet.nodes:
            for kind, path, key, denied in (("route", "/old/2", "key-kept", 404), ("key", "/orders/2", "key-withdrawn", 401)):
                name = f"after-{kind}-{i}-{node.name}"
                status = await send(node, record, name, path, key)
                runs = sum(n.upstream.run_counts.get(name, 0) for n in fleet.nodes)
                if runs or status != denied:
                    stale.append(f"{name} status={status} runs={runs}")
        await asyncio.sleep(1)
    total = CHECKS * len(fleet.nodes) * 2
    record.say(f"{len(stale)} of {total} requests sent {CHECK_AFTER_S} s and more after the acknowledgement were handled as the older version allows")
    for line in stale[:6]:
        record.say(line)
    return f.BROKEN if stale else f.HELD


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
