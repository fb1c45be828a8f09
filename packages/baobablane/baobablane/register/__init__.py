"""Re-export the reading of an asset register."""

from ._csv import read_register
from ._row import RegisterRow

__all__ = ["RegisterRow", "read_register"]
