"""Re-export the reader of asset registers."""

from ._csv import read_register
from ._row import RegisterRow

__all__ = ["RegisterRow", "read_register"]
