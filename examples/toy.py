#!/usr/bin/env python3
"""A small example deployment on the loopback interface: one rainhook server, an execution engine, a downstream service, an
endpoint registry and one client.

The client sends 40 requests in two seconds, which is more than the two cores can complete, and prints the outcome of each.
After one second the downstream service moves to another port: the script rewrites the configuration and sends SIGHUP to the
server. At the end it shuts the server down. Run it from the root of the repository: python3 examples/toy.py build/rainhook
"""

import base64
import collections
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

CONFIGURATION_FILE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "config.json")
CORES = 2
WORK_SECONDS = 0.12  # of one execution, without its downstream call
CALL_SECONDS = 0.02
MAX_CALL_WAIT_SECONDS = 5
REQUESTS = 40
REQUEST_INTERVAL_SECONDS = 0.05

# Thrift's strict binary protocol.
VERSION_AND_CALL = 0x80010001
KIND_REPLY, KIND_EXCEPTION = 2, 3
TYPE_TEXT, TYPE_MAP = 11, 13
STOP = b"\0"
REPLY_FIELDS = ("completed", "shed", "failed")


def listen(address):
    """Returns a socket that listens at host:port."""
    host, port = address.rsplit(":", 1)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen()
    return listener


def start_thread(target, *arguments):
    threading.Thread(target=target, args=arguments, daemon=True).start()


def read_content_length(stream):
    """Reads the headers of an HTTP request and returns their Content-Length."""
    length = 0
    while (line := stream.readline()) not in (b"\r\n", b""):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return length


def serve_http_connection(connection, answer):
    with connection, connection.makefile("rwb") as stream:
        while request_line := stream.readline():
            body = stream.read(read_content_length(stream))
            status, reply = answer(request_line.decode().split()[1], body)
            stream.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(reply), reply))
            stream.flush()


def serve_http(listener, answer):
    """Answers every request on every connection with the status and body that answer(path, body) returns."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:  # move_downstream() has shut the listener down
            return
        start_thread(serve_http_connection, connection, answer)


class Engine:
    """Runs executions on its cores. Each does half of its work, makes a downstream call and does the other half."""

    def __init__(self, listener):
        self.listener = listener
        self.connection = None
        self.send_lock = threading.Lock()
        self.notifications = 0
        self.cores = threading.Semaphore(CORES)
        self.resumed = {}  # by execution: an event that is set when its downstream call has ended
        self.executing = 0

    def send(self, is_notification=False, **message):
        """Sends a message. Notifications have consecutive serial numbers."""
        with self.send_lock:
            if is_notification:
                self.notifications += 1
                message["serial"] = self.notifications
            try:
                self.connection.sendall(json.dumps(message).encode() + b"\n")
            except OSError:  # the server has exited
                pass

    def notify(self, **message):
        self.send(is_notification=True, **message)

    def work_half(self):
        with self.cores:
            time.sleep(WORK_SECONDS / 2)

    def execute(self, execution, body):
        started = time.time()
        self.executing += 1
        self.work_half()
        self.resumed[execution] = resumed = threading.Event()
        self.notify(msg="request", call=execution, blob=body)
        is_resumed = resumed.wait(MAX_CALL_WAIT_SECONDS)
        if is_resumed:
            self.work_half()
        self.executing -= 1
        result = base64.b64encode(b"best move: e4").decode()
        self.notify(msg="outcome", call=execution, how="ok" if is_resumed else "halted",
                    duration=(time.time() - started) * 1000, blob=result)

    def on_command(self, command):
        kind = command["msg"]
        if kind == "subscribe":
            self.send(msg="greeting", how="warm", duration=0)
        elif kind == "launch":
            start_thread(self.execute, command["call"], command["blob"])
        elif kind in ("deliver", "forgo"):
            self.resumed.pop(command["call"]).set()
        elif kind == "sample":
            utilization = min(self.executing / CORES, 1)
            self.send(msg="sampled", cookie=command["cookie"], stats=[utilization, self.executing, 0.1, 1])

    def serve(self):
        self.connection, _ = self.listener.accept()
        for line in self.connection.makefile("rb"):
            self.on_command(json.loads(line))


def thrift_text(value):
    value = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">i", len(value)) + value


def thrift_call(sequence, fields, body):
    """Encodes a framed call: field 1 is a map of strings, field 2 is the body."""
    message = struct.pack(">I", VERSION_AND_CALL) + thrift_text("call") + struct.pack(">i", sequence)
    message += struct.pack(">bhbbi", TYPE_MAP, 1, TYPE_TEXT, TYPE_TEXT, len(fields))
    message += b"".join(thrift_text(name) + thrift_text(value) for name, value in fields.items())
    message += struct.pack(">bh", TYPE_TEXT, 2) + thrift_text(body) + STOP
    return struct.pack(">i", len(message)) + message


def read_answer(stream):
    """Reads a reply. Returns the sequence number of its request and the outcome, or None and "closed" at the end of the
    connection."""
    length = stream.read(4)
    if len(length) < 4:
        return None, "closed"
    frame = stream.read(struct.unpack(">i", length)[0])
    kind = frame[3]
    name_length = struct.unpack(">i", frame[4:8])[0]
    sequence = struct.unpack(">i", frame[8 + name_length:12 + name_length])[0]
    if kind != KIND_REPLY:
        return sequence, "failed" if kind == KIND_EXCEPTION else "closing"
    field = struct.unpack(">h", frame[13 + name_length:15 + name_length])[0]
    return sequence, REPLY_FIELDS[field]


def request_fields(number):
    return {"method": "score", "rid": "%016x" % number, "t0": str(int(time.time() * 1000)), "peer": "0",
            "acct": "chess-club", "budget": "1500", "mem": "24.5", "prio": "0.5"}


def run_client(address):
    """Sends the requests at a fixed rate, prints the outcome of each and returns the count of each outcome."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as connection:
        sent_at = {}

        def send_requests():
            for number in range(1, REQUESTS + 1):
                sent_at[number] = time.time()
                connection.sendall(thrift_call(number, request_fields(number), b"position %d" % number))
                time.sleep(REQUEST_INTERVAL_SECONDS)
        start_thread(send_requests)
        stream = connection.makefile("rb")
        outcomes = collections.Counter()
        while sum(outcomes.values()) < REQUESTS:
            number, outcome = read_answer(stream)
            if number is None:
                break
            if number in sent_at:
                outcomes[outcome] += 1
                latency_ms = (time.time() - sent_at[number]) * 1000
                print("request %2d %-9s after %4.0f ms" % (number, outcome, latency_ms))
        return outcomes


def answer_call(_, body):
    time.sleep(CALL_SECONDS)
    return b"200 OK", b"looked up " + body


def answer_report(_, __):
    return b"204 No Content", b""


class Deployment:
    """The server and its peers. The server reads a copy of the configuration file, so that the script can change it."""

    def __init__(self, program):
        with open(CONFIGURATION_FILE) as file:
            self.configuration = json.load(file)
        self.file = os.path.join(tempfile.mkdtemp(), "config.json")
        self.downstream = listen(self.configuration["backend"])
        start_thread(Engine(listen(self.configuration["agent"])).serve)
        start_thread(serve_http, self.downstream, answer_call)
        start_thread(serve_http, listen(self.configuration["roster"]), answer_report)
        self.write_configuration()
        self.server = subprocess.Popen([program, "serve", "--config", self.file])

    def write_configuration(self):
        with open(self.file + ".new", "w") as out:
            json.dump(self.configuration, out)
        os.rename(self.file + ".new", self.file)

    def move_downstream(self):
        """Moves the downstream service to another port and makes the server reload its configuration."""
        host, port = self.configuration["backend"].rsplit(":", 1)
        self.configuration["backend"] = "%s:%d" % (host, int(port) + 1)
        start_thread(serve_http, listen(self.configuration["backend"]), answer_call)
        self.write_configuration()
        self.server.send_signal(signal.SIGHUP)
        self.downstream.shutdown(socket.SHUT_RDWR)


def main():
    deployment = Deployment(sys.argv[1] if len(sys.argv) > 1 else "build/rainhook")
    try:
        time.sleep(0.5)
        threading.Timer(1, deployment.move_downstream).start()
        outcomes = run_client(deployment.configuration["listen"])
        print("total: " + ", ".join("%d %s" % (count, outcome) for outcome, count in sorted(outcomes.items())))
    finally:
        deployment.server.terminate()
        print("server exited with status %d" % deployment.server.wait(10))


if __name__ == "__main__":
    main()
