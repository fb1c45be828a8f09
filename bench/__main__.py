"""Run all measurements."""

from .path import measure_path

if __name__ == "__main__":
    measure_path()
