"""The settings get a bound that is a fraction; then machines are restarted."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
from rig3 import (BROKEN, HELD, HOST, TROUBLE, Server, read_body,
                  read_head, route, run_case)

MACHINES = 3
CHANGED = (0, 1)       # machines whose settings file changes: 2 of 3
RESTART_DELAY = 0.5    # s until the platform starts an ended process again
ENDS_THAT_COUNT = 3    # times that a process ends by itself
STAYS_UP = 3           # s after which a process counts as started
ROUTES = [route("lookup", "/lookup/", "idempotent", 2)]


async def ask(deployment, machine, name, record):
    """One lookup on a new connection. Returns the status; 0: no connection."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(
            deployment.ips[machine], deployment.front), 1)
        writer.write((f"GET /lookup/part HTTP/1.1\r\nHost: {HOST}\r\n"
                      f"Request-Id: {name}\r\nDeadline-Ms: 1500\r\n"
                      "Authorization: Token first-key\r\n\r\n").encode())
        line, fields = await asyncio.wait_for(read_head(reader), 3)
        await asyncio.wait_for(read_body(reader, fields), 3)
        writer.close()
        status = int(line.split()[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        status = 0
    record.write("machine", machine, "request", name, "status", status)
    return status


async def restart(deployment, machine, record):
    """SIGTERM, then the platform starts the process again, also when it ends
    by itself. Returns how often it has ended by itself."""
    process = deployment.processes[machine]
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        await asyncio.sleep(0.02)
    record.write("machine", machine, "ended after SIGTERM", process.poll())
    ends = 0
    while ends < ENDS_THAT_COUNT:
        await asyncio.sleep(RESTART_DELAY)
        deployment.start_entry(machine)
        process = deployment.processes[machine]
        for _ in range(int(STAYS_UP / 0.05)):
            await asyncio.sleep(0.05)
            if process.poll() is not None:
                break
        if process.poll() is None:
            record.write("machine", machine, "runs")
            break
        ends += 1
        log = (pathlib.Path(deployment.folder.name) /
               f"entry-{machine}.log").read_text().strip().splitlines()
        reason = log[-1].replace(deployment.folder.name, "FOLDER")
        record.write("machine", machine, "ended by itself, exit code",
                     process.poll(), "last line:", reason)
    return ends


async def case(deployment, record):
    servers = [Server(f"i-{n}", record) for n in range(3)]
    for server in servers:
        await server.start()
        deployment.add_server(server)
    deployment.write_config(["first-key"], ROUTES)
    for i in range(MACHINES):
        deployment.start_entry(i)
    for i in range(MACHINES):
        await deployment.wait_ready(i)
    await asyncio.sleep(1)
    for i in range(MACHINES):
        if await ask(deployment, i, f"before-{i}", record) != 200:
            raise RuntimeError("not served before the trouble")
    if TROUBLE:
        for i in CHANGED:
            deployment.bounds[i]["graceS"] = 7.5
            deployment.write_settings(i)
            record.write("machine", i, "settings have graceS 7.5, SIGHUP")
            deployment.processes[i].send_signal(signal.SIGHUP)
            await asyncio.sleep(1.1)
    # The machines are stopped and started in turn.
    ends = {i: await restart(deployment, i, record) for i in CHANGED}
    for i in range(MACHINES):
        await ask(deployment, i, f"after-{i}", record)
    record.write("ended by themselves", ends)
    broken = sum(count >= ENDS_THAT_COUNT for count in ends.values())
    return BROKEN if broken >= 2 else HELD


run_case(pathlib.Path(__file__).resolve().parent, case, MACHINES)
