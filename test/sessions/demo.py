#!/usr/bin/env python3
"""Runs about 20 s of mixed load on three instances and a platform stand-in, prints a
summary and checks the invariants on the recorded worker events. Exits with a non-zero
code if an invariant is violated or a job is lost."""

import os
import subprocess
import sys

from cluster import Cluster, ROOT, end_on_signals
from tables import mixed_rows

# Seconds of load before the table change.
BEFORE_CHANGE = 10


def main():
    end_on_signals()
    with Cluster() as cluster:
        print("instances:", cluster.addresses_text())
        cluster.put_table(mixed_rows(), 0)
        cluster.wait_table(1)
        cluster.watch_tables()
        load = cluster.start_load(os.path.join(ROOT, "examples", "load-mixed.toml"),
                                  "demo")
        try:
            load.wait(BEFORE_CHANGE)
        except subprocess.TimeoutExpired:
            print("changing the table: savanna/batch is promised less")
            cluster.put_table(mixed_rows(batch_guaranteed=0.1), 1, instance=2)
        code = load.wait(90)
        cluster.wait_table(2)
        sound = cluster.check("demo")
        print("load:", "sound" if code == 0 else f"exit code {code}")
        print("invariants:", "kept" if sound else "BROKEN")
        cluster.keep = cluster.keep or code != 0 or not sound
        return 0 if code == 0 and sound else 1


if __name__ == "__main__":
    sys.exit(main())
