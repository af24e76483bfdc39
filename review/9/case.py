"""The manifest of a store is cut at each byte; a key whose erasure was acknowledged must not come back."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
ENTRIES, ERASED = 1500, "key00003"
LIMIT_S = 100
OPTIONS = """store:
  folder: %s
  disk_bytes: 4 MB
  segment_bytes: 512 kB
  index_bytes: 64 kB
  longest_key: 64
  longest_value: 1 kB
"""


def main():
    began = time.time()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temp = tempfile.mkdtemp(prefix="rainhook-review-")
    store, kept, options = (os.path.join(temp, name) for name in ("store", "kept", "options.yaml"))
    record = open(os.path.join(FOLDER, "record.txt"), "w")

    def command(*words, given=b""):
        done = subprocess.run([os.path.join(ROOT, "build/rainhook"), "store", *words, "--options", options], input=given,
                              capture_output=True, timeout=20)
        record.write("%7.3f store %-20s status %d, printed %d bytes %s\n" % (
            time.time() - began, " ".join(words), done.returncode, len(done.stdout),
            done.stdout[:40] if words[0] == "get" else ""))
        return done

    def cannot_run(why):
        print("cannot run: " + why)
        return 2

    try:
        with open(options, "w") as out:
            out.write(OPTIONS % store)
        lines = b"".join(b"key%05d\tplan %d %s\n" % (i, i, b"." * 50) for i in range(ENTRIES))
        if command("put", "--lines", given=lines).stdout.count(b"\n") != ENTRIES:
            return cannot_run("not every entry was acknowledged")
        if command("erase", ERASED).returncode != 0:
            return cannot_run("the erasure was not acknowledged")
        if command("get", ERASED).returncode != 1:
            print("broken rule: the erased key has a value without any disruption")
            return 1
        shutil.copytree(store, kept)
        size = os.path.getsize(os.path.join(kept, "MANIFEST"))
        refused, returned, tried = [], [], 0
        for cut in range(size):
            if time.time() - began > LIMIT_S:
                break
            shutil.rmtree(store)
            shutil.copytree(kept, store)
            if trouble:
                os.truncate(os.path.join(store, "MANIFEST"), cut)
                record.write("%7.3f MANIFEST cut to %d of %d bytes\n" % (time.time() - began, cut, size))
            tried += 1
            got = command("get", ERASED)
            if got.returncode == 0:
                returned.append(cut)
            elif got.returncode != 1:
                refused.append(cut)
        print("restarts %d, refused %d, erased value returned %d" % (tried, len(refused), len(returned)))
        if returned:
            print("broken rule: the value of an erased key came back after the manifest was cut to %d bytes, and %d more times"
                  % (returned[0], len(returned) - 1))
        return 1 if refused or returned else 0
    finally:
        record.close()
        shutil.rmtree(temp, ignore_errors=True)


# A signal to the script ends it with 2, and its folder is removed.
for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(number, lambda *_: sys.exit(2))
try:
    status = main()
except (OSError, subprocess.SubprocessError) as error:
    print("cannot run: %s" % error)
    status = 2
print("exit status %d" % status)
sys.exit(status)
