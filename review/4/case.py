"""UNASKED: requests run under the name of another tenant.

A change of the configuration adds two tenants, whose names are longer than 41
characters and begin alike. See claim.txt.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig as R  # noqa: E402

CALM_S = 4
AFTER_S = 8
CONFIG_APPLY_S = 2.0  # the bound configApplyMs
OLD = [("kalimati", "key1"), ("asan", "key2")]
NEW = [("kalimati-sabji-bazar-stall-owners-association-east", "key3"),
       ("kalimati-sabji-bazar-stall-owners-association-west", "key4")]


class Noting(R.Server):
    """Notes under which tenant it runs each request."""
    tenants = {}

    def begin(self, conn, fields, request_id):
        self.tenants[request_id] = fields.get("tenant", "")
        return super().begin(conn, fields, request_id)


def main():
    rig = R.Rig(HERE)
    for zone in ("a", "b", "c"):
        rig.add_server("s-" + zone, "desk", zone, kind=Noting, work_ms=60)
    rig.add_entries()

    def write(tenants):
        rig.write_config(
            [{"name": "book", "host": "shop.example", "pathPrefix": "/book/",
              "kind": "non_idempotent", "timeoutMs": 800, "goalMs": 300,
              "priority": 2, "service": "desk", "attempts": 1,
              "public": False}],
            [{"name": "desk", "healthPath": "/health", "maxConns": 100}],
            [{"name": name, "apiKeys": [key], "priority": 0, "unit": "tokens",
              "plainTokens": 200, "ratePerS": 199022, "burst": 199022}
             for name, key in tenants])

    write(OLD)
    time.sleep(0.5)
    rig.start()
    if not rig.wait_ready():
        R.finish(rig, 2, "could not run: the entries are not ready")
    asked = {}  # request id -> name of the tenant that holds the key
    statuses = {}

    def client(name, key, end):
        turn = 0
        while R.now() < end:
            turn += 1
            entry = rig.entries[turn % len(rig.entries)]
            request_id, answer = rig.ask(entry, "POST", "/book/%d" % turn, key,
                                         body=b"repair")
            asked[request_id] = name
            statuses[request_id] = answer.status
            time.sleep(0.1)

    end = R.now() + CALM_S + CONFIG_APPLY_S + AFTER_S
    threads = [threading.Thread(target=client, args=(name, key, end),
                                daemon=True) for name, key in OLD]
    for thread in threads:
        thread.start()
    time.sleep(CALM_S)
    if rig.trouble:
        write(OLD + NEW)
        time.sleep(CONFIG_APPLY_S)
        for name, key in NEW:
            threads.append(threading.Thread(target=client,
                                            args=(name, key, end),
                                            daemon=True))
            threads[-1].start()
    for thread in threads:
        thread.join(30)
    foreign = [i for i, name in asked.items()
               if i in Noting.tenants and Noting.tenants[i] != name]
    for i in foreign:
        rig.record("%s ran under the tenant '%s'; its key is that of '%s'"
                   % (i, Noting.tenants[i], asked[i]))
    served = sum(s == 200 for s in statuses.values())
    if served < len(asked) / 2:
        R.finish(rig, 2, "could not run: %d of %d served"
                 % (served, len(asked)))
    names = {Noting.tenants[i] for i in foreign}
    if foreign:
        R.finish(rig, 1, "UNASKED broken: %d of %d requests ran under a tenant "
                 "that does not hold their key; %d tenants ran under %d name"
                 % (len(foreign), len(asked),
                    len({asked[i] for i in foreign}), len(names)))
    R.finish(rig, 0, "UNASKED held: %d requests" % len(asked))


R.run(main)
