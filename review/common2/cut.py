"""A link that can be cut for a while: bytes and closes wait, and arrive once it is whole again."""

import asyncio


class Link:
    """Pass TCP connections from one address on to another."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self._whole = asyncio.Event()
        self._whole.set()
        self._server = None

    async def start(self):
        host, port = self.listen.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def cut(self):
        self._whole.clear()

    def heal(self):
        self._whole.set()

    async def _serve(self, reader, writer):
        await self._whole.wait()
        host, port = self.target.split(":")
        try:
            near, far = await asyncio.open_connection(host, int(port))
        except OSError:
            # Nothing listens there: the connection is refused, as far as a proxy can.
            writer.transport.abort()
            return
        await asyncio.gather(self._pass(reader, far), self._pass(near, writer))

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            await self._whole.wait()
            writer.transport.abort()
            return
        await self._whole.wait()
        writer.close()
