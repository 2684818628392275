"""Validation of a request target before it is matched to a route.

An upstream may decode and normalize a path before using it. A target is
refused if the upstream could match it to another route than the ingress does,
because a route that requires a key could then be reached through an open one.
"""

import re
from typing import NamedTuple
from urllib.parse import unquote

from result import Err, Ok, Result

from wagtailline.objects import Route
from wagtailline.routing import RouteIndex

# A path without these equals all its normalized forms.
_NEEDS_NORMALIZATION = re.compile(r'%|//|/\.|\\|;')
_DOT_SEGMENT = re.compile(r'(?:^|[/\\])\.{1,2}(?:[/\\;]|$)')
_CONTROL_CHARACTER = re.compile(r'[\x00-\x1f\x7f\\]')
_SLASHES = re.compile('/+')


class MalformedTarget(NamedTuple):
    """Reason why a request target is refused."""

    reason: str


def match_target(
    index: RouteIndex, path: str
) -> Result[Route | None, MalformedTarget]:
    """Return the route of a percent-encoded path, or None without one."""
    if not path.startswith('/'):
        return Err(MalformedTarget('target_not_a_path'))
    if not _NEEDS_NORMALIZATION.search(path):
        return Ok(index.match(path))
    decoded = unquote(path, 'latin-1')
    if _CONTROL_CHARACTER.search(decoded):
        return Err(MalformedTarget('target_control_character'))
    if _DOT_SEGMENT.search(decoded):
        return Err(MalformedTarget('target_dot_segment'))
    forms = {path, decoded, _merge_slashes(path), _merge_slashes(decoded)}
    routes = {index.match(form) for form in forms}
    if len(routes) > 1:
        return Err(MalformedTarget('target_ambiguous'))
    return Ok(routes.pop())


def _merge_slashes(path: str) -> str:
    return _SLASHES.sub('/', path)
