"""Loads the configuration that an entry writes if the table has none."""

import pathlib
import sys

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind.api import connect
from _jasminewind.api import convert
from _jasminewind.api.pb import config_pb2


def load(path: pathlib.Path) -> configuration.Configuration:
    """Return the configuration in a file in the JSON form of the schema.

    A file that is unreadable or invalid ends the process with one line.
    """
    try:
        body = path.read_bytes()
    except OSError as e:
        sys.exit(f"initial_config_file {path}: {e.strerror}")
    decoded = connect.decode(body, config_pb2.Configuration)
    if decoded.is_err():
        reason = decoded.unwrap_err().message
        sys.exit(f"initial_config_file {path}: {reason}")
    config = convert.configuration_from(
        decoded.unwrap(), configuration.NO_CONFIGURATION
    )
    error = changes.check(config)
    if error is not None:
        sys.exit(f"initial_config_file {path}: {error.field}: {error.reason}")
    return config
