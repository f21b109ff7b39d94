"""ONE: two machines place orders in the order A, B, A inside leaseMs, as a holder that stops gives
its lease away at once."""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
import standins  # noqa: E402
from standins import TROUBLE  # noqa: E402

SERVICE = "huvo11a"
LEASE_S = standins.BOUNDS["leaseMs"] / 1000
BOOT_S = 4.0
KILL_AFTER_S = 0.45   # from A's SIGTERM to its kill
STOP_GAP_S = 1.0      # from A's SIGTERM to B's, at least
LAST_ROUND_S = 80


class Fleet:
    """The platform's side of one service: engines in the store that follow the orders."""

    def __init__(self, platform):
        self.platform = platform
        self.lock = threading.Lock()
        self.started = 0
        self.engines = {}   # id -> (zone, spot)
        self.ordered = {}   # (zone, spot) -> count
        platform.on_call = self.on_call
        for zone in standins.ZONES:
            for _ in range(3):
                self.add(zone, False)

    def add(self, zone, spot):
        self.started += 1
        id = "i-%08x" % (0x7f3a0000 + self.started)
        self.engines[id] = (zone, spot)
        row = {"service": SERVICE, "address": "127.0.0.1:%d" % standins.free_port(), "zone": zone, "version": "1",
               "slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int(time.time() * 1000)}
        if spot:
            row["spot"] = True
        self.platform.put("servers", id, row)

    def on_call(self, call):
        if call["path"] != "/scale":
            return
        group = (call["body"]["zone"], call["body"].get("spot", False))
        self.ordered[group] = call["body"]["desiredCount"]
        timer = threading.Timer(BOOT_S, self.settle, [group])
        timer.daemon = True
        timer.start()

    def settle(self, group):
        with self.lock:
            running = [id for id, of in self.engines.items() if of == group]
            wanted = self.ordered.get(group, len(running))
            for _ in range(wanted - len(running)):
                self.add(*group)
            for id in running[wanted:]:
                del self.engines[id]
                self.platform.remove("servers", id)

    def has_spot_engines(self):
        with self.lock:
            return any(spot for _, spot in self.engines.values())

    def lose_spot_engine(self):
        """One engine is gone for good; the holder orders another in its zone."""
        with self.lock:
            id, (zone, _) = next((id, of) for id, of in self.engines.items() if of[1])
            del self.engines[id]
        self.platform.remove("servers", id)
        return id, zone


def alternations(calls):
    """Triples of calls for one duty and subject by the holders A, B, A inside leaseMs."""
    found = []
    for subject in sorted({(c["path"], c["body"].get("zone", "")) for c in calls}):
        own = [c for c in calls if (c["path"], c["body"].get("zone", "")) == subject]
        for first, a in enumerate(own):
            between = None
            for c in own[first + 1:]:
                if c["at"] - a["at"] > LEASE_S:
                    break
                if c["holder"] != a["holder"]:
                    between = between or c
                elif between:
                    found.append((subject, a, between, c))
                    break
    return found


def case(record, work, ends):
    platform = standins.Platform(record)
    fleet = Fleet(platform)
    platform.put("op", "config", standins.config(
        [{"name": SERVICE, "scaling": {"min": 1, "max": 6, "bootS": BOOT_S, "spotPrice": 0.18, "zonePrices": {
            "santiago-a": 1.0, "valparaiso-a": 0.8, "concepcion-a": 1.25}}}],
        [standins.route("chat", "streaming", SERVICE, sticky=True)], [{"name": "hule930", "apiKeys": ["key-1"]}]))
    gateways = [standins.Gateway(number, platform, work, zone, standins.ZONES, record, standins.BOUNDS)
                for number, zone in enumerate(list(standins.ZONES)[:2], 1)]
    for gateway in gateways:
        gateway.start()
        ends.append(gateway.end)
    standins.eventually(lambda: all(g.is_ready() for g in gateways), 20, "a gateway isn't ready")
    standins.eventually(fleet.has_spot_engines, 30, "no engines were ordered")
    time.sleep(5)

    def next_order(after, seconds, zone=None, holder=None):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for call in platform.calls[after:]:
                if (call["path"] == "/scale" and zone in (None, call["body"]["zone"])
                        and holder in (None, call["holder"])):
                    return call
            time.sleep(0.002)
        return None

    rounds = 0
    while record.now() < LAST_ROUND_S:
        rounds += 1
        before = len(platform.calls)
        record.write("round %d: engine %s in %s is lost" % ((rounds,) + fleet.lose_spot_engine()))
        order = next_order(before, 10)
        if order is None:
            raise standins.CannotRun("the lost engine was not ordered again")
        if TROUBLE:
            a = next(g for g in gateways if g.name == order["holder"])
            b = next(g for g in gateways if g is not a)
            a.send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            time.sleep(KILL_AFTER_S)
            a.send_signal(signal.SIGKILL)
            a.wait(5)
            # The platform starts A again after a short delay, of a second at most.
            acted = next_order(before, 1.0, holder=b.name)
            a.start()
            if acted or next_order(before, 6, holder=b.name):
                time.sleep(max(0, stopped_at + STOP_GAP_S - time.monotonic()))
                b.send_signal(signal.SIGTERM)
                if b.wait(standins.BOUNDS["graceS"] + 1) is None:
                    b.send_signal(signal.SIGKILL)
                    b.wait(5)
                b.start()
        time.sleep(8)
    found = alternations(platform.calls)
    for subject, a, b, c in found:
        record.write("%s %s: %s at %.3f s, %s at %.3f s, %s at %.3f s: %.3f s from the first to the last" % (
            subject + (a["holder"], a["at"], b["holder"], b["at"], c["holder"], c["at"], c["at"] - a["at"])))
    record.write("%d rounds, %d times A, B, A inside leaseMs" % (rounds, len(found)))
    return not found


sys.exit(standins.run_case(HERE, case))
