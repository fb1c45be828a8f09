"""Exchange the owner's direct messages between instances.

Load pattern: all instances start at the same time after a loss of power. Importing
pyzmq would make each start longer, so this module is imported only after that.
"""

import asyncio

import msgspec
import zmq
import zmq.asyncio
from baobablane.succession import OwnerContact
from zmq.utils.monitor import recv_monitor_message

from ..decision_log import DecisionLog
from ..jobs import boot_seconds
from ._owner_message import (
    MAX_MESSAGE_BYTES,
    OwnerMessage,
    decode_owner_message,
    encode_owner_message,
)

RECONNECT_INTERVAL_MS = 20
# A watcher that doesn't read misses messages, which never wait for it.
MAX_QUEUED_MESSAGES = 4


class DirectLink:
    """Own the socket that watchers subscribe to, and connect to those of owners."""

    def __init__(self, address: str, log: DecisionLog) -> None:
        """Listen on an address of the form `host:port`.

        If it is in use, nothing can be sent, and others rely on the heartbeats in the
        store.
        """
        self._log = log
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.PUB)
        self._socket.sndhwm = MAX_QUEUED_MESSAGES
        # Watchers only subscribe.
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self.is_open = True
        try:
            self._socket.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            self.is_open = False
            log.info("feed-unopened", address=address, reason=str(error))

    def close(self) -> None:
        """Close all sockets, which shows watchers that the process has ended."""
        self.is_open = False
        self._context.destroy(linger=0)

    async def send(self, message: OwnerMessage) -> None:
        """Send a message to those that watch this instance."""
        if self.is_open:
            await self._socket.send(encode_owner_message(message))

    async def watch(self, address: str, contact: OwnerContact) -> None:
        """Note the messages and the connection of an owner until cancelled.

        `address` is where it listens, of the form `host:port`.
        """
        socket = self._context.socket(zmq.SUB)
        socket.linger = 0
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.subscribe(b"")
        monitor = socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        )
        try:
            socket.connect(f"tcp://{address}")
            await asyncio.gather(
                self._receive(socket, contact), _follow_connection(monitor, contact)
            )
        finally:
            socket.disable_monitor()
            socket.close()

    async def _receive(self, socket: zmq.asyncio.Socket, contact: OwnerContact) -> None:
        is_refusal_logged = False
        while True:
            reason = take_frame(await socket.recv(), contact)
            # A process that was replaced goes on sending until it is fenced.
            if reason and not is_refusal_logged:
                is_refusal_logged = True
                self._log.info(
                    "owner-message-refused", epoch=contact.epoch, reason=reason
                )


def take_frame(frame: bytes, contact: OwnerContact) -> str:
    """Note the message in a frame; return why it is refused, or an empty string."""
    try:
        message = decode_owner_message(frame)
    except msgspec.DecodeError as error:
        return str(error)
    if not contact.is_of(message.epoch, message.holder):
        return f"from {message.holder!r}, epoch {message.epoch}"
    contact.note_message(
        boot_seconds(), message.unconfirmed_for, message.writes_failing_for
    )
    return ""


async def _follow_connection(
    monitor: zmq.asyncio.Socket, contact: OwnerContact
) -> None:
    while True:
        event = await recv_monitor_message(monitor)
        if event["event"] == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            contact.note_connected()
        else:
            contact.note_disconnected(boot_seconds())
