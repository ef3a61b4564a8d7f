"""HTTP sites that processes serve through twisted."""

import typing

from twisted.web import resource
from twisted.web import server


def quiet_site(root: typing.Any) -> server.Site:
    """Return the factory to listen with.

    Its start and stop are not logged, and callers see no traceback.
    """
    site = server.Site(typing.cast(resource.IResource, root))
    site.noisy = False
    site.displayTracebacks = False
    return site
