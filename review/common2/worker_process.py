"""A worker in a process of its own, so that it can be killed: ADDRESS ID SERVICE ZONE BORN_MS.

It answers each request without a length: a first half at once, the rest after REST_S seconds. What
it does is printed, a line each.
"""

import asyncio
import sys

from stage import Worker

REST_S = 1.5
HALF = b"0123456789" * 40


async def answer_unframed(worker, run, headers, body, writer):
    lines = ["HTTP/1.1 200 OK", "Connection: close", *worker.head_lines(run["id"])]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + HALF)
    await writer.drain()
    await asyncio.sleep(REST_S)
    writer.write(HALF)
    await writer.drain()
    writer.close()


async def main():
    address, id_, service, zone = sys.argv[1:5]
    worker = Worker(id_, address, service, zone, lambda text: print(text, flush=True))
    worker.handler = answer_unframed
    await worker.start()
    print("listens", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
