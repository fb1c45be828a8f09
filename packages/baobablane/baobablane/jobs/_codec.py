"""Encode and decode the records of jobs and of their progress."""

import msgspec
from msgspec.structs import replace

from ..errors import JobLimitError
from ._job import Job
from ._progress import JobProgress

_encoder = msgspec.json.Encoder()
_job_decoder = msgspec.json.Decoder(Job)
_progress_decoder = msgspec.json.Decoder(JobProgress)


def encode_job(job: Job) -> bytes:
    """Return a job's record."""
    return _encoder.encode(job)


def decode_job(record: bytes) -> Job:
    """Return the job of a record, or raise msgspec.DecodeError."""
    return _job_decoder.decode(record)


def encode_progress(progress: JobProgress, max_bytes: int | None = None) -> bytes:
    """Return the record of a job's progress.

    If it is larger than `max_bytes`, leave out the checkpoints, whose length upstreams
    choose; tasks that are resumed without them start anew. Raise JobLimitError if it is
    still too large: the store would reject it, and with it all records of its append.
    """
    record = _encoder.encode(progress)
    if max_bytes is None or len(record) <= max_bytes:
        return record
    tasks = {key: replace(task, checkpoint="") for key, task in progress.tasks.items()}
    record = _encoder.encode(JobProgress(progress.state, tasks, progress.first_open))
    if len(record) > max_bytes:
        raise JobLimitError("progress", len(record), 0, max_bytes, "bytes")
    return record


def decode_progress(record: bytes) -> JobProgress:
    """Return the progress of a record, or raise msgspec.DecodeError."""
    return _progress_decoder.decode(record)
