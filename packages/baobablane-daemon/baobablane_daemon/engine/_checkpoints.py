"""Write checkpoints of the folds before the log's older records expire."""

from typing import TYPE_CHECKING

from baobablane.config import encode_record, make_checkpoint
from baobablane.membership import encode_record as encode_member_record
from baobablane.membership import make_checkpoint as make_member_checkpoint
from baobablane_platform import CONFIG_STREAM, MEMBERSHIP_STREAM

if TYPE_CHECKING:
    from ._engine import Engine

CHECKPOINTS_PER_RETENTION = 3


class CheckpointWriter:
    """Track when this process last checkpointed a stream, and write due checkpoints."""

    def __init__(self, engine: "Engine") -> None:
        """Use an engine's folds and writer."""
        self._engine = engine
        # Unix time in seconds: by the log's clock for a record that was read, by this
        # process's clock for a checkpoint that it wrote.
        self._checkpointed_at: dict[str, float] = {}

    def record_oldest(self, stream: str, appended_at: float) -> None:
        """Treat the oldest record read as the last checkpoint until one is written."""
        self._checkpointed_at.setdefault(stream, appended_at)

    def write_due(self, unix_time: float) -> None:
        """Write the checkpoints that are due at a Unix time in seconds."""
        retention = self._engine.settings.platform.log_retention_seconds
        due_before = unix_time - retention / CHECKPOINTS_PER_RETENTION
        record_id = f"{self._engine.incarnation}.checkpoint.{int(unix_time)}"
        if self._checkpointed_at.get(CONFIG_STREAM, unix_time) < due_before:
            self._checkpointed_at[CONFIG_STREAM] = unix_time
            self._write_config(record_id)
        if self._checkpointed_at.get(MEMBERSHIP_STREAM, unix_time) < due_before:
            self._checkpointed_at[MEMBERSHIP_STREAM] = unix_time
            self._write_membership(record_id)

    def _write_config(self, record_id: str) -> None:
        fold = self._engine.config
        if fold.is_complete:
            record = make_checkpoint(fold.state, fold.next_offset - 1, record_id)
            self._engine.write(CONFIG_STREAM, encode_record(record))

    def _write_membership(self, record_id: str) -> None:
        fold = self._engine.cluster.fold
        if fold.is_complete:
            last_offset = fold.next_offset - 1
            record = make_member_checkpoint(fold.state, last_offset, record_id)
            self._engine.write(MEMBERSHIP_STREAM, encode_member_record(record))
