"""Test what operators read of waves, beside the owner's rounds."""

import asyncio

import pytest
from baobablane.maintenance import WaveProgress, decode_wave_progress
from baobablane_platform import STATUS_TOPIC, StoreFencedError, encode_wave_status

from baobablane_daemon.jobs import PROGRESS_TOPIC, WAVE_PROGRESS_PREFIX

from ...jobs.tests.scripted_store import answer_after, fail_with, hang
from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

JOB_ID = "f" * 16
WAVE = 1


def set_wave(model, is_complete, wave=WAVE):
    """Let the owner begin a wave, or complete it."""
    manager = model.owner._instance_manager
    progress = WaveProgress([], 0)
    progress.is_complete = is_complete
    manager.progress_by_wave[wave] = progress
    manager.unrecorded_waves.add(wave)


def statuses(model):
    """Return when each status was stored, and its value."""
    return [(at, v) for at, topic, _, v in model.store.stored if topic == STATUS_TOPIC]


class TestRounds:
    """Test rounds while the store doesn't answer the topic of statuses."""

    @pytest.mark.parametrize("fault", [hang, answer_after(2.0)])
    def test_tasks_start_while_a_status_waits(self, fault):
        """Guards against free room that nothing is placed in, for want of a status."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[STATUS_TOPIC] = fault
                set_wave(model, False)
                await asyncio.sleep(0.5)
                assert await model.seconds_until_start(JOB_ID, 3.0) < 0.6
                assert model.lines("round-held") == []

        run_in_virtual_time(scenario())


class TestOrder:
    """Test when a status may be read."""

    @pytest.mark.parametrize("seconds", [0.3, 2.0])
    def test_completion_is_told_after_the_progress_that_proves_it(self, seconds):
        """Guards against a wave that a new owner takes up again once it is told."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[PROGRESS_TOPIC] = answer_after(0.7)
                set_wave(model, False)
                await asyncio.sleep(seconds)
                set_wave(model, True)
                await asyncio.sleep(4.0)
                told_at = next(
                    at for at, v in statuses(model) if v == encode_wave_status(True)
                )
                recorded_at = next(
                    at
                    for at, topic, key, value in model.store.stored
                    if topic == PROGRESS_TOPIC
                    and key == f"{WAVE_PROGRESS_PREFIX}{WAVE}"
                    and decode_wave_progress(value).is_complete
                )
                assert recorded_at < told_at

        run_in_virtual_time(scenario())

    def test_latest_status_is_stored_last(self):
        """Guards against a wave that operators see as begun after its completion."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[STATUS_TOPIC] = answer_after(0.5)
                for is_complete in (False, False, True):
                    set_wave(model, is_complete)
                    await asyncio.sleep(0.2)
                await asyncio.sleep(4.0)
                assert statuses(model)[-1][1] == encode_wave_status(True)

        run_in_virtual_time(scenario())

    def test_status_that_fails_for_a_newer_owner_ends_the_ownership(self):
        """Guards against an owner that goes on after a newer one has begun."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[STATUS_TOPIC] = fail_with(
                    StoreFencedError("epoch 1 is fenced")
                )
                set_wave(model, False)
                await asyncio.sleep(1.0)
                assert model.ownership.epoch is None
                assert model.task.done()

        run_in_virtual_time(scenario())
