"""Tests of the local HTTP paths of a process."""

import types

import pytest
from twisted.web import resource

from _jasminewind.nodes import local_http


@pytest.fixture
def api():
    """Return a resource that stands for the API of an entry."""
    api = resource.Resource()
    api.isLeaf = True
    return api


def request(path):
    """Return a request as twisted's path traversal uses it."""
    return types.SimpleNamespace(prepath=[], postpath=path.split(b"/")[1:])


@pytest.mark.parametrize("path", [b"/readyz", b"/service/Method", b"/"])
def test_other_paths_reach_the_remote_calls_unchanged(api, path):
    """Guards against a status resource that hides the API of an entry."""
    root = local_http.StatusOverlay(api=api, read=dict)
    sent = request(path)
    assert resource.getChildForRequest(root, sent) is api
    assert sent.postpath == path.split(b"/")[1:]
    assert sent.prepath == []


def test_status_of_an_entry_is_found(api):
    """Guards against an entry whose counts operators cannot read."""
    root = local_http.StatusOverlay(api=api, read=dict)
    found = resource.getChildForRequest(root, request(b"/v1/status"))
    assert isinstance(found, local_http.StatusResource)
