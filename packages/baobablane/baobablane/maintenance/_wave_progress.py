"""Define and encode the progress of a maintenance wave."""

import msgspec


class WaveProgress(msgspec.Struct):
    """Hold the instances whose maintenance has begun, and the wave's deadline."""

    begun: list[str] = []
    # Deadline in Unix milliseconds.
    due_ms: int = 0
    is_complete: bool = False


def encode_wave_progress(progress: WaveProgress) -> bytes:
    """Return the record of a wave's progress."""
    return msgspec.json.encode(progress)


def decode_wave_progress(record: bytes) -> WaveProgress:
    """Return the progress of a record, or raise msgspec.DecodeError."""
    return msgspec.json.decode(record, type=WaveProgress)
