"""Test what an instance sees of the owner that it watches."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from baobablane.succession import OwnerContact

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import boot_seconds
from baobablane_daemon.owner._direct_link import DirectLink, take_frame
from baobablane_daemon.owner._owner_message import OwnerMessage, encode_owner_message

from ...tests.platform_deployment import HOST, find_free_port

TEST_TIMEOUT_SECONDS = 30.0
MESSAGE = OwnerMessage(3, "entry-0-1", 0.2, 0.0)


async def wait_for(condition):
    """Wait until a condition holds, or raise TimeoutError."""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def run_watch(address, epoch=3, holder="entry-0-1"):
    """Watch an owner until the end of the block; yield what is seen of it now."""
    link = DirectLink(f"{HOST}:{find_free_port()}", DecisionLog("entry-1"))
    contact = OwnerContact(epoch, holder)
    task = asyncio.create_task(link.watch(address, contact))

    def signs():
        now = boot_seconds()
        return contact.signs(now, now, 0.0)

    try:
        yield signs
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        link.close()


@asynccontextmanager
async def run_feed(address, message=MESSAGE):
    """Send an owner's messages until the end of the block, which ends its process."""
    link = DirectLink(address, DecisionLog("entry-0"))

    async def send():
        while True:
            await link.send(message)
            await asyncio.sleep(0.01)

    task = asyncio.create_task(send())
    try:
        yield link
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        link.close()


class TestMessages:
    """Test the messages of the owner."""

    async def test_messages_arrive(self):
        address = f"{HOST}:{find_free_port()}"
        rejected = OwnerMessage(3, "entry-0-1", 0.5, 0.2)
        async with run_feed(address, rejected), run_watch(address) as signs:
            await wait_for(lambda: signs().message_age < 0.05)
            assert signs().writes_failing_for == 0.2
            assert signs().unconfirmed_for >= 0.5
            assert signs().disconnected_for is None

    @pytest.mark.parametrize(
        "message", [OwnerMessage(4, "entry-0-1", 0, 9.0), OwnerMessage(3, "x", 0, 9.0)]
    )
    def test_message_of_another_owner_is_refused(self, message):
        """Guards against an owner that is suspected for what another one sends."""
        contact = OwnerContact(3, "entry-0-1")
        assert message.holder in take_frame(encode_owner_message(message), contact)
        assert contact.signs(0.0, 0.0, 0.0).message_age == float("inf")

    @pytest.mark.parametrize(
        "frame", [b"", b"\x01", b"\x02abc", b"\x01\xc1", b"\x01" + b"\x91" * 99]
    )
    def test_rubbish_is_refused(self, frame):
        assert take_frame(frame, OwnerContact(3, "entry-0-1"))


class TestConnection:
    """Test the connection to the owner's process."""

    async def test_end_of_the_process_is_seen(self):
        address = f"{HOST}:{find_free_port()}"
        async with run_watch(address) as signs:
            async with run_feed(address):
                await wait_for(lambda: signs().message_age < 1.0)
            await wait_for(lambda: signs().disconnected_for is not None)
            async with run_feed(address):
                await wait_for(lambda: signs().disconnected_for is None)

    def test_owner_that_was_never_reached_is_not_disconnected(self):
        signs = OwnerContact(3, "entry-0-1").signs(50.0, 49.0, 0.0)
        assert signs.disconnected_for is None
        assert signs.message_age == float("inf")


class TestFeed:
    """Test the owner's side."""

    async def test_address_in_use_is_no_error(self):
        """Guards against an instance that can't start beside another process."""
        address = f"{HOST}:{find_free_port()}"
        async with run_feed(address) as first, run_feed(address) as second:
            assert first.is_open
            assert not second.is_open
