"""A killed dispatcher comes back with its last list while the agent, which has been told of a drain, is silent."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standin import *  # noqa: E402,F403

GRACE = 3.0   # s after being told of a drain
SLACK = 0.05  # s by which each time limit is longer on sockets
DOWN = 8.0    # s for which discovery is down and the agent silent
AFTER = 2.0   # s after the end of the grace at which the drained worker ends


def case(record, folder, daemons):
    workers = {name: Worker(name, record, seconds=0.4) for name in ("w0", "w1", "w2")}
    discovery = Discovery(record, [entry(name, worker.address) for name, worker in workers.items()])
    made = settings([scheme("charge", "once")], Contract={"StopSendingWithinNs": int(GRACE * 1e9)})
    config = configuration("n0", discovery.address, made, known=discovery.whole())
    first = Daemon("n0", config, folder)
    daemons.append(first)
    first.wait_until_ready()
    clients = Clients(record, first.address, count=12, pause=0.1, class_name="charge")
    time.sleep(2)
    last_list = discovery.whole()
    first.kill()
    record("platform: the dispatcher is killed")
    discovery.change(entry("w0", workers["w0"].address, "draining"))
    record("discovery: the agent is told that w0 drains")
    time.sleep(0.2)
    if TROUBLE:
        discovery.silent = True
        record(f"discovery: is down for {DOWN} s, the agent is silent")
    down_since = time.monotonic()
    time.sleep(0.5)
    config["known"] = last_list
    started = time.monotonic()
    again = Daemon("n0", config, folder)
    daemons.append(again)
    record("platform: the dispatcher is started again, with the list that it last had")
    again.wait_until_ready()
    # What the agent has counts as told from the first moment of a new process.
    limit = started + GRACE + SLACK
    record(f"rule: told of the drain at {record.at(started):.3f}, nothing new to w0 after {record.at(limit):.3f}")
    time.sleep(max(0, limit + AFTER - time.monotonic()))
    workers["w0"].end()
    time.sleep(max(0, down_since + DOWN - time.monotonic()))
    discovery.silent = False
    record("discovery: is back")
    time.sleep(2)
    clients.stop()
    for identity in workers["w0"].lost:
        record(f"lost with w0: {identity}, its client was answered {clients.answers.get(identity)}")
    if sum(1 for status, _ in clients.answers.values() if status == 200) < 30:
        raise CannotRun("hardly a request was served")
    return [f"{identity} was sent to w0 {moment - limit:.3f} s after the grace had ended"
            for moment, identity in workers["w0"].came if moment > limit]


play(HERE, case)
