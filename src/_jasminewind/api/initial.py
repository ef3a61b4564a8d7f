"""Reads the initial configuration of a new deployment from a file."""

import dataclasses
import pathlib

import result

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind.api import connect
from _jasminewind.api import convert
from _jasminewind.api.pb import config_pb2

INITIAL_AUTHOR = "initial configuration file"


def read(
    path: pathlib.Path,
) -> result.Result[configuration.Configuration, str]:
    """Return version 1 of the configuration, or a one-line error.

    The file holds a ``Configuration`` message in JSON.
    """
    try:
        text = path.read_bytes()
    except OSError as e:
        return result.Err(f"{path}: cannot read the file: {e.strerror}")
    decoded = connect.decode(text, config_pb2.Configuration)
    if isinstance(decoded, result.Err):
        return result.Err(f"{path}: {decoded.err_value.message}")
    config = convert.configuration_from(
        decoded.ok_value, configuration.NO_CONFIGURATION
    )
    error = changes.check(config)
    if error is not None:
        return result.Err(f"{path}: {error.field}: {error.reason}")
    return result.Ok(
        dataclasses.replace(config, version=1, author=INITIAL_AUTHOR)
    )
