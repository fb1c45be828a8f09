"""Encode and decode the records of jobs and of their progress."""

import msgspec

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


def encode_progress(progress: JobProgress) -> bytes:
    """Return the record of a job's progress."""
    return _encoder.encode(progress)


def decode_progress(record: bytes) -> JobProgress:
    """Return the progress of a record, or raise msgspec.DecodeError."""
    return _progress_decoder.decode(record)
