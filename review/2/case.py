"""TWICE: a booking runs twice after a late copy of an earlier refusal.

Servers are full for a tenth of a second now and then, and one of them sends a
copy of one of its refusals late. See claim.txt.
"""
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig as R  # noqa: E402

LENGTH_S = 45
ROUND_S = 1.5      # from one time in which the servers are full to the next
FAULT_S = 5.0      # length of one time in which servers send late copies
CALM_S = 2.0       # between two of these
CLIENTS = 40
MEAN_PAUSE_S = 0.45  # of a client: about 70 requests a second in all
FIRST_EVENT_S = 0.05
EVENTS = 4
FULL_S = 0.07      # for which they are full
REFUSAL_S = 0.015  # that a full server takes to turn a request away
LEAST_ANSWERS = 40  # of the faulty server between two late copies: 2.5 in 100


class LateCopies(R.Server):
    """A server that is full at times. If it is faulty, it sends one answer in
    `LEAST_ANSWERS` a second time, where the next answer is expected."""
    full = False
    faulty = False
    since_copy = LEAST_ANSWERS
    copies = 0

    def is_full(self):
        return self.full or super().is_full()

    def begin(self, conn, fields, request_id):
        late = getattr(conn, "late", None)
        if late:
            conn.late = None
            self.copies += 1
            self.rig.record("server %s: an extra answer, the refusal of %s, "
                            "comes late" % (self.name, late[0]))
            conn.send(late[1])
        if self.is_full():
            time.sleep(REFUSAL_S)
        begun = super().begin(conn, fields, request_id)
        self.since_copy += 1
        if not begun and self.faulty and self.since_copy >= LEAST_ANSWERS:
            self.since_copy = 0
            conn.late = (request_id, self.refusal(fields))
        return begun

    def run(self, conn, target, fields, body):
        if not target.startswith("/advice/"):
            return super().run(conn, target, fields, body)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += ["%s: %s" % f for f in self.fields(fields)
                 if f[0] != "Content-Type"]
        time.sleep(FIRST_EVENT_S)
        try:
            conn.send(("\r\n".join(head) + "\r\n\r\n").encode())
            for number in range(1, EVENTS + 1):
                event = b"id: %d\ndata: advice\n\n" % number
                conn.send(b"%x\r\n%s\r\n" % (len(event), event))
                time.sleep(0.02)
            conn.send(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.running -= 1


def main():
    rig = R.Rig(HERE)
    for zone in ("a", "b", "c"):
        rig.add_server("s-" + zone, "desk", zone, kind=LateCopies, work_ms=60)
        rig.add_server("e-" + zone, "engines", zone, kind=LateCopies, slots=32)
    desk = [s for s in rig.servers if s.service == "desk"]
    engines = [s for s in rig.servers if s.service == "engines"]
    faulty_ones = desk[:2] + engines[:2]
    rig.add_entries()
    rig.write_config(
        [{"name": "lookup", "host": "shop.example", "pathPrefix": "/lookup/",
          "kind": "idempotent", "timeoutMs": 800, "goalMs": 300, "priority": 2,
          "service": "desk", "attempts": 2, "public": False},
         {"name": "book", "host": "shop.example", "pathPrefix": "/book/",
          "kind": "non_idempotent", "timeoutMs": 800, "goalMs": 300,
          "priority": 2, "service": "desk", "attempts": 1, "public": False},
         {"name": "advice", "host": "shop.example", "pathPrefix": "/advice/",
          "kind": "streaming", "resumable": False, "timeoutMs": 3000,
          "goalMs": 500, "gapAimMs": 600, "priority": 0, "service": "engines",
          "attempts": 1, "public": False}],
        [{"name": "desk", "healthPath": "/health", "maxConns": 100},
         {"name": "engines", "healthPath": "/health", "maxConns": 230}],
        [{"name": "sales", "apiKeys": ["k1"], "priority": 0, "ratePerS": 0}])
    time.sleep(0.5)
    rig.start()
    if not rig.wait_ready():
        R.finish(rig, 2, "could not run: the entries are not ready")
    end = R.now() + LENGTH_S
    once = {}  # request id -> turn and answer, of those that may run once

    def client(number):
        chance = random.Random(number)
        turn = number * 1000
        while R.now() < end:
            time.sleep(chance.expovariate(1 / MEAN_PAUSE_S))
            turn += 1
            entry = rig.entries[turn % len(rig.entries)]
            if turn % 8 == 0:
                rig.ask(entry, "GET", "/lookup/%d" % turn, "k1")
                continue
            if turn % 8 < 3:
                request_id, answer = rig.ask(entry, "POST", "/book/%d" % turn,
                                             "k1", body=b"pallet")
            else:
                request_id, answer = rig.ask(entry, "POST",
                                             "/advice/%d" % turn, "k1",
                                             deadline_ms=3000, body=b"question")
            once[request_id] = (turn, answer)

    threads = [threading.Thread(target=client, args=(n,), daemon=True)
               for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    begin = R.now()
    while R.now() < end:
        time.sleep(ROUND_S - FULL_S)
        # Two of the three servers are faulty, for 5 s at a time.
        faulty = (rig.trouble and
                  (R.now() - begin) % (FAULT_S + CALM_S) < FAULT_S)
        for server in faulty_ones:
            server.faulty = faulty
        for server in rig.servers:
            server.full = True
        time.sleep(FULL_S)
        for server in rig.servers:
            server.full = False
    for thread in threads:
        thread.join(5)
    runs = {}
    for server in rig.servers:
        for request_id, times in server.runs.items():
            runs[request_id] = runs.get(request_id, 0) + times
    twice = [i for i in once if runs.get(i, 0) > 1]
    untrue = [i for i, (_, a) in once.items()
              if a.status in (408, 421, 429, 503) and runs.get(i, 0) > 0]
    served = sum(a.status == 200 for _, a in once.values())
    rig.record("%d requests that may run once, %d served, %d late copies in "
               "%d answers of the faulty servers" % (
                   len(once), served, sum(s.copies for s in faulty_ones),
                   sum(s.answers for s in faulty_ones)))
    for i in twice:
        rig.record("%s %s ran %d times; the client got %d" % (
            "booking" if once[i][0] % 8 < 3 else "stream", i, runs[i],
            once[i][1].status))
    for i in untrue:
        rig.record("%s ran; the client got %d, which says that it did not"
                   % (i, once[i][1].status))
    if served < len(once) / 2:
        R.finish(rig, 2, "could not run: %d of %d requests served"
                 % (served, len(once)))
    if twice or untrue:
        R.finish(rig, 1, "TWICE broken: of %d requests that may run once, %d "
                 "ran twice (REFUSED: %d refused as not run had run)"
                 % (len(once), len(twice), len(untrue)))
    R.finish(rig, 0, "TWICE held: %d requests that may run once, none ran "
             "twice" % len(once))


R.run(main)
