"""One server under steady load whose link to the execution engine breaks now and then. Checks that each downstream reply
reaches the engine as the reply to the call that it answers."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 95
REQUESTS_PER_SECOND = 16
BREAK_EVERY = 1.5  # seconds on average
ENGINE_POLL = 0.005  # the engine reads its commands two hundred times in a second
PIECE_GAP = 0.1      # one in four of its notices comes in two pieces, up to 100 ms apart
CORES = 6
MEAN_WORK, SPREAD = 0.3, 0.4  # seconds on a core, lognormal; within the ranges of the site file


async def main():
    random.seed(7)
    world = standins.World()
    plans = {}

    def plan(rid):
        """The work on the cores in seconds and the number of calls, drawn once for each request."""
        is_quick = world.requests[rid]["method"] == "quick-score"
        if rid not in plans:
            plans[rid] = (random.lognormvariate(-SPREAD * SPREAD / 2, SPREAD) * MEAN_WORK,
                          2 if is_quick else 1)
        return plans[rid]

    engine = standins.Engine(world, plan, CORES)
    engine.poll, engine.piece_gap = ENGINE_POLL, PIECE_GAP
    engine.expected_reply = lambda rid, asked: b"reply to " + asked

    async def call(method, path, headers, body):
        await asyncio.sleep(random.uniform(0.005, 0.03))
        return "200 OK", [], b"reply to " + body

    async def report(method, path, headers, body):
        return "204 No Content", [], b""

    port = {name: standins.free_port() for name in ("listen", "agent", "backend", "roster")}
    await engine.listen(port["agent"])
    await standins.HttpStandIn(call).listen(port["backend"])
    await standins.HttpStandIn(report).listen(port["roster"])
    address = {name: "127.0.0.1:%d" % number for name, number in port.items()}
    settings = standins.settings([{"name": "quick-score", "effect": "free", "worth": 1.0},
                                  {"name": "member-review", "effect": "free", "worth": 2.0}], cores=CORES)
    server = standins.Server(world, standins.configuration("n1", address["listen"], address["agent"], address["roster"],
                                                           address["backend"], settings), os.path.join(HERE, "..", ".."))
    server.start()
    try:
        if not await server.wait_until_ready():
            print("the server did not start")
            return 2
        balancers = [standins.Balancer(world, address["listen"], number) for number in range(3)]
        end = time.time() + SECONDS

        async def break_links():
            while TROUBLE and time.time() < end - 2:
                await asyncio.sleep(BREAK_EVERY * random.uniform(0.8, 1.2))
                world.note("the link to the engine breaks")
                engine.break_link(half_notice=True)

        breaking = asyncio.ensure_future(break_links())
        requests = []
        while time.time() < end:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
            method = "quick-score" if random.random() < 0.58 else "member-review"
            requests.append(await random.choice(balancers).send(method, b"position %d" % len(requests), 4500))
        await breaking
        await asyncio.sleep(5)
        server.signal(signal.SIGTERM)
        await asyncio.sleep(3.3)

        answered = [request for request in requests if len(request["answers"]) == 1]
        served = {request["rid"] for request in answered if request["answers"][0][1] == "served"}
        spoilt = {rid for rid, _, _ in engine.wrong_replies}
        share = 1000 * len(spoilt) / len(requests)
        summary = ("%d requests, %d answered once, %d served; %d had the reply to one call delivered as the reply to another "
                   "(%.1f in 1,000), %d of them were answered as served" %
                   (len(requests), len(answered), len(served), len(spoilt), share, len(spoilt & served)))
        world.note(summary)
        print(summary)
        if not served:
            return 2
        return 1 if spoilt else 0
    finally:
        server.end()
        world.write(os.path.join(HERE, "record.txt"))


sys.exit(standins.run_case(main))
