#!/usr/bin/env python3
"""A toy deployment on loopback: one rainhook with a small engine, next tier and list, and one client.

The client sends 40 reqs to two cores in two seconds, more than they can do, and shows what became of each. Halfway the next
tier moves to another port: the configuration is written anew and the server gets SIGHUP. Then the server is told to leave. Start it from the root of the repository: python3 examples/toy.py build/rainhook
"""
import base64, collections, json, os, signal, socket, struct, subprocess, sys, tempfile, threading, time

CONFIG = os.path.join(os.path.dirname(os.path.abspath(__file__)), "config.json")
CORES, RUN_S, CALL_S = 2, 0.12, 0.02


def listen(address):
    host, port = address.rsplit(":", 1)
    at = socket.socket()
    at.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    at.bind((host, int(port)))
    at.listen()
    return at


def serve_http(at, answer):
    """Answers each request on each connection with what answer(body) gives."""
    def one(connection):
        with connection, connection.makefile("rwb") as stream:
            while head := stream.readline():
                length = 0
                while (line := stream.readline()) not in (b"\r\n", b""):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                status, body = answer(head.decode().split()[1], stream.read(length))
                stream.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
                stream.flush()
    while True:
        try:
            connection, _ = at.accept()
        except OSError:  # shut down: it has moved
            return
        threading.Thread(target=one, args=(connection,), daemon=True).start()


class Engine:
    """Does the runs on its cores: half the work, a call below, the other half."""

    def __init__(self, at):
        self.at, self.serial, self.lock = at, 0, threading.Lock()
        self.cores, self.replies, self.running = threading.Semaphore(CORES), {}, 0

    def say(self, **message):
        with self.lock:
            if "serial" in message:
                self.serial += 1
                message["serial"] = self.serial
            try:
                self.link.sendall(json.dumps(message).encode() + b"\n")
            except OSError:  # the server has left
                pass

    def run(self, call, blob):
        started = time.time()
        self.running += 1
        with self.cores:
            time.sleep(RUN_S / 2)
        self.replies[call] = reply = [threading.Event(), ""]
        self.say(msg="request", serial=0, call=call, blob=blob)
        done = reply[0].wait(5)
        with self.cores:
            time.sleep(RUN_S / 2 if done else 0)
        self.running -= 1
        self.say(msg="outcome", serial=0, call=call, how="ok" if done else "halted",
                 duration=(time.time() - started) * 1000, blob=base64.b64encode(b"best move: e4").decode())

    def serve(self):
        self.link, _ = self.at.accept()
        for line in self.link.makefile("rb"):
            said = json.loads(line)
            if said["msg"] == "subscribe":
                self.say(msg="greeting", how="warm", duration=0)
            elif said["msg"] == "launch":
                threading.Thread(target=self.run, args=(said["call"], said["blob"]), daemon=True).start()
            elif said["msg"] in ("deliver", "forgo"):
                self.replies.pop(said["call"])[0].set()
            elif said["msg"] == "sample":
                busy = min(self.running / CORES, 1)
                self.say(msg="sampled", cookie=said["cookie"], stats=[busy, self.running, 0.1, 1])


def text(value):
    value = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">i", len(value)) + value


def call(number, fields, body):
    """A framed strict-binary Thrift call: field 1 a map of texts, field 2 the body."""
    out = struct.pack(">I", 0x80010001) + text("call") + struct.pack(">i", number)
    out += struct.pack(">bhbbi", 13, 1, 11, 11, len(fields)) + b"".join(text(k) + text(v) for k, v in fields.items())
    out += struct.pack(">bh", 11, 2) + text(body) + b"\0"
    return struct.pack(">i", len(out)) + out


def read_answer(stream):
    """The number of the req, and how it was answered."""
    length = stream.read(4)
    if len(length) < 4:
        return None, "closed"
    frame = stream.read(struct.unpack(">i", length)[0])
    kind = frame[3]
    size = struct.unpack(">i", frame[4:8])[0]
    number = struct.unpack(">i", frame[8 + size:12 + size])[0]
    if kind != 2:
        return number, "errored" if kind == 3 else "closing"
    field = struct.unpack(">h", frame[13 + size:15 + size])[0]
    return number, ("done", "shed", "errored")[field]


def client(address, count):
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as connection:
        sent, answers = {}, collections.Counter()

        def send():
            for number in range(1, count + 1):
                sent[number] = time.time()
                connection.sendall(call(number, {
                    "method": "score", "rid": "%016x" % number, "t0": str(int(time.time() * 1000)), "peer": "0",
                    "acct": "chess-club", "budget": "1500", "mem": "24.5", "prio": "0.5"}, b"position %d" % number))
                time.sleep(0.05)
        threading.Thread(target=send, daemon=True).start()
        stream = connection.makefile("rb")
        while sum(answers.values()) < count:
            number, how = read_answer(stream)
            if number is None:
                break
            if number in sent:
                answers[how] += 1
                print("req %2d %-7s after %4.0f ms" % (number, how, (time.time() - sent[number]) * 1000))
        return answers


def main():
    with open(CONFIG) as file:
        config = json.load(file)
    engine = Engine(listen(config["agent"]))

    def next_tier(_, body):
        time.sleep(CALL_S)
        return b"200 OK", b"looked up " + body
    first = listen(config["backend"])
    peers = [(engine.serve, ()), (serve_http, (first, next_tier)),
             (serve_http, (listen(config["roster"]), lambda path, body: (b"204 No Content", b"")))]
    for target, arguments in peers:
        threading.Thread(target=target, args=arguments, daemon=True).start()
    file = os.path.join(tempfile.mkdtemp(), "config.json")

    def write_config():
        with open(file + ".new", "w") as out:
            json.dump(config, out)
        os.rename(file + ".new", file)
    write_config()
    server = subprocess.Popen([sys.argv[1] if len(sys.argv) > 1 else "build/rainhook", "serve", "--config", file])

    def move():
        host, port = config["backend"].rsplit(":", 1)
        config["backend"] = "%s:%d" % (host, int(port) + 1)
        threading.Thread(target=serve_http, args=(listen(config["backend"]), next_tier), daemon=True).start()
        write_config()
        server.send_signal(signal.SIGHUP)
        first.shutdown(socket.SHUT_RDWR)
    try:
        time.sleep(0.5)
        threading.Timer(1, move).start()
        answers = client(config["listen"], 40)
        print("in all: " + ", ".join("%d %s" % (n, how) for how, n in sorted(answers.items())))
    finally:
        server.terminate()
        print("the server ended with status %d" % server.wait(10))


if __name__ == "__main__":
    main()
