"""ONE: two usage reports for one window with different counts.

The store comes back from a copy some seconds old, and all entry processes are
killed while it is away. See claim.txt.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig as R  # noqa: E402

COPY_AGE_S = 4.5   # of the copy, when the store is back
AWAY_S = 1.5       # for which the store is away
RESTART_S = 0.5    # from the kill of a process to its start
CLIENTS = 8
PAUSE_S = 0.25     # between two requests of a client: about 25 a second in all


def main():
    rig = R.Rig(HERE)
    for zone in ("a", "b", "c"):
        rig.add_server("s-" + zone, "desk", zone, work_ms=60)
    rig.add_entries()
    tenants = [{"name": "tenant%d" % i, "apiKeys": ["key%d" % i],
                "priority": 0, "ratePerS": 0} for i in range(5)]
    rig.write_config(
        [{"name": "lookup", "host": "shop.example", "pathPrefix": "/lookup/",
          "kind": "idempotent", "timeoutMs": 800, "goalMs": 300, "priority": 2,
          "service": "desk", "attempts": 2, "public": False},
         {"name": "book", "host": "shop.example", "pathPrefix": "/book/",
          "kind": "non_idempotent", "timeoutMs": 800, "goalMs": 300,
          "priority": 2, "service": "desk", "attempts": 1, "public": False}],
        [{"name": "desk", "healthPath": "/health", "maxConns": 100}], tenants)
    time.sleep(0.5)
    rig.start()
    if not rig.wait_ready():
        R.finish(rig, 2, "could not run: the entries are not ready")
    stop = threading.Event()

    def client(number):
        turn = number
        while not stop.is_set():
            turn += 1
            entry = rig.entries[turn % len(rig.entries)]
            kind = ("GET", "/lookup/%d") if turn % 3 == 0 else \
                   ("POST", "/book/%d")
            rig.ask(entry, kind[0], kind[1] % turn, "key%d" % (turn % 5),
                    body=b"x" if kind[0] == "POST" else b"")
            time.sleep(PAUSE_S)

    for number in range(CLIENTS):
        threading.Thread(target=client, args=(number,), daemon=True).start()

    def reports():
        return [c for c in rig.cloud.calls if c[1] == "/usage"]

    # Two windows pass in calm; the next report begins the disruption.
    limit = R.now() + 40
    while len({c[4]["windowSeq"] for c in reports()}) < 3:
        if R.now() > limit:
            R.finish(rig, 2, "could not run: no usage reports in calm")
        time.sleep(0.02)
    time.sleep(0.2)
    if rig.trouble:
        gone_at = R.now()
        rig.store.leave()
        for entry in rig.entries:
            entry.kill()
        for entry in rig.entries:
            entry.process.wait()
        time.sleep(RESTART_S)
        rig.start()
        time.sleep(max(0, gone_at + AWAY_S - R.now()))
        rig.store.restore(R.now() - COPY_AGE_S)
    time.sleep(25)
    stop.set()
    time.sleep(1)
    counts = {}
    for call in reports():
        rows = counts.setdefault(call[4]["windowSeq"], [])
        if call[4]["counts"] not in rows:
            rows.append(call[4]["counts"])
    broken = {w: rows for w, rows in counts.items() if len(rows) > 1}
    rig.record("usage windows reported: %d" % len(counts))
    for window, rows in broken.items():
        rig.record("window %d was reported as %s" % (window, " and as ".join(
            str(sorted(r.items())) for r in rows)))
    if len(counts) < 3:
        R.finish(rig, 2, "could not run: too few reports")
    if broken:
        R.finish(rig, 1, "ONE broken: %d windows were reported with different "
                 "counts" % len(broken))
    R.finish(rig, 0, "ONE held: %d windows, each with one report" % len(counts))


R.run(main)
