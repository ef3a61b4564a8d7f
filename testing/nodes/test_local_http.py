"""Tests of the local paths of a process."""

import types

import pytest
from twisted.web import resource

from _jasminewind.nodes import local_http


@pytest.fixture
def calls():
    found = resource.Resource()
    found.isLeaf = True
    return found


def request(path):
    return types.SimpleNamespace(prepath=[], postpath=path.split(b"/")[1:])


@pytest.mark.parametrize("path", [b"/readyz", b"/service/Method", b"/"])
def test_other_paths_reach_the_remote_calls_unchanged(calls, path):
    """The status of an entry would hide its remote calls."""
    root = local_http.StatusOverlay(calls=calls, read=dict)
    asked = request(path)
    assert resource.getChildForRequest(root, asked) is calls
    assert asked.postpath == path.split(b"/")[1:]
    assert asked.prepath == []


def test_status_of_an_entry_is_found(calls):
    """The messages of entries could not be counted."""
    root = local_http.StatusOverlay(calls=calls, read=dict)
    found = resource.getChildForRequest(root, request(b"/v1/status"))
    assert isinstance(found, local_http.StatusResource)
