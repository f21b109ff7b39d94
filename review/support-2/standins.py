"""Stand-ins of the second review: the platform's store and cloud API, and the gateways' processes.

Python's standard library only. All addresses are loopback addresses with free ports.
"""
import base64
import http.server
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
GATEWAY = os.path.join(ROOT, "target", "auburnweir-gateway")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be carried out; the script exits with 2."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        with self._lock:
            self._file.write("%8.3f  %s\n" % (self.now(), text))
            self._file.flush()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class Platform:
    """The platform's metadata store and its cloud API, each on a port of its own.

    The store keeps rows in tables, with one counter of versions, conditions on writes, reads of
    ranges and long polls, as PROTOCOL.md says. The cloud API accepts every duty call and keeps it
    in `calls`.
    """

    def __init__(self, record):
        self.record = record
        self.calls = []
        self.on_call = None
        self._rows = {}
        self._version = 1
        self._changed = threading.Condition()
        self.store_port = self._serve(self._store_handler())
        self.cloud_port = self._serve(self._cloud_handler())

    def _serve(self, handler):
        server = _Server(("127.0.0.1", 0), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server.server_address[1]

    def put(self, table, key, value):
        """Writes a row as the operator or an engine does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._version += 1
            self._rows[(table, key)] = [text, self._version, False]
            self._changed.notify_all()

    def remove(self, table, key):
        with self._changed:
            self._version += 1
            self._rows[(table, key)] = ["", self._version, True]
            self._changed.notify_all()

    @staticmethod
    def _encoded(table, key, row):
        out = {"table": table, "part": "", "key": key, "ver": row[1]}
        if row[2]:
            out["removed"] = True
        else:
            out["value"] = row[0]
        return out

    def _body(self, rows):
        return {"rows": rows, "ver": self._version, "nowMs": int(time.monotonic() * 1000), "truncated": False}

    def _get(self, query):
        table, begin, end = query.get("table"), query.get("from", ""), query.get("target")
        limit = int(query.get("limit", "500"))
        with self._changed:
            rows = [self._encoded(table, key, row) for (of, key), row in sorted(self._rows.items())
                    if of == table and not row[2] and key >= begin and (end is None or key < end)]
            body = self._body(rows[:limit])
            body["truncated"] = len(rows) > limit
            return 200, body

    def _feed(self, query):
        table, since = query.get("table"), int(query.get("sinceRev", "0"))
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000.0
        with self._changed:
            while True:
                changes = [self._encoded(table, key, row) for (of, key), row in self._rows.items()
                           if of == table and row[1] > since]
                left = deadline - time.monotonic()
                if changes or left <= 0:
                    return 200, self._body(sorted(changes, key=lambda row: row["ver"]))
                self._changed.wait(left)

    def _transact(self, call):
        with self._changed:
            for condition in call.get("expectedRev", []):
                row = self._rows.get((condition["table"], condition["key"]))
                version = 0 if row is None or row[2] else row[1]
                if version != condition["ver"]:
                    return 412, self._body([])
            self._version += 1
            for write in call.get("writes", []):
                self._rows[(write["table"], write["key"])] = [write["value"], self._version, False]
            for gone in call.get("remove", []):
                self._rows[(gone["table"], gone["key"])] = ["", self._version, True]
            self._changed.notify_all()
            return 200, self._body([])

    def _store_handler(platform):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                if url.path == "/api/rows-get":
                    self.answer(*platform._get(query))
                elif url.path == "/api/rows-feed":
                    self.answer(*platform._feed(query))
                else:
                    self.answer(404, {})

            def do_POST(self):
                call = json.loads(self.rfile.read(int(self.headers.get("Content-Length", "0"))))
                if self.path == "/api/rows-tx":
                    self.answer(*platform._transact(call))
                else:
                    self.answer(404, {})

        return Handler

    def _cloud_handler(platform):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", "0"))).decode()
                call = {"at": platform.record.now(), "path": self.path, "body": json.loads(body),
                        "holder": self.headers.get("Auburnweir-Duty-Holder"),
                        "epoch": int(self.headers.get("Auburnweir-Fencing-Token"))}
                platform.calls.append(call)
                platform.record.write("cloud gets %s of %s, epoch %d: %s" % (self.path, call["holder"], call["epoch"], body))
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()
                if platform.on_call:
                    platform.on_call(call)

        return Handler


def free_port(address="127.0.0.1"):
    with socket.socket() as s:
        s.bind((address, 0))
        return s.getsockname()[1]


class Gateway:
    """One machine with its gateway, on a loopback address of its own. Started with the command of
    deploy/system.toml; the settings are those of deploy/gateway.ini."""

    def __init__(self, number, platform, folder, zone, zones, record, bounds):
        self.name = "edge-%s-%d" % (zone, number)
        self.address = "127.0.0.%d" % (10 + number)
        self.record = record
        self.front = free_port(self.address)
        self.ready = free_port(self.address)
        self.process = None
        self._log = open(os.path.join(folder, self.name + ".log"), "ab")
        self._settings = os.path.join(folder, self.name + ".ini")
        text = {
            "id": self.name, "failure_domain": zone,
            "listen": "%s:%d" % (self.address, self.front),
            "ready_listen": "%s:%d" % (self.address, self.ready),
            "ready_path": "/api/readyz",
            "metrics_listen": "%s:%d" % (self.address, free_port(self.address)),
            "peer_listen": "%s:%d" % (self.address, free_port(self.address)),
            "peer_key": "instances of one deployment",
            "store": "127.0.0.1:%d" % platform.store_port,
            "fleet": "127.0.0.1:%d" % platform.cloud_port,
            "memory_limit_mb": 260, "repeat_ratio": bounds["retryRatio"], "repeat_slack": bounds["retrySlack"],
            "repeat_window_s": bounds["retryWindowS"], "revocation_bound_ms": bounds["revokeMs"],
            "configuration_bound_ms": bounds["configApplyMs"], "drain_bound_ms": bounds["drainMs"],
            "lease_bound_ms": bounds["leaseMs"], "usage_window_s": bounds["usageWindowS"],
            "stop_grace_s": bounds["graceS"], "region": zones[zone],
            "domain_regions": ",".join("%s:%s" % item for item in zones.items()),
        }
        with open(self._settings, "w", encoding="utf-8") as file:
            file.write("[gateway]\n" + "".join("%s = %s\n" % item for item in text.items()))

    def start(self):
        self.process = subprocess.Popen([GATEWAY, "--settings", self._settings], cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=self._log, stderr=self._log)
        self.record.write("%s starts, process %d" % (self.name, self.process.pid))

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        self.record.write("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def wait(self, timeout):
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def is_ready(self):
        try:
            with socket.create_connection((self.address, self.ready), 1) as s:
                s.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def end(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()


# The bounds of the small deployments, from SYSTEM.md.
BOUNDS = {"retryRatio": 0.2, "retrySlack": 58, "retryWindowS": 10, "revokeMs": 5000, "configApplyMs": 3000,
          "drainMs": 3000, "leaseMs": 3000, "usageWindowS": 5, "graceS": 8}
ZONES = {"santiago-a": "santiago", "valparaiso-a": "valparaiso", "concepcion-a": "concepcion"}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}


def engine_entry(service, port, zone):
    """What a started engine writes into the store."""
    return {"service": service, "address": "127.0.0.1:%d" % port, "zone": zone, "version": "1", "slots": 64,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int(time.time() * 1000)}


class Engine:
    """An engine that lists itself in the store. `serve(engine, connection, head, headers, body)`
    answers one request and returns whether the channel stays open."""

    def __init__(self, platform, record, service, id, zone, serve):
        self.id = id
        self.record = record
        self.serve = serve
        self.answers = 0
        self._lock = threading.Lock()
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(128)
        platform.put("servers", id, engine_entry(service, self._listener.getsockname()[1], zone))
        threading.Thread(target=self._accept, daemon=True).start()

    def next_answer(self):
        """Number of this engine's next answer, from 1."""
        with self._lock:
            self.answers += 1
            return self.answers

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._channel, args=(connection,), daemon=True).start()

    def _channel(self, connection):
        data = b""
        with connection:
            try:
                while True:
                    while b"\r\n\r\n" not in data:
                        more = connection.recv(65536)
                        if not more:
                            return
                        data += more
                    head, data = data.split(b"\r\n\r\n", 1)
                    lines = head.decode("latin-1").split("\r\n")
                    headers = {}
                    for line in lines[1:]:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                    length = int(headers.get("content-length", "0"))
                    while len(data) < length:
                        more = connection.recv(65536)
                        if not more:
                            return
                        data += more
                    body, data = data[:length], data[length:]
                    if not self.serve(self, connection, lines[0], headers, body):
                        return
            except OSError:
                pass

    def head(self, headers, status="200 OK", extra=()):
        """The header of an answer that the engine signs, as it runs the request."""
        attempt = headers.get("auburnweir-attempt-id", "")
        lines = ["HTTP/1.1 " + status, "Auburnweir-Attempt-Id: " + attempt,
                 "Auburnweir-Instance-Stamp: %s.%s" % (self.id, attempt), "Auburnweir-Instance-Load: 1,0,64"]
        return "\r\n".join(lines + list(extra) + ["", ""]).encode()

    def refusal(self, headers):
        """The answer of a full engine, which has not run the request."""
        return ("HTTP/1.1 503 Service Unavailable\r\nAuburnweir-Attempt-Id: %s\r\nAuburnweir-Not-Executed: 1\r\n"
                "Auburnweir-Instance-Load: 64,128,64\r\nContent-Length: 0\r\n\r\n"
                % headers.get("auburnweir-attempt-id", "")).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    """One event of a stream."""
    return b"id: %d\ndata: token-%d\n\n" % (number, number)


def route(name, kind, service, **more):
    """A route of the config."""
    entry = {"name": name, "host": "ficu95.example", "prefix": "/%s/" % name, "routeType": kind, "timeoutMs": 15000,
             "sloMs": 600, "priority": 0, "service": service, "maxAttempts": 2, "anonymous": False, "sticky": False,
             "resumable": False, "itlTargetMs": 400}
    entry.update(more)
    return entry


def config(services, routes, tenants):
    return {"version": 3, "routes": routes, "limits": LIMITS, "tenants": tenants,
            "services": [dict({"healthPath": "/healthz", "maxConns": 370}, **service) for service in services]}


def eventually(condition, seconds, what):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(what)
        time.sleep(0.05)


def run_case(folder, case):
    """Runs `case(record, work_folder, at_end)`, which returns whether the rule held. Ends all
    processes and returns the exit code of the script."""
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="auburnweir-review-")
    ends = []
    try:
        if not os.access(GATEWAY, os.X_OK):
            raise CannotRun("target/auburnweir-gateway is not built")
        held = case(record, work, ends)
        record.write("the rule held" if held else "the rule was broken")
        print("the rule held" if held else "the rule was broken")
        return 0 if held else 1
    except CannotRun as reason:
        record.write("could not run: %s" % reason)
        print("could not run: %s" % reason)
        return 2
    except Exception as error:  # a fault of the script
        record.write("could not run: %r" % error)
        print("could not run: %r" % error)
        return 2
    finally:
        for end in ends:
            end()
        if os.environ.get("KEEP_LOGS"):
            print("logs: " + work)
        else:
            shutil.rmtree(work, ignore_errors=True)
