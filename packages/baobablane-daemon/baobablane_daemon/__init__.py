"""Run an entry instance of baobablane."""

from ._platform_process import run_on_platform, serve_on_platform

__all__ = ["run_on_platform", "serve_on_platform"]
