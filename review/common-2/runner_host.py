"""Runs some runners in a process of their own, so that the store and the clients of a
case are not slowed by many starts. Prints a line of JSON each half second: processors in
use, starts in all, and the tasks that were begun or ended for the first time."""

import asyncio
import json
import sys

from standins import Runner


class RemoteStore:
    """Writes the entries of the runners to the store of the case."""

    def __init__(self, address):
        self.ip, _, port = address.rpartition(":")
        self.port = int(port)
        self.sending = set()

    def put(self, key, content):
        task = asyncio.get_running_loop().create_task(self.send(key, content))
        self.sending.add(task)
        task.add_done_callback(self.sending.discard)

    async def send(self, key, content):
        data = json.dumps({"key": key, "content": content}).encode()
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.port)
            writer.write(b"POST /stand-in/put HTTP/1.1\r\nConnection: close\r\n"
                         b"Content-Length: %d\r\n\r\n" % len(data) + data)
            await reader.read()
            writer.close()
        except OSError:
            pass


class Quiet:
    """A record that keeps nothing."""

    def __call__(self, *_, **__):
        pass

    def now(self):
        return asyncio.get_running_loop().time()


if __name__ == "__main__":
    _, store_address, first_index, number, processors = sys.argv

    async def main():
        store = RemoteStore(store_address)
        record = Quiet()
        runners = [Runner(record, store, f"i-{n:04x}", f"r1-{n // 8}", int(processors), 262144)
                   for n in range(int(first_index), int(first_index) + int(number))]
        for runner in runners:
            await runner.start()
        reported = [0] * len(runners)
        while True:
            await asyncio.sleep(0.5)
            new = []
            for index, runner in enumerate(runners):
                new += [entry["task"] for entry in runner.log[reported[index]:]]
                reported[index] = len(runner.log)
            print(json.dumps({"running": sum(len(runner.running) for runner in runners),
                              "starts": sum(reported), "new": new}), flush=True)

    asyncio.run(main())
