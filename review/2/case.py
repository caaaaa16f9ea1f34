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

LENGTH_S = 75
ROUND_S = 1.25     # from one time in which the servers are full to the next
FAULT_S = 5.0      # length of one time in which servers send late copies
CALM_S = 2.0       # between two of these
CLIENTS = 30
MEAN_PAUSE_S = 0.65  # of a client: about 40 requests a second in all
FULL_S = 0.06      # for which they are full
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
        begun = super().begin(conn, fields, request_id)
        self.since_copy += 1
        if not begun and self.faulty and self.since_copy >= LEAST_ANSWERS:
            self.since_copy = 0
            conn.late = (request_id, self.refusal(fields))
        return begun


def main():
    rig = R.Rig(HERE)
    for zone in ("a", "b", "c"):
        rig.add_server("s-" + zone, "desk", zone, kind=LateCopies, work_ms=60)
    rig.add_entries()
    rig.write_config(
        [{"name": "lookup", "host": "shop.example", "pathPrefix": "/lookup/",
          "kind": "idempotent", "timeoutMs": 800, "goalMs": 300, "priority": 2,
          "service": "desk", "attempts": 2, "public": False},
         {"name": "book", "host": "shop.example", "pathPrefix": "/book/",
          "kind": "non_idempotent", "timeoutMs": 800, "goalMs": 300,
          "priority": 2, "service": "desk", "attempts": 1, "public": False}],
        [{"name": "desk", "healthPath": "/health", "maxConns": 100}],
        [{"name": "sales", "apiKeys": ["k1"], "priority": 0, "ratePerS": 0}])
    time.sleep(0.5)
    rig.start()
    if not rig.wait_ready():
        R.finish(rig, 2, "could not run: the entries are not ready")
    end = R.now() + LENGTH_S
    bookings = {}  # request id -> status of the answer

    def client(number):
        chance = random.Random(number)
        turn = number * 1000
        while R.now() < end:
            time.sleep(chance.expovariate(1 / MEAN_PAUSE_S))
            turn += 1
            entry = rig.entries[turn % len(rig.entries)]
            if turn % 4 == 0:
                rig.ask(entry, "GET", "/lookup/%d" % turn, "k1")
            else:
                request_id, answer = rig.ask(entry, "POST", "/book/%d" % turn,
                                             "k1", body=b"pallet")
                bookings[request_id] = answer

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
        for server in rig.servers[:2]:
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
    twice = [i for i in bookings if runs.get(i, 0) > 1]
    untrue = [i for i, a in bookings.items()
              if a.status in (408, 421, 429, 503) and runs.get(i, 0) > 0]
    rig.record("%d bookings, %d served, %d late copies in %d answers of the "
               "faulty servers" % (
                   len(bookings),
                   sum(a.status == 200 for a in bookings.values()),
                   sum(s.copies for s in rig.servers[:2]),
                   sum(s.answers for s in rig.servers[:2])))
    for i in twice:
        rig.record("booking %s ran %d times; the client got %d"
                   % (i, runs[i], bookings[i].status))
    for i in untrue:
        rig.record("booking %s ran; the client got %d, which says that it did "
                   "not" % (i, bookings[i].status))
    served = sum(a.status == 200 for a in bookings.values())
    if served < len(bookings) / 2:
        R.finish(rig, 2, "could not run: %d of %d bookings served"
                 % (served, len(bookings)))
    if twice:
        R.finish(rig, 1, "TWICE broken: %d bookings of %d ran twice; REFUSED: "
                 "%d refused as not run had run"
                 % (len(twice), len(bookings), len(untrue)))
    if untrue:
        R.finish(rig, 1, "REFUSED broken: %d bookings of %d were refused as "
                 "not run and had run" % (len(untrue), len(bookings)))
    R.finish(rig, 0, "TWICE held: %d bookings, none ran twice" % len(bookings))


main()
