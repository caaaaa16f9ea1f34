"""CONFIG: a key that was taken away goes on being accepted.

A change of the configuration takes a tenant's key away and gives it a new one
of 256 characters. No process puts that version into force.
See claim.txt.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig as R  # noqa: E402

CALM_S = 4
AFTER_S = 14
CONFIG_APPLY_S = 2.0  # the bound configApplyMs
OLD_KEY = "3d3zji9n73hh2b9wu3fe"
NEW_KEY = "xd9dnn2ctnfzs989" * 16  # 256 characters


def main():
    rig = R.Rig(HERE)
    for zone in ("a", "b", "c"):
        rig.add_server("s-" + zone, "desk", zone, work_ms=60)
    rig.add_entries()

    def write(keys):
        rig.write_config(
            [{"name": "book", "host": "shop.example", "pathPrefix": "/book/",
              "kind": "non_idempotent", "timeoutMs": 800, "goalMs": 300,
              "priority": 2, "service": "desk", "attempts": 1,
              "public": False}],
            [{"name": "desk", "healthPath": "/health", "maxConns": 100}],
            [{"name": "kalimati", "apiKeys": keys, "priority": 0,
              "ratePerS": 0},
             {"name": "asan", "apiKeys": ["key2"], "priority": 0,
              "ratePerS": 0}])

    write([OLD_KEY])
    time.sleep(0.5)
    rig.start()
    if not rig.wait_ready():
        R.finish(rig, 2, "could not run: the entries are not ready")
    sent = {}  # request id -> (key, time, status)

    def client(key, end):
        turn = 0
        while R.now() < end:
            turn += 1
            at = R.now()
            request_id, answer = rig.ask(
                rig.entries[turn % len(rig.entries)], "POST",
                "/book/%d" % turn, key, body=b"repair")
            sent[request_id] = (key, at, answer.status)
            time.sleep(0.1)

    end = R.now() + CALM_S + AFTER_S
    threads = [threading.Thread(target=client, args=(key, end), daemon=True)
               for key in (OLD_KEY, "key2")]
    for thread in threads:
        thread.start()
    time.sleep(CALM_S)
    confirmed = None
    if rig.trouble:
        write([NEW_KEY])
        confirmed = R.now()
        time.sleep(CONFIG_APPLY_S)
        threads.append(threading.Thread(target=client, args=(NEW_KEY, end),
                                        daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join(30)
    runs = set()
    for server in rig.servers:
        runs.update(server.runs)
    late = {i: v for i, v in sent.items()
            if confirmed and v[1] > confirmed + CONFIG_APPLY_S}
    dropped = [i for i, v in late.items() if v[0] == OLD_KEY and i in runs]
    refused = [i for i, v in late.items()
               if v[0] == NEW_KEY and v[2] in (401, 403, 404)]
    if dropped:
        last = max(late[i][1] for i in dropped)
        rig.record("%d requests ran with the key that was taken away, the last "
                   "one sent %.1f s after the confirmation"
                   % (len(dropped), last - confirmed))
    served = sum(v[2] == 200 for v in sent.values())
    if served < len(sent) / 2:
        R.finish(rig, 2, "could not run: %d of %d served"
                 % (served, len(sent)))
    if dropped or refused:
        R.finish(rig, 1, "CONFIG broken: of %d requests sent over configApplyMs "
                 "after the confirmation, %d ran with the key taken away and "
                 "%d with the new key got 401"
                 % (len(late), len(dropped), len(refused)))
    R.finish(rig, 0, "CONFIG held: %d requests" % len(sent))


R.run(main)
