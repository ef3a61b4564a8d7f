"""HTTP sites of twisted with logging and tracebacks disabled."""

import typing

from twisted.web import resource
from twisted.web import server


def quiet_site(root: typing.Any) -> server.Site:
    """Return a site that does not log its start and stop.

    Callers see no tracebacks.
    """
    site = server.Site(typing.cast(resource.IResource, root))
    site.noisy = False
    site.displayTracebacks = False
    return site
