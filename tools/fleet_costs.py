#!/usr/bin/env python3
"""Adds up the brokers' 'costs:' log lines over a fleet (docs/on-call.md).

Input: a folder of broker logs, one file a broker, each line '[TIME ]SECONDS costs: requests=N probes=N
connections=N list_calls=N ...' among others; a broker restarted in the same file starts its counts from 0.
Output: the fleet's totals, each a thousand requests, and the busiest second of each count (by the first time
on the line). Standard library only."""
import collections
import pathlib
import re
import sys

KEYS = ("requests", "probes", "connections", "list_calls")
LINE = re.compile(r"^([\d.]+) (?:[\d.]+ )?costs: " + " ".join(rf"{k}=(\d+)" for k in KEYS))


def increments(path):
    """(second, counts added) for each line of one broker's log."""
    last = None
    for line in path.read_text(errors="replace").splitlines():
        found = LINE.match(line)
        if not found:
            continue
        now = tuple(int(v) for v in found.groups()[1:])
        restarted = last is None or any(n < o for n, o in zip(now, last))
        yield int(float(found.group(1))), now if restarted else tuple(n - o for n, o in zip(now, last))
        last = now


def main(folder):
    totals = [0] * len(KEYS)
    by_second = collections.defaultdict(lambda: [0] * len(KEYS))
    brokers = 0
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        brokers += 1
        for second, added in increments(path):
            for n, v in enumerate(added):
                totals[n] += v
                by_second[second][n] += v
    requests = totals[0]
    print(f"{brokers} brokers, {requests} requests answered")
    for n, key in enumerate(KEYS[1:], start=1):
        per_k = 1000 * totals[n] / requests if requests else 0
        peak = max(by_second.items(), key=lambda item: item[1][n], default=(0, [0] * len(KEYS)))
        print(f"{key}: {totals[n]}, {per_k:.1f} a thousand requests, at most {peak[1][n]} in a second (at {peak[0]} s)")


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit("usage: fleet_costs.py FOLDER")
    main(sys.argv[1])
