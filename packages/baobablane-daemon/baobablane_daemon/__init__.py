"""Re-export the functions that run an entry instance on the users' platform."""

from ._platform_process import run_on_platform, serve_on_platform

__all__ = ["run_on_platform", "serve_on_platform"]
