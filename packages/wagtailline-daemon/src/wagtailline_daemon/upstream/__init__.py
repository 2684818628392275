"""Client of the local upstream."""

from wagtailline_daemon.upstream._client import UpstreamClient, UpstreamSettings

__all__ = (
    'UpstreamClient',
    'UpstreamSettings',
)
