"""Run the `baobab` command."""

import sys

import fire
from baobablane.errors import BaobablaneError, ResultCode

from ._commands import Commands

EXIT_STATUS_BY_CODE = {
    ResultCode.INPUT_INVALID: 2,
    ResultCode.CHANGE_CONFLICT: 3,
    ResultCode.OPERATOR_LOG_UNAVAILABLE: 4,
    ResultCode.NOT_IN_FORCE: 5,
    ResultCode.NOT_FOUND: 6,
}


def main() -> None:
    """Run the command line; on an error, print its result code and exit."""
    try:
        fire.Fire(Commands(), name="baobab")
    except BaobablaneError as error:
        print(f"error {int(error.code)}: {error}", file=sys.stderr)
        sys.exit(EXIT_STATUS_BY_CODE.get(error.code, 1))
    except KeyboardInterrupt:
        print("interrupted; changes already published stay published", file=sys.stderr)
        sys.exit(130)
