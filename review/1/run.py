"""Three servers, one of which stands still for some 340 ms now and then under load above its capacity. Balancers wait briefly and
try often; a server hears late, or not at all, that a balancer has given up a try. Checks that a keyed request runs once within
its window."""

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
SPELLS, QUIET = (33, 33, 15), 5              # seconds; the site file: pauses for 15 to 33 s at a time,
PAUSE, BETWEEN = (0.3, 0.38), (0.96, 1.4)    # of 120 to 380 ms each, 0.96 to 2.8 s apart, on at most 41% of the servers
CORES = 2
WORK = {"availability": 0.036, "itinerary": 0.036, "book-seats": 0.016}   # mean seconds on a core: a tenth of the site's
SHARE = {"availability": 0.36, "itinerary": 0.32, "book-seats": 0.32}
FIRST_TRIES = (80, 15, 15)   # in a second at each server; the cores can do about 67
WINDOW = 5.0
PATIENCE = 0.12       # how long a balancer waits before it gives up a try and makes the next
MAX_TRIES = 4
LATE = (0.02, 0.6)    # how late the server hears that a try was given up


class Machine:
    """A server with its engine and the balancers that send to it."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.engine = standins.Engine(world, self.plan, CORES)
        self.work = {}
        self.server = None
        self.balancers = []
        self.tries, self.running = [], []

    def plan(self, rid):
        mean = WORK[self.world.requests[rid]["method"]]
        return self.work.setdefault(rid, random.lognormvariate(-0.18, 0.6) * mean), 0

    async def start(self, roster):
        agent, listen = standins.free_port(), "127.0.0.1:%d" % standins.free_port()
        await self.engine.listen(agent)
        common = {"lateWorth": 0.0}
        settings = standins.settings(
            [dict(common, name="availability", effect="free", aimNs=2900000000, hardLimitNs=7300000000),
             dict(common, name="itinerary", effect="free", aimNs=2900000000, hardLimitNs=8800000000),
             dict(common, name="book-seats", effect="guarded", aimNs=1500000000, hardLimitNs=3500000000,
                  windowNs=int(WINDOW * 1e9), worth=3.0)],
            cores=CORES, passesDeadline=False, runFactor=8.0, signal="none", readiness=False, below="none",
            classCalls=[False] * 3)
        settings["servers"] = 3
        settings["invariants"].update(fallMultiple=5.0, stopSendingWithinNs=2500000000)
        self.server = standins.Server(self.world, standins.configuration(
            self.name, listen, "127.0.0.1:%d" % agent, roster, "", settings), os.path.join(HERE, "..", ".."))
        self.server.start()
        self.balancers = [standins.Balancer(self.world, listen, number) for number in range(3)]
        return await self.server.wait_until_ready()

    async def book(self, number):
        """One request of a client, tried again by the same balancer while no answer comes."""
        balancer, token = random.choice(self.balancers), "%016x" % random.getrandbits(64)
        for attempt in range(MAX_TRIES):
            request = await balancer.send("book-seats", b"booking %d" % number, 3500, token)
            self.tries.append(request)
            done, _ = await asyncio.wait([request["future"]], timeout=PATIENCE if attempt + 1 < MAX_TRIES else 4)
            if done:
                return
            asyncio.get_running_loop().call_later(random.uniform(*LATE), self.tell_given_up, request)

    @staticmethod
    def tell_given_up(request):
        if not request["over"]:
            request["balancer"].cancel(request)

    async def load(self, per_second, end):
        number = 0
        while time.time() < end:
            await asyncio.sleep(random.expovariate(per_second))
            number += 1
            method = random.choices(list(SHARE), list(SHARE.values()))[0]
            if method == "book-seats":
                self.running.append(asyncio.ensure_future(self.book(number)))
            else:
                await random.choice(self.balancers).send(method, b"question %d" % number, 7300)

    async def stand_still(self):
        """What is sent to the machine meanwhile reaches it, in order, when it goes on."""
        self.world.note(self.name, "stands still")
        self.engine.hold = True
        self.world.hold(self.balancers)
        self.server.signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(*PAUSE))
        self.server.signal(signal.SIGCONT)
        self.world.release()
        self.engine.hold = False
        self.world.note(self.name, "goes on")


async def main():
    random.seed(11)
    world = standins.World()

    async def report(method, path, headers, body):
        while world.held is not None:
            await asyncio.sleep(0.002)
        return "204 No Content", [], b""

    roster = standins.free_port()
    await standins.HttpStandIn(report).listen(roster)
    machines = [Machine(world, "n%d" % (number + 1)) for number in range(3)]
    try:
        for machine in machines:
            if not await machine.start("127.0.0.1:%d" % roster):
                print("a server did not start")
                return 2
        end = time.time() + sum(SPELLS) + QUIET * len(SPELLS)

        async def pauses():
            for seconds in SPELLS:
                until = time.time() + seconds - PAUSE[1]
                while TROUBLE and time.time() < until:
                    await machines[0].stand_still()
                    await asyncio.sleep(random.uniform(*BETWEEN))
                await asyncio.sleep(QUIET)

        await asyncio.gather(pauses(), *[machine.load(rate, end) for machine, rate in zip(machines, FIRST_TRIES)])
        await asyncio.wait([task for machine in machines for task in machine.running], timeout=8)
        for machine in machines:
            machine.server.signal(signal.SIGTERM)
        await asyncio.sleep(3.3)

        by_token = {}
        for machine in machines:
            for request in machine.tries:
                by_token.setdefault(request["token"], []).append(request)
        twice = 0
        for token, same in by_token.items():
            ran = sorted((request["sent"], request["rid"], run) for request in same for run in request["runs"])
            if any(later[0] - earlier[0] < WINDOW for earlier, later in zip(ran, ran[1:])):
                twice += 1
                world.note("RAN TWICE:", token, ", ".join("try %s sent at %.3f ran at %.3f" %
                                                          (rid, sent - world.started, run - world.started)
                                                          for sent, rid, run in ran))
        runs = sum(len(request["runs"]) for same in by_token.values() for request in same)
        summary = ("%d keyed requests in %d tries, %d runs of them; %d requests ran more than once within their window" %
                   (len(by_token), sum(len(machine.tries) for machine in machines), runs, twice))
        world.note(summary)
        print(summary)
        if runs == 0:
            return 2
        return 1 if twice else 0
    finally:
        for machine in machines:
            if machine.server is not None:
                machine.server.end()
        world.write(os.path.join(HERE, "record.txt"))


sys.exit(standins.run_case(main))
