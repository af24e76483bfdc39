"""Stand-ins for the review's cases: an execution engine, a downstream service, a registry and load balancers, written from
the operators' pages, and the start of one server with the command of the deploy file. All addresses are loopback addresses."""

import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROTOCOL_SLACK = 0.050  # "The rules on sockets": each time limit is 50 ms longer

VERSION_CALL, VERSION_ONEWAY = 0x80010001, 0x80010004
TEXT, MAP, I32, BOOL, STRUCT = 11, 13, 8, 2, 12


def now_ms():
    return int(time.time() * 1000)


# Thrift, strict binary protocol, framed.

def text(value):
    value = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">i", len(value)) + value


def frame(payload):
    return struct.pack(">i", len(payload)) + payload


def encode_call(seq, fields, body):
    message = struct.pack(">I", VERSION_CALL) + text("call") + struct.pack(">i", seq)
    message += struct.pack(">bhbbi", MAP, 1, TEXT, TEXT, len(fields))
    message += b"".join(text(k) + text(v) for k, v in fields.items())
    message += struct.pack(">bh", TEXT, 2) + text(body) + b"\0"
    return frame(message)


def encode_cancel(seq):
    return frame(struct.pack(">I", VERSION_ONEWAY) + text("cancel") + struct.pack(">i", 0) +
                 struct.pack(">bhi", I32, 1, seq) + b"\0")


def encode_health(seq):
    return frame(struct.pack(">I", VERSION_CALL) + text("health") + struct.pack(">i", seq) +
                 struct.pack(">bhb", BOOL, 1, 0) + b"\0")


class Reader:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, fmt):
        value = struct.unpack_from(">" + fmt, self.data, self.at)
        self.at += struct.calcsize(">" + fmt)
        return value[0]

    def text(self):
        size = self.take("i")
        self.at += size
        return self.data[self.at - size:self.at]

    def value(self, kind):
        if kind == TEXT:
            return self.text()
        if kind == BOOL:
            return self.take("b") != 0
        if kind == I32:
            return self.take("i")
        if kind == MAP:
            self.take("b"), self.take("b")
            return {self.text().decode(): self.text().decode() for _ in range(self.take("i"))}
        if kind == STRUCT:
            return self.struct()
        raise ValueError("unknown type %d" % kind)

    def struct(self):
        out = {}
        while (kind := self.take("b")) != 0:
            number = self.take("h")
            out[number] = self.value(kind)
        return out


def decode_message(payload):
    """Returns (kind, name, seq, struct); kind 2 is a reply, 3 an exception, 4 a oneway message."""
    reader = Reader(payload)
    version = reader.take("I")
    name = reader.text().decode()
    seq = reader.take("i")
    return version & 0xff, name, seq, reader.struct()


class Answer:
    """A final answer: `kind` is served, refused or failed."""

    def __init__(self, kind, result=None, fields=None):
        self.kind, self.result, self.fields = kind, result, fields or {}


def answer_of(kind, struct_):
    if kind == 3:
        return Answer("failed", fields={"why": struct_.get(1, b"").decode()})
    if 0 in struct_:
        return Answer("served", struct_[0].get(1, b""), struct_[0].get(2, {}))
    if 1 in struct_:
        return Answer("refused", fields=struct_[1].get(1, {}))
    return Answer("failed", fields=struct_.get(2, {}).get(1, {}))


class Request:
    """One try as the balancer sees it."""

    def __init__(self, rid, handler, body, budget_ms, token, t0):
        self.rid, self.handler, self.body, self.budget_ms, self.token, self.t0 = rid, handler, body, budget_ms, token, t0
        self.written_at = None
        self.answers = []  # (time, Answer)
        self.cancelled_at = None
        self.connection_lost_at = None
        self.excused = False
        self.answered = asyncio.Event()
        self.mem = 24.5

    @property
    def is_over(self):
        return bool(self.answers) or self.cancelled_at is not None or self.excused


class Balancer:
    """One balancer process with a few connections, each of which carries up to 32 requests."""

    def __init__(self, rig, number, connections=1):
        self.rig, self.number, self.size = rig, number, connections
        self.links = []
        self.closing = False

    async def link(self, fresh=False):
        live = [l for l in self.links if l.usable and len(l.open) < 32]
        if live and not fresh and len([l for l in self.links if l.usable]) >= self.size:
            return min(live, key=lambda l: len(l.open))
        made = Link(self)
        await made.connect()
        self.links.append(made)
        return made

    async def send(self, handler, body, budget_ms, token=None, mem=24.5, t0=None, link=None, extra=None):
        """Writes one request. Returns it, or None if no connection could be made, which proves that nothing ran."""
        try:
            link = link or await self.link()
        except OSError:
            return None
        rid = "%016x" % self.rig.random.getrandbits(64)
        request = Request(rid, handler, body, budget_ms, token, t0 if t0 is not None else now_ms())
        request.mem = mem
        fields = {"method": handler, "rid": rid, "t0": str(request.t0), "peer": str(self.number),
                  "mem": "%.1f" % mem, "prio": "0.5000"}
        if self.rig.tenants:
            fields["acct"] = self.rig.tenants[0]
        if budget_ms is not None:
            fields["budget"] = str(budget_ms)
        if token is not None:
            fields["token"] = token
        fields.update(extra or {})
        self.rig.requests[rid] = request
        self.rig.log("send", rid=rid, handler=handler, token=token, budget=budget_ms, peer=self.number)
        link.write(request, fields)
        return request

    def close(self):
        for link in self.links:
            link.close()


class Link:
    def __init__(self, balancer):
        self.balancer, self.rig = balancer, balancer.rig
        self.open, self.seq, self.usable, self.writer = {}, 0, False, None
        self.by_seq = {}
        self.closed_by_us = False

    async def connect(self):
        host, port = self.rig.front.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.usable = True
        self.task = asyncio.ensure_future(self.receive())

    def write(self, request, fields):
        self.seq += 1
        request.seq, request.link = self.seq, self
        self.open[self.seq] = request
        self.by_seq[self.seq] = request
        request.written_at = time.time()
        self.writer.write(encode_call(self.seq, fields, request.body))

    def cancel(self, request):
        request.cancelled_at = time.time()
        self.open.pop(request.seq, None)
        self.rig.log("cancel", rid=request.rid)
        if not self.writer.is_closing():
            self.writer.write(encode_cancel(request.seq))
        self.rig.on_over(request)

    async def receive(self):
        try:
            while True:
                size = struct.unpack(">i", await self.reader.readexactly(4))[0]
                payload = await self.reader.readexactly(size)
                self.on_message(payload)
        except (asyncio.IncompleteReadError, OSError):
            pass
        self.usable = False
        for request in list(self.open.values()):
            request.connection_lost_at = time.time()
            if self.closed_by_us:
                request.excused = True
            self.rig.log("connection_lost", rid=request.rid, ours=self.closed_by_us)
            request.answered.set()
            self.rig.on_over(request)
        self.open.clear()
        self.writer.close()

    def on_message(self, payload):
        kind, name, seq, struct_ = decode_message(payload)
        if kind == 4 and name == "closing":
            self.usable = False
            if not self.open:
                self.close()
            return
        request = self.by_seq.get(seq)
        if request is None:
            self.rig.log("stray_answer", seq=seq)
            return
        answer = answer_of(kind, struct_)
        request.answers.append((time.time(), answer))
        self.rig.log("answer", rid=request.rid, kind=answer.kind, why=answer.fields.get("why"),
                     ms=round((time.time() - request.t0 / 1000) * 1000), n=len(request.answers))
        self.open.pop(seq, None)
        request.answered.set()
        self.rig.on_over(request)
        if not self.usable and not self.open:
            self.close()

    def close(self, abort=False):
        self.usable = False
        if self.writer is None or self.writer.is_closing():
            return
        self.closed_by_us = True
        if abort:
            self.writer.transport.abort()
        else:
            self.writer.close()


class Run:
    def __init__(self, rid, handler, body):
        self.rid, self.handler, self.body = rid, handler, body
        self.calls_left, self.waiting_for = 0, None
        self.call_number = 0
        self.started_at = time.time()
        self.replies = []
        self.result = None
        self.done = False


class Engine:
    """The execution engine. `plan(rid, handler, body)` returns (work before each call and at the end, in s; result bytes)."""

    def __init__(self, rig):
        self.rig = rig
        self.notices = collections.deque(maxlen=4000)
        self.serial = 0
        self.runs = {}       # open runs by rid
        self.launches = []   # (time, rid, token)
        self.ended = {}
        self.link = None
        self.pending = collections.deque()  # commands read in the last moments, which a break may lose
        self.command_delay = 0.0
        self.is_cold = False
        self.started_at = time.time()
        self.servers = []
        self.refuse_links = False
        self.hold_notices = False
        self.hang = False
        self.stalled = False  # reads nothing and writes nothing
        self.held = []
        self.duplicate_notices = 0.0
        self.asides = 0.0
        self.pieces = False
        self.live_links = set()
        self.max_running = 0
        self.label = None  # names the engine in the record if there are several

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        if self.refuse_links:
            writer.transport.abort()
            return
        previous, self.link = self.link, writer
        if previous is not None:
            previous.transport.abort()
        self.live_links.add(writer)
        self.rig.log("engine_link")
        try:
            while line := await reader.readline():
                if not line.endswith(b"\n"):
                    break
                if self.link is not writer:
                    return
                while self.stalled:
                    await asyncio.sleep(0.005)
                if self.command_delay:
                    entry = [writer, json.loads(line)]
                    self.pending.append(entry)
                    asyncio.get_running_loop().call_later(self.command_delay, self.process, entry)
                else:
                    self.on_command(writer, json.loads(line))
        except OSError:
            pass
        finally:
            self.live_links.discard(writer)
            if self.link is writer:
                self.link = None
            if not writer.is_closing():
                writer.close()

    def process(self, entry):
        if entry in self.pending:
            self.pending.remove(entry)
            self.on_command(*entry)

    def resume_all(self):
        self.stalled = False
        for message, writer in self.held:
            self.write(message, writer)
        self.held.clear()

    def break_link(self, lose=True, partial=False):
        """Breaks the link. Commands of the last moments, at most `command_delay` old, are lost if `lose`."""
        writer, self.link = self.link, None
        if lose:
            for entry in self.pending:
                self.rig.log("engine_lost_command", command=entry[1].get("msg"), rid=entry[1].get("call"))
            self.pending.clear()
        self.rig.log("engine_break")
        if writer is not None:
            if partial:
                writer.write(b'{"msg":"outcome","serial":%d,"ca' % (self.serial + 1))
                asyncio.get_running_loop().call_later(0.002, writer.transport.abort)
            else:
                writer.transport.abort()

    def write(self, message, writer=None):
        writer = writer or self.link
        if self.stalled:
            self.held.append((message, writer))
            return
        if writer is not None and not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")

    def notify(self, **message):
        self.serial += 1
        message["serial"] = self.serial
        self.notices.append(message)
        if self.hold_notices:
            return
        self.write(message)
        if self.rig.random.random() < self.duplicate_notices:
            self.write(message)
        if self.rig.random.random() < self.asides:
            self.serial += 1
            aside = {"msg": "aside", "serial": self.serial, "how": "a remark"}
            self.notices.append(aside)
            self.write(aside)

    def on_command(self, writer, command):
        kind = command.get("msg")
        if kind == "subscribe":
            self.rig.log("engine_subscribe", serial=command["serial"])
            self.write({"msg": "greeting", "how": "cold" if self.is_cold else "warm",
                        "duration": (time.time() - self.started_at) * 1000}, writer)
            for notice in self.notices:
                if notice["serial"] > command["serial"]:
                    self.write(notice, writer)
        elif kind == "launch":
            self.launch(command)
        elif kind in ("deliver", "forgo"):
            self.resume(kind, command)
        elif kind == "sample":
            if not self.hang:
                self.write({"msg": "sampled", "cookie": command["cookie"],
                            "stats": [min(1.0, len(self.runs) / self.rig.cores), len(self.runs), 0.2, 4]}, writer)

    def launch(self, command):
        rid = command["call"]
        request = self.rig.requests.get(rid)
        body = base64.b64decode(command["blob"])
        if request is None or request.handler != command["service"] or request.body != body:
            self.rig.log("refusal", rid=rid)
            if request is not None:
                self.rig.violation("lost", "the body or class of %s reached the engine changed" % rid)
            self.write({"msg": "refusal", "how": "launch", "call": rid})
            return
        if rid in self.runs:
            return
        if request.is_over:
            self.rig.log("void", rid=rid)
            self.notify(msg="outcome", call=rid, how="void", duration=0)
            return
        run = Run(rid, request.handler, body)
        self.runs[rid] = run
        self.launches.append((time.time(), rid, request.token))
        self.max_running = max(self.max_running, len(self.runs))
        self.rig.log("run", rid=rid, token=request.token, engine=self.label)
        self.rig.on_run(request)
        run.steps, run.result = self.rig.plan(request)
        self.advance(run)

    def advance(self, run):
        work = run.steps.pop(0)
        asyncio.get_running_loop().call_later(work, self.step_done, run)

    def step_done(self, run):
        if self.hang:
            asyncio.get_running_loop().call_later(0.05, self.step_done, run)
            return
        if not run.steps:
            return self.end(run, "ok")
        request = self.rig.requests[run.rid]
        if request.is_over:
            return self.end(run, "halted")
        run.call_number += 1
        run.waiting_for = self.serial + 1
        run.call_body = b"call %d of %s" % (run.call_number, run.rid.encode())
        self.rig.log("call_requested", rid=run.rid, n=run.call_number, serial=run.waiting_for)
        self.notify(msg="request", call=run.rid, blob=base64.b64encode(run.call_body).decode())

    def resume(self, kind, command):
        run = self.runs.get(command["call"])
        if run is None or run.waiting_for is None:
            if run is None and command["call"] not in self.rig.requests:
                self.write({"msg": "refusal", "how": kind, "call": command["call"]})
            self.rig.log("late_" + kind, rid=command["call"])
            return
        if kind == "forgo":
            if command["serial"] != run.waiting_for:
                self.rig.log("stale_forgo", rid=run.rid)
                return
            run.replies.append(None)
        else:
            reply = base64.b64decode(command["blob"])
            run.replies.append(reply)
            if reply != self.rig.reply_for(run.call_body):
                self.rig.violation("lost", "run %s call %d got a reply of another call or a changed one: %r" % (
                    run.rid, run.call_number, reply[:60]))
        self.rig.log(kind, rid=run.rid, n=run.call_number)
        run.waiting_for = None
        self.advance(run)

    def on_request_over(self, request):
        """A run that stands at a call ends when its request is over."""
        run = self.runs.get(request.rid)
        if run is not None and run.waiting_for is not None:
            asyncio.get_running_loop().call_later(0.005, self.halt_if_waiting, run)

    def halt_if_waiting(self, run):
        if run.rid in self.runs and run.waiting_for is not None:
            self.end(run, "halted")

    def end(self, run, how):
        if run.done:
            return
        run.done = True
        run.waiting_for = None
        self.runs.pop(run.rid, None)
        self.ended[run.rid] = (time.time(), how)
        self.rig.log("outcome", rid=run.rid, how=how, engine=self.label)
        message = {"msg": "outcome", "call": run.rid, "how": how, "duration": (time.time() - run.started_at) * 1000}
        if how == "ok":
            message["blob"] = base64.b64encode(run.result).decode()
        self.notify(**message)


class Backend:
    """The downstream service; `behave(rid, body)` may return a coroutine function that answers on its own."""

    def __init__(self, rig):
        self.rig, self.servers = rig, []
        self.delay = lambda: 0.01
        self.behave = None
        self.calls = []  # (time, rid, body)
        self.open = 0
        self.max_open = 0

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = {l.split(":", 1)[0].lower(): l.split(":", 1)[1].strip() for l in head.split("\r\n")[1:] if ":" in l}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                rid = headers.get("parent-call", "")
                await self.call(rid, body, reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if not writer.is_closing():
                writer.close()

    async def call(self, rid, body, reader, writer):
        run = self.rig.engine.runs.get(rid)
        if run is None or run.waiting_for is None or run.call_body != body:
            self.rig.log("call_without_run", rid=rid)
            writer.write(b"HTTP/1.1 409 Conflict\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            return
        behaviour = self.behave(rid, body) if self.behave else None
        if behaviour == "refuse":
            self.rig.log("call_refused", rid=rid)
            writer.write(b"HTTP/1.1 503 Busy\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self.calls.append((time.time(), rid, body))
        self.rig.log("call", rid=rid, body=body.decode(), how=behaviour)
        self.rig.on_call(rid, body)
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        try:
            await asyncio.sleep(self.delay())
        finally:
            self.open -= 1
        reply = self.rig.reply_for(body)
        good = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(reply) + reply
        if behaviour is None:
            writer.write(good)
        elif behaviour == "early":
            writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good)
        elif behaviour == "twice":
            writer.write(good + good)
        elif behaviour == "noise_after":
            writer.write(good + os.urandom(40))
        elif behaviour == "noise":
            writer.write(os.urandom(60) + b"\r\n\r\n")
        elif behaviour == "reset":
            writer.transport.abort()
        elif behaviour == "silent":
            await asyncio.sleep(3600)
        elif behaviour == "error":
            writer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
        elif behaviour == "pieces":
            for at in range(0, len(good), 7):
                writer.write(good[at:at + 7])
                await asyncio.sleep(0.001)


class Registry:
    def __init__(self, rig):
        self.rig, self.duty, self.servers = rig, None, []

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length:")[1].split("\r\n")[0])
            body = await reader.readexactly(length)
            duty = json.loads(body)["duty"]
            if duty != self.duty:
                self.rig.log("duty", duty=duty)
            self.duty = duty
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Rig:
    """One server and its stand-ins."""

    def __init__(self, folder, seed=1):
        self.folder, self.random = folder, random.Random(seed)
        self.began = time.time()
        self.requests, self.record, self.violations = {}, [], []
        self.temp = tempfile.mkdtemp(prefix="rainhook-review-")
        self.engine, self.backend, self.registry = Engine(self), Backend(self), Registry(self)
        self.process, self.cores, self.tenants = None, 2, ["main"]
        self.processes, self.others = [], []  # all processes of this rig; further rigs of the same case
        self.plan = lambda request: ([0.05], b"result of " + request.body)
        self.reply_for = lambda body: b"reply to " + body
        self.config_file = os.path.join(self.temp, "config.json")
        self.run_times = collections.defaultdict(list)   # by (handler, token): (t0, rid) of runs
        self.runs_of = collections.Counter()
        self.calls_of = collections.Counter()
        self.running_kb = 0

    def log(self, what, **fields):
        self.record.append((time.time() - self.began, what, fields))

    def violation(self, rule, message):
        self.violations.append((rule, message))
        self.log("VIOLATION", rule=rule, text=message)

    # Hooks for subclasses and cases.
    def on_run(self, request):
        self.runs_of[request.rid] += 1
        if request.token is not None:
            self.run_times[(request.handler, request.token)].append((request.t0, request.rid))

    def on_call(self, rid, body):
        self.calls_of[(rid, body)] += 1

    def on_over(self, request):
        self.engine.on_request_over(request)

    def settings(self, classes, **domain):
        settings = {
            "classes": classes, "orgs": [{"name": t, "quotaPerS": 500.0, "share": 1.0 / len(self.tenants)} for t in self.tenants],
            "servers": 1, "me": 0, "family": "server", "tickNs": 2000000, "worthBy": "request", "overShareWorth": 0.1,
            "domain": {"below": "tier", "callers": 3, "callsOut": 0.0, "callsOverNs": 5000000000, "cold": False,
                       "cores": self.cores, "deepChecks": False, "freshNs": 0,
                       "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "halt": "none",
                       "keepaliveMaxNs": 30000000000, "keyKb": 0.5, "lingerNs": 200000000, "memoryKb": 58116.0,
                       "passesDeadline": True, "readiness": True, "runFactor": 16.0, "saidForNs": 1000000000,
                       "signal": "weight", "tellsGone": True, "classCalls": [True] * len(classes),
                       "classSkipWorth": [0.0] * len(classes)},
            "invariants": {"answerSlackNs": 60000000, "coldFrom": 0.2, "fallMultiple": 8.0, "fallNs": 1500000000,
                           "stopSendingWithinNs": 2000000000, "warmWithinNs": 17000000000},
            "limits": {"maxRetryAfterNs": 1000000000, "retryAfter": True, "cpuUsPerS": 60000},
        }
        settings["domain"].update(domain)
        return settings

    async def start(self, settings, **options):
        await self.prepare(settings, **options)
        self.spawn()
        await self.ready()

    async def prepare(self, settings, stop_ms=3200, sockets=384, memory_mb=64, front=None):
        """Starts the stand-ins and writes the configuration. Without `front`, the server gets a free port."""
        if front is None:
            free = socket.socket()
            free.bind(("127.0.0.1", 0))
            front = "127.0.0.1:%d" % free.getsockname()[1]
            free.close()
        self.front, self.stop_ms = front, stop_ms
        self.config = {"name": "n1", "listen": self.front, "agent": await self.engine.listen(),
                       "roster": await self.registry.listen(), "backend": await self.backend.listen(),
                       "seed": "%016x" % self.random.getrandbits(64), "stop_ms": stop_ms,
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "settings": settings}
        self.write_config()

    def write_config(self):
        with open(self.config_file + ".new", "w") as out:
            json.dump(self.config, out)
        os.replace(self.config_file + ".new", self.config_file)

    def spawn(self):
        environment = dict(os.environ, GW_CONFIG=self.config_file, GW_NAME="n1", GW_LISTEN=self.front, TMPDIR=self.temp)
        environment.pop("RAINHOOK_OPTIONS", None)
        self.server_log = open(os.path.join(self.temp, "server.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", "exec build/rainhook serve"], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.server_log, stderr=self.server_log)
        self.processes.append(self.process)
        self.log("server_started", number=len(self.processes))

    async def ready(self):
        for _ in range(600):
            try:
                host, port = self.front.rsplit(":", 1)
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode_health(1))
                size = struct.unpack(">i", await asyncio.wait_for(reader.readexactly(4), 2))[0]
                await reader.readexactly(size)
                writer.close()
                if self.engine.link is not None:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the server does not answer a health check")

    async def reload(self, old_links_end_after=1.5):
        """Moves the three peers to new addresses, and tells the server by SIGHUP."""
        old = [self.engine.servers[-1], self.registry.servers[-1], self.backend.servers[-1]]
        self.config.update(agent=await self.engine.listen(), roster=await self.registry.listen(),
                           backend=await self.backend.listen())
        self.write_config()
        for server in old:
            server.close()
        self.log("sighup")
        self.process.send_signal(signal.SIGHUP)

    def is_alive(self):
        return self.process.poll() is None

    async def stop(self):
        for other in self.others:
            await other.stop()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def write_record(self):
        with open(os.path.join(self.folder, "record.txt"), "w") as out:
            for at, what, fields in self.record:
                out.write("%9.3f %-18s %s\n" % (at, what, " ".join("%s=%s" % (k, v) for k, v in fields.items() if v is not None)))
            for rig in [self] + self.others:
                out.write("server log:\n")
                path = os.path.join(rig.temp, "server.log")
                if os.path.exists(path):
                    with open(path, errors="replace") as log:
                        out.write(log.read())
                shutil.rmtree(rig.temp, ignore_errors=True)

    # Checks of the rules as they are written.

    def check_answers(self, slack_s=0.060, pauses=0.0):
        """Rule 1: exactly one final answer by the due time, unless the server was told that the caller has gone."""
        lost = []
        for request in self.requests.values():
            if request.written_at is None or request.excused:
                continue
            if len(request.answers) > 1:
                self.violation("duplicate", "%s got %d answers" % (request.rid, len(request.answers)))
            due = request.t0 / 1000 + request.budget_ms / 1000 if request.budget_ms is not None else request.due
            limit = max(due, request.written_at) + slack_s + PROTOCOL_SLACK + pauses
            if request.cancelled_at is not None and request.cancelled_at <= limit:
                continue
            if not request.answers:
                lost.append("%s has no answer%s" % (request.rid, ", its connection ended" if request.connection_lost_at else ""))
            elif request.answers[0][0] > limit:
                lost.append("%s was answered %d ms after its limit" % (request.rid, (request.answers[0][0] - limit) * 1000))
            if request.answers and request.answers[0][1].kind == "served" and request.answers[0][1].result != self.expected(request):
                self.violation("lost", "%s was served with what no run made for it: %r" % (
                    request.rid, request.answers[0][1].result[:60]))
        return lost

    def expected(self, request):
        return b"result of " + request.body

    def check_effects(self, window_ms, keyed=(), single=()):
        """Rule 2: a keyed request runs once within its window; a request that has run is not refused; calls once."""
        for (handler, token), runs in self.run_times.items():
            if handler not in keyed:
                continue
            for i, (first, rid1) in enumerate(runs):
                for second, rid2 in runs[i + 1:]:
                    if abs(second - first) < window_ms:
                        self.violation("duplicate", "key %s ran for %s and again for %s" % (token, rid1, rid2))
        for rid, count in self.runs_of.items():
            request = self.requests[rid]
            if request.handler in keyed or request.handler in single:
                if count > 1:
                    self.violation("duplicate", "%s ran %d times" % (rid, count))
                if request.answers and request.answers[0][1].kind == "refused":
                    self.violation("duplicate", "%s ran and was refused" % rid)
        for (rid, body), count in self.calls_of.items():
            if count > 1 and (self.requests[rid].handler in keyed or self.requests[rid].handler in single):
                self.violation("duplicate", "%s made the same call %d times" % (rid, count))


class CannotRun(Exception):
    pass


def main(case, folder, limit_s=110):
    """Runs the coroutine function `case(rig, trouble)`, which returns whether the rule held, and exits accordingly."""
    seed = int(os.environ.get("SEED", "1"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rig_box = []

    async def body():
        # A signal to the script ends the case, so that its processes and its folder don't stay.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        rig = Rig(folder, seed)
        rig_box.append(rig)
        try:
            return await asyncio.wait_for(case(rig, trouble), limit_s)
        finally:
            await rig.stop()

    status = 2
    try:
        held = asyncio.run(body())
        status = 0 if held else 1
    except CannotRun as error:
        print("cannot run: %s" % error)
    except asyncio.TimeoutError:
        print("cannot run: the time is over")
    except asyncio.CancelledError:
        print("cannot run: ended by a signal")
    except Exception:
        traceback.print_exc()
    finally:
        if rig_box:
            for rule, message in rig_box[0].violations:
                print("broken rule (%s): %s" % (rule, message))
            rig_box[0].write_record()
    print("exit status %d" % status)
    sys.stdout.flush()
    os._exit(status)
