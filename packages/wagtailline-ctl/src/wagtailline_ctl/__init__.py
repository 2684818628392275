"""The command line tool wagtailctl, with which operators run a mesh."""
