"""ORDER: a stream that an engine ends inside an event reaches the client as a complete answer."""
import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
import standins  # noqa: E402
from standins import TROUBLE, chunk, event  # noqa: E402

EVENTS = 12
STREAMS = 160       # half of them on a route that may be resumed
TORN_EACH = 20      # garble: x = 0.05 of the answers of a faulty engine
TORN_AFTER = 5      # whole events of a torn stream


def engine_serving(record, faulty):
    def serve(engine, connection, head, headers, body):
        attempt = headers["auburnweir-attempt-id"]
        number = engine.next_answer()
        begin = int(headers.get("last-event-id") or 0) + 1
        torn = TROUBLE and faulty and begin == 1 and number % TORN_EACH == 0
        record.write("%s runs %s from event %d%s" % (engine.id, attempt, begin, ", stops inside event %d" % (TORN_AFTER + 1) if torn else ""))
        connection.sendall(engine.head(headers, extra=["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
        for current in range(begin, EVENTS + 1):
            if torn and current > TORN_AFTER:
                connection.sendall(chunk(event(current)[:9]))
                break
            connection.sendall(chunk(event(current)))
            time.sleep(0.01)
        connection.sendall(chunk(b""))
        return True
    return serve


def read_stream(gateway, route, attempt):
    """Sends a request; returns the status, the body, and whether the answer is complete."""
    with socket.create_connection((gateway.address, gateway.front), 2) as channel:
        channel.settimeout(10)
        channel.sendall(("POST /%s/a HTTP/1.1\r\nHost: ficu95.example\r\nAuburnweir-Attempt-Id: %s\r\n"
                         "Auburnweir-Deadline-Ms: 8000\r\nAuthorization: Token key-1\r\nContent-Length: 5\r\n\r\nhello"
                         % (route, attempt)).encode())
        data, body = b"", b""
        try:
            def need(count_or_mark):
                nonlocal data
                while (count_or_mark not in data) if isinstance(count_or_mark, bytes) else len(data) < count_or_mark:
                    more = channel.recv(65536)
                    if not more:
                        raise EOFError
                    data += more
            need(b"\r\n\r\n")
            head, data = data.split(b"\r\n\r\n", 1)
            status = int(head.split(b" ")[1])
            if status != 200:
                return status, b"", True
            while True:
                need(b"\r\n")
                size, data = data.split(b"\r\n", 1)
                need(int(size, 16) + 2)
                body += data[:int(size, 16)]
                data = data[int(size, 16) + 2:]
                if int(size, 16) == 0:
                    return status, body, True
        except (EOFError, OSError):
            return None, body, False


def case(record, work, ends):
    platform = standins.Platform(record)
    for number, zone in enumerate(list(standins.ZONES)[:2], 1):
        standins.Engine(platform, record, "llm", "i-9b1e07a%d" % number, zone, engine_serving(record, faulty=number == 1))
    platform.put("op", "config", standins.config(
        [{"name": "llm"}],
        [standins.route("draft", "streaming", "llm", maxAttempts=1), standins.route("chat", "streaming", "llm", resumable=True)],
        [{"name": "hule930", "apiKeys": ["key-1"]}]))
    gateway = standins.Gateway(1, platform, work, "santiago-a", standins.ZONES, record, standins.BOUNDS)
    gateway.start()
    ends.append(gateway.end)
    standins.eventually(gateway.is_ready, 20, "the gateway isn't ready")
    time.sleep(5)  # in touch
    whole = b"".join(event(number) for number in range(1, EVENTS + 1))
    wrong, served, lock = [], [], threading.Lock()

    def client(first):
        for number in range(first, STREAMS, 4):
            name = "chat" if number % 2 else "draft"
            attempt = "%s-%d" % (name, number)
            status, body, complete = read_stream(gateway, name, attempt)
            record.write("client: %s, status %s, %s, %d bytes%s" % (
                attempt, status, "complete" if complete else "broken off", len(body),
                "" if body in (whole, b"") else ", ends with %r" % body[-24:]))
            with lock:
                if status == 200 and complete:
                    served.append(attempt)
                    if body != whole:
                        wrong.append(attempt)

    threads = [threading.Thread(target=client, args=(first,)) for first in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    record.write("%d answers look complete, %d of them end inside an event: %s" % (len(served), len(wrong), ", ".join(wrong)))
    if len(served) < STREAMS / 2:
        raise standins.CannotRun("too few streams were served")
    return not wrong


sys.exit(standins.run_case(HERE, case))
