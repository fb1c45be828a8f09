"""Run the `baobabd` command."""

import asyncio
import sys
from pathlib import Path

import fire
from baobablane.errors import InputError
from baobablane_platform import settings_path

from ._platform_process import run_on_platform
from ._process import run_process
from .settings import DaemonSettings, read_settings

EXIT_INPUT_INVALID = 2


class DaemonCommands:
    """Run an entry instance, or check its settings."""

    def run(self, config: str) -> None:
        """Run an entry instance with the settings in the file CONFIG."""
        asyncio.run(run_process(_read_settings_or_exit(config)))

    def platform(self) -> None:
        """Run an entry instance with the settings that the platform gives."""
        asyncio.run(run_on_platform(settings_path()))

    def check(self, config: str) -> None:
        """Check the settings in the file CONFIG and print every fault."""
        settings = _read_settings_or_exit(config)
        print(f"{config}: settings of {settings.instance.id} are valid")


def _read_settings_or_exit(config: str) -> DaemonSettings:
    try:
        return read_settings(Path(str(config)))
    except InputError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INPUT_INVALID)


def main() -> None:
    """Run the command line; `baobabd --config FILE` is short for `baobabd run`."""
    arguments = sys.argv[1:]
    if arguments and arguments[0].startswith("--config"):
        arguments = ["run", *arguments]
    fire.Fire(DaemonCommands(), command=arguments, name="baobabd")
