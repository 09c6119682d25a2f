"""Gives processes their share of a core as a quota, as DEPLOY.md says ("The core runs at full
speed until the quota is used up, and then runs not at all for the rest of that tenth of a
second"), by SIGSTOP and SIGCONT. Usage: quota.py SHARE PID... ; ends with its parent."""

import os
import signal
import sys
import time

PERIOD_S = 0.1
CHECK_S = 0.004


def used_s(pid):
    with open(f"/proc/{pid}/schedstat", encoding="utf-8") as stat:
        return int(stat.read().split()[0]) / 1e9


def main():
    share = float(sys.argv[1])
    pids = {int(pid) for pid in sys.argv[2:]}
    while pids:
        end = time.monotonic() + PERIOD_S
        begun, stopped = {}, set()
        for pid in list(pids):
            try:
                os.kill(pid, signal.SIGCONT)
                begun[pid] = used_s(pid)
            except OSError:
                pids.discard(pid)
        while time.monotonic() < end:
            time.sleep(CHECK_S)
            for pid in pids - stopped:
                try:
                    if used_s(pid) - begun[pid] >= share * PERIOD_S:
                        os.kill(pid, signal.SIGSTOP)
                        stopped.add(pid)
                except OSError:
                    pids.discard(pid)


main()
