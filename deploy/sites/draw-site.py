#!/usr/bin/env python3
"""Draws a deployment from a seed: draw-site.py SEED > site.toml. The same seed gives the same file.

The ranges are those that the bench's page allows and the operators' sites show. Drawn are what decides who waits for whom:
classes, their runs, SLA times, worths and effects, hints, queue order and priorities, zones, tenants, retries.
"""
import random
import sys

FIXED = """
[day]
length_s = [45, 60]
tick_ms = 2
max_requests = 140000
troubles = [1, 1.99]
in_step = false
start_spread_ms = [240, 990]

[scale]
servers = [9, 12]
balancers = [4, 6]
big_servers = [11, 17]
big_balancers = [4, 9]
twin_servers = 9
twin_balancers = 4

[discovery]
mode = "push"
notice_s = [0.87, 5.6]
silent_notice_s = [5, 11]
add_s = [0.26, 2.8]
period_ms = [160, 800]
spread_ms = [20, 120]

[goal]
whole = 0.55
worst_window = 0.05
worst_class = 0.3
worst_tenant = 0.1

[prices]
cross_zone = 0
waste = 0.024
probe = 0
peer = 0
late_fail = 0.059
origin = 0

[tier_report]
"""

TIER = """
[[tier]]
name = "w"
cell_size = [3, 5]
weights = "{weights}"

[tier.report]
how = "none"
fields = []
period_ms = [310, 1500]
delay_ms = [68, 490]
noise = [0.016, 0.075]

[tier.conn]
streams = 1
handshake_rtts = [1, 3]
handshake_us = [1000, 6000]
idle_s = 30
connect_timeout_ms = 250
cap_per_core = [600, 900]
full_tax = [0.05, 0.4]

[tier.probe]
work_us = [190, 390]
cap_per_core = [3.5, 9.4]
deep = true
timeout_ms = 300
"""

KIND = """
[[tier.kind]]
name = "{name}"
share = [0.4, 0.6]
cores = 2
speed = {speed}
speed_cv = [0.03, 0.25]
slots_per_core = 1
queue_per_core = [4.6, 9.5]
thrash = 0
thrash_at = [6.3, 13]
cold_from = [0.2, 0.5]
cold_s = [12, 23]
warm_by = "time"
pause_every_s = [2.2, 10]
pause_ms = [0, 190]
pause_grow = [0.15, 0.98]
error_rate = [0, 0.001]
cancel = "{cancel}"
drops_expired = {drops}
"""


def draw_class(rng, at, count):
    work = rng.choice([15, 40, 100, 250, 600, 1500, 2500]) * rng.uniform(0.8, 1.25)
    aim = rng.choice([60, 150, 400, 1000, 3000])
    deadline = max(4 * aim, 8 * work, 1500)
    return {
        "name": f"c{at}", "work": work, "aim": aim, "deadline": min(int(deadline), 20000),
        "share": rng.uniform(0.06, 1.0), "worth": rng.choice([1, 1, 2, 5, 8, 20, 50]),
        "effect": rng.choice(["safe", "safe", "unsafe"]), "priority": rng.randrange(2),
        "slots": rng.choice(["[1.0]", "[1.0]", "[0.5, 0.5]"]), "stretch": rng.choice([1.5, 2.0, 3.0]),
    }


def main():
    seed = int(sys.argv[1])
    rng = random.Random(seed)
    zones = rng.choice([1, 1, 2, 3])
    classes = [draw_class(rng, at, 0) for at in range(rng.randrange(2, 6))]
    total = sum(one["share"] for one in classes)
    print(f'name = "drawn-{seed}"\nfamily = "jobs"\nwire = "wire.json"\nstock = "drawn{seed:07d}"')
    print(FIXED.replace("[tier_report]\n", ""))
    print(f"""[load]
quiet = [0.35, 0.5]
trouble = [0.55, 0.73]
overload = [0.99, 1.3]
big = [0.56, 0.76]
shape = ["steady", "wave"]
swing = [0.05, 0.2]
zone_skew = {rng.choice(['0', '[0.25, 0.6]'])}
stream_cv = [0.9, 1.8]
hints = "{rng.choice(['good', 'rough', 'none'])}"
worth_by = "{rng.choice(['work', 'request'])}"
over_share_worth = 0.1
quota_of_capacity = [0.73, 0.87]

[net]
zones = [{', '.join(f'"z{zone}"' for zone in range(zones))}]
same_ms = [0.09, 0.3]
cross_ms = {rng.choice(['[0.5, 1.5]', '[10, 20]'])}
client_ms = [0.02, 0.9]
jitter = [0.05, 0.33]
server_skew = [0, 0.3]

[front]
entry = "own"

[clients]
retries = {rng.choice(['[0, 0.99]', '[1, 1.99]', '[2, 3.99]'])}
try_share = 1
backoff = "{rng.choice(['none', 'fixed', 'exp'])}"
honour = [0, 0.4]
backoff_ms = [18, 150]
max_retry_after_ms = 2000
impatient = [0, 0.01]
marks_retry = true

[allow]
probes = false
peers = false
cancel = true
second_copies = true
retry_after = {rng.choice(['true', 'false'])}
max_attempts = {rng.choice([1, 3, 6])}
cpu_ms_per_s = 400

[rules]
drain_grace_ms = 2000
fall_multiple = 5
fall_ms = 1000
""")
    print(TIER.format(weights=rng.choice(["none", "nominal"])))
    cancel = rng.choice(["none", "all"])
    drops = rng.choice(["true", "false"])
    for name, speed in [("fast", "[0.85, 1.1]"), ("slow", "[0.6, 0.86]")]:
        print(KIND.format(name=name, speed=speed, cancel=cancel, drops=drops))
    for one in classes:
        share, work = one["share"] / total, one["work"]
        print(f"""[[class]]
name = "{one['name']}"
share = [{0.8 * share:.3f}, {1.2 * share:.3f}]
work_ms = [{0.7 * work:.1f}, {1.3 * work:.1f}]
dist = ["lognormal", "exp"]
cv = [0.4, 1.5]
attempt_noise = [0.06, 0.55]
aim_ms = {one['aim']}
deadline_ms = {one['deadline']}
worth = {one['worth']}
late_worth = 0.2
effect = "{one['effect']}"
""")
    tenants = rng.choice([1, 2, 3])
    for at, weight in enumerate([[1.0], [0.8, 0.2], [0.5, 0.3, 0.2]][tenants - 1]):
        print(f'[[tenant]]\nname = "t{at}"\nshare = {weight}\nusage = [0.5, 1.4]\n')
    for trouble in [
        'name = "burst"\nlen_s = [3.3, 9.7]\nsize = [1.6, 2.5]\nextra = [2, 0.41]',
        'name = "tenant_burst"\nlen_s = [5.6, 20]\nsize = [2, 6]\nextra = [1.8, 0.2]',
        'name = "heavy_tail"\nlen_s = [13, 30]\nsize = [5.1, 28]\nextra = [0.0056, 0.03]',
    ]:
        print(f"[[trouble]]\n{trouble}\n")
    print(f"""[fam]
order = "{rng.choice(['fifo', 'fifo', 'priority', 'backfill'])}"
memory = false
checkpoint_s = 0.0
tells_start = {rng.choice(['true', 'true', 'true', 'false'])}
progress_s = 1.0
drain_returns = false
has_keys = false
preempt = "none"
""")
    for one in classes:
        print(f"[[fam.class]]\nslots = {one['slots']}\npriority = {one['priority']}\nstretch = {one['stretch']}\n")


main()
