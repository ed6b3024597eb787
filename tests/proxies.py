"""TCP proxy on loopback that injects faults into connections."""

import asyncio
import contextlib

from tests import siteworker

CHUNK_BYTES = 65536


class Proxy:
    """TCP proxy with faults: delay, reset, and silent loss per direction."""

    def __init__(self, port: int) -> None:
        self._target = port
        self.port = 0
        self.delay_s = 0.0
        # Rate of each connection; 0 if it is not limited.
        self.bytes_per_s = 0.0
        # Bytes from the client (deaf) or to it (mute) are dropped, without
        # an error on either side.
        self.is_deaf = False
        self.is_mute = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, siteworker.LOOPBACK, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self, is_deaf: bool = True, is_mute: bool = True) -> None:
        """Lose what is sent from now on, in one or both directions."""
        self.is_deaf, self.is_mute = is_deaf, is_mute

    def clear(self) -> None:
        """End all faults; abort the connections, which lost bytes."""
        self.is_deaf = self.is_mute = False
        self.delay_s = self.bytes_per_s = 0.0
        self.reset()

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        assert self._server is not None
        self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.open_connection(
                siteworker.LOOPBACK, self._target
            )
        except OSError:
            # Nothing listens at the target: the caller sees its connection
            # reset, as it would without a proxy.
            writer.transport.abort()
            return
        self._writers |= {writer, target[1]}
        await asyncio.gather(
            self._relay(reader, target[1], 'is_deaf'),
            self._relay(target[0], writer, 'is_mute'),
        )
        self._writers -= {writer, target[1]}

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.bytes_per_s:
                    await asyncio.sleep(len(data) / self.bytes_per_s)
                if getattr(self, fault):
                    # These bytes are lost, and the stream cannot recover:
                    # clearing the fault resets all connections.
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()


async def put_before(address: siteworker.Address) -> Proxy:
    """Start a proxy through which nodes reach a worker."""
    proxy = Proxy(address.listen_port)
    await proxy.start()
    address.port = proxy.port
    return proxy
