"""Exchange encrypted frames with the other entry instances."""

import asyncio
import hmac
from dataclasses import dataclass

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from ..settings import PeerSettings
from ._peer_message import MAX_MESSAGE_BYTES, decode_message

MAX_QUEUED_MESSAGES = 16


@dataclass(frozen=True, slots=True)
class OutgoingFrame:
    """Represent a frame to be sent to an address."""

    host: str
    port: int
    frame: bytes


class PeerLinkTask:
    """Own the listening socket and one sending socket for each peer."""

    def __init__(
        self,
        host: str,
        port: int,
        settings: PeerSettings,
        inbox: "asyncio.Queue[object]",
    ) -> None:
        """Listen on an address and put received messages into `inbox`."""
        self._inbox = inbox
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._dealers: dict[tuple[str, int], zmq.asyncio.Socket] = {}
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=self
        )
        self._router = self._context.socket(zmq.ROUTER)
        self._router.curve_server = True
        self._configure_socket(self._router)
        self._router.bind(f"tcp://{host}:{port}")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.bad_frames = 0

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer has the shared key; called by the authenticator."""
        return hmac.compare_digest(key, self._settings.curve_public_key.encode())

    async def run(self) -> None:
        """Receive messages until cancelled; count and drop malformed frames."""
        while True:
            frames = await self._router.recv_multipart()
            self.bytes_received += len(frames[-1])
            message = decode_message(frames[-1])
            if message is None:
                self.bad_frames += 1
                continue
            await self._inbox.put(message)

    async def send(self, outgoing: OutgoingFrame) -> None:
        """Send a frame, or drop it if the peer's send queue is full."""
        dealer = self._dealer_for(outgoing.host, outgoing.port)
        try:
            await dealer.send(outgoing.frame, zmq.NOBLOCK)
            self.bytes_sent += len(outgoing.frame)
        except zmq.Again:
            return

    def close_all_except(self, addresses: set[tuple[str, int]]) -> None:
        """Close the sockets to all peers but those at `addresses`."""
        for address in self._dealers.keys() - addresses:
            self._dealers.pop(address).close(linger=0)

    def close(self) -> None:
        """Close all sockets."""
        self.close_all_except(set())
        self._router.close(linger=0)
        self._authenticator.stop()
        self._context.term()

    def _dealer_for(self, host: str, port: int) -> zmq.asyncio.Socket:
        existing = self._dealers.get((host, port))
        if existing is not None:
            return existing
        dealer = self._context.socket(zmq.DEALER)
        dealer.sndhwm = MAX_QUEUED_MESSAGES
        dealer.curve_serverkey = self._settings.curve_public_key.encode()
        self._configure_socket(dealer)
        dealer.connect(f"tcp://{host}:{port}")
        self._dealers[(host, port)] = dealer
        return dealer

    def _configure_socket(self, socket: zmq.asyncio.Socket) -> None:
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.curve_publickey = self._settings.curve_public_key.encode()
        socket.curve_secretkey = self._settings.curve_secret_key.encode()
