# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""Starts stand-ins and daemons on loopback for tests, demos and measurements.

Configurations are written as JSON, which is valid YAML.  Only the standard
library is used.  All processes that were started are terminated by process id.
"""

import fcntl
import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

DAEMON_KEY = "11" * 32


PORT_BLOCK = 1500
FIRST_PORT = 12000  # below the kernel's range of ephemeral ports
PORT_BLOCKS = 12
_held_blocks = []


class Ports:
    """Free ports of a block, which is locked until release() or the end of this process."""

    def __init__(self, lock, first):
        self.lock = lock
        self.ports = (port for port in range(first, first + PORT_BLOCK) if is_free(port))
        _held_blocks.append(self)

    def __iter__(self):
        return self

    def __next__(self):
        return next(self.ports)

    def release(self):
        """After the daemons on these ports have ended."""
        if self in _held_blocks:
            _held_blocks.remove(self)
            self.lock.close()


def free_ports():
    """A block of ports that no other test on this machine uses.  Checking for free ports
    is not enough: daemons share a port on purpose (SO_REUSEPORT), so two tests on the same
    port would both start and answer each other's calls."""
    for block in range(PORT_BLOCKS):
        lock = open(pathlib.Path(tempfile.gettempdir()) / f"cypressford-ports-{block}.lock", "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        return Ports(lock, FIRST_PORT + block * PORT_BLOCK)
    raise RuntimeError("no free block of ports")


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_until(condition, what, seconds=30):
    """Waits until a condition holds; raises an error after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise RuntimeError(f"timed out waiting for {what}")


def http(address, path, body=None, headers=None, timeout=10):
    """Status, headers and body of the answer to one call; status 0 if there was none."""
    data = None if body is None else (body if isinstance(body, bytes) else body.encode())
    request = urllib.request.Request(f"http://{address}{path}", data=data, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()
    except OSError:
        return 0, {}, ""


def control(address, **faults):
    """Sets faults of a stand-in, or only reads its counters."""
    body = json.dumps(faults) if faults else None
    return json.loads(http(address, "/control", body)[2])


def credential(account):
    return f"secret-of-{account}"


class Cluster:
    """Processes of one build directory, running in one temporary folder."""

    def __init__(self, build, name, keep=False):
        self.build = pathlib.Path(build).resolve()
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix=f"cypressford-{name}-"))
        self.processes = {}
        self.daemons = {}
        self.keep = keep
        self.ports = free_ports()
        self.platform = None
        self.public_key = self.cli("keygen", f"--out={self.dir}/operator.pem").strip()

    def __enter__(self):
        return self

    def __exit__(self, error, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self.keep or error is not None:
            print(f"logs: {self.dir}")
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    def address(self):
        return f"127.0.0.1:{next(self.ports)}"

    def program(self, name):
        return str(self.build / "src" / name.replace("cypressford-", "") / name)

    def cli(self, *words, check=True):
        done = subprocess.run([self.program("cypressford"), *words], capture_output=True,
                              text=True, timeout=60)
        if check and done.returncode != 0:
            raise RuntimeError(f"cypressford {words}: {done.stdout}{done.stderr}")
        return done.stdout if check else done

    def spawn(self, name, *words):
        log = open(self.dir / f"{name}.err", "ab")
        self.processes[name] = subprocess.Popen(words, stdout=log, stderr=log)
        return self.processes[name]

    def start_standins(self, upstreams, platform=None, name="standin"):
        """`upstreams` is a list of stand-in configurations."""
        config = {"upstreams": upstreams}
        if platform is not None:
            self.platform = self.address()
            config["platform"] = {"address": self.platform, **platform}
        path = self.dir / f"{name}.yaml"
        path.write_text(json.dumps(config))
        self.spawn(name, self.program("cypressford-standin"), f"--config={path}",
                   f"--log_file={self.dir}/{name}.log")
        probe = self.platform if platform is not None else upstreams[0]["address"]
        wait_until(lambda: http(probe, "/control")[0] == 200, f"stand-in {name}")

    def settings(self, name, hall, peers, **overrides):
        settings = {
            "node": name,
            "hall": hall,
            "listen": {"callers": self.daemons[name]["callers"],
                       "peers": self.daemons[name]["peers"]},
            "peers": peers,
            "platform": {"log": self.platform, "nodes": self.platform},
            "operators": [self.public_key],
            "daemon_key": DAEMON_KEY,
            "log": {"file": f"{self.dir}/{name}.log", "level": "info"},
        }
        for key, value in overrides.items():
            if isinstance(value, dict):
                settings.setdefault(key, {}).update(value)
            else:
                settings[key] = value
        return settings

    def plan_daemons(self, halls):
        """Assigns addresses; `halls` maps a hall to the names of its daemons."""
        for hall, names in halls.items():
            for name in names:
                self.daemons[name] = {"hall": hall, "callers": self.address(),
                                      "peers": self.address()}

    def start_daemon(self, name, **overrides):
        hall = self.daemons[name]["hall"]
        peers = [d["peers"] for n, d in self.daemons.items() if d["hall"] == hall and n != name]
        path = self.dir / f"{name}.yaml"
        path.write_text(json.dumps(self.settings(name, hall, peers, **overrides)))
        return self.spawn(name, self.program("cypressfordd"), f"--settings={path}")

    def callers(self, *names):
        return [self.daemons[n]["callers"] for n in (names or self.daemons)]

    def write_bundle(self, bundle, name="bundle.yaml"):
        path = self.dir / name
        path.write_text(json.dumps(bundle))
        return path

    def publish(self, bundle, roll=True):
        path = self.write_bundle(bundle)
        key = f"--key={self.dir}/operator.pem"
        platform = f"--platform={self.platform}"
        print(self.cli("bundle", "publish", platform, key, str(path)), end="")
        if roll:
            print(self.cli("bundle", "roll", platform, key, bundle["name"],
                           str(bundle["version"])), end="")

    def wait_version(self, version, names=None, seconds=30):
        def in_force():
            for address in self.callers(*(names or [])):
                text = http(address, "/metrics")[2]
                if f"\ncypressford_bundle_version {version}\n" not in text:
                    return False
            return True
        wait_until(in_force, f"bundle {version} in force", seconds)

    def start_load(self, config, output="text"):
        path = self.dir / "load.yaml"
        path.write_text(json.dumps(config))
        return subprocess.Popen([self.program("cypressford-load"), f"--config={path}",
                                 f"--output={output}"], stdout=subprocess.PIPE, text=True)


def account(name, rate=10000, burst=10000):
    digest = hashlib.sha256(credential(name).encode()).hexdigest()
    return {"name": name, "credential_sha256": digest, "rate": rate, "burst": burst}


def build_directory():
    return sys.argv[1] if len(sys.argv) > 1 else "build"
