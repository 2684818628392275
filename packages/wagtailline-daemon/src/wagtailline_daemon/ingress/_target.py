"""Checks of a request target before a route is chosen by it.

An upstream may decode and normalize a path before it uses it. A target is
refused when it could mean another route to the upstream than to the
ingress, because a keyed route could then be reached through an open one.
"""

import re
from typing import NamedTuple
from urllib.parse import unquote

from result import Err, Ok, Result

from wagtailline.objects import Route
from wagtailline.routing import RouteIndex

# Targets without these are the same in every normal form.
_SUSPECT = re.compile(r'%|//|/\.|\\|;')
_DOT_SEGMENT = re.compile(r'(?:^|[/\\])\.{1,2}(?:[/\\;]|$)')
_CONTROL = re.compile(r'[\x00-\x1f\x7f\\]')
_SLASHES = re.compile('/+')


class MalformedTarget(NamedTuple):
    """A target that the ingress does not pass on."""

    reason: str


def match_target(
    index: RouteIndex, path: str
) -> Result[Route | None, MalformedTarget]:
    """Return the route of a path as it was received, still encoded."""
    if not path.startswith('/'):
        return Err(MalformedTarget('target_not_a_path'))
    if not _SUSPECT.search(path):
        return Ok(index.match(path))
    decoded = unquote(path, 'latin-1')
    if _CONTROL.search(decoded):
        return Err(MalformedTarget('target_control_character'))
    if _DOT_SEGMENT.search(decoded):
        return Err(MalformedTarget('target_dot_segment'))
    forms = {path, decoded, _merge(path), _merge(decoded)}
    routes = {index.match(form) for form in forms}
    if len(routes) > 1:
        return Err(MalformedTarget('target_ambiguous'))
    return Ok(routes.pop())


def _merge(path: str) -> str:
    return _SLASHES.sub('/', path)
