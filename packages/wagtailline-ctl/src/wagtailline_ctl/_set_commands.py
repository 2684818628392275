"""Commands that check, compare and build sets of objects."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok

from wagtailline.release import Head, build_release
from wagtailline_ctl.differences import compare_sets, find_risks
from wagtailline_ctl.output import describe, render_json
from wagtailline_ctl.releases import read_release, write_release
from wagtailline_ctl.sets import FileFault, Objects, load_set

EXIT_OK = 0
EXIT_REFUSED = 1


class CheckCommand(Command):
    """The command ``check``, which prints the faults of a set."""

    name = 'check'
    description = 'Check a set of objects before it is published.'
    arguments = [argument('set', 'JSON file or directory of JSON files')]
    options = [option('json', None, 'Print the faults as JSON')]

    def handle(self) -> int:
        """Return 0 if the set has no faults, or 1 otherwise."""
        match load_set(Path(self.argument('set'))):
            case Ok(objects):
                self.line(f'{len(objects)} objects, no faults')
                return EXIT_OK
            case Err(faults):
                _print_faults(self, faults)
        return EXIT_REFUSED


class BuildCommand(Command):
    """The command ``build``, which writes a set as the next version."""

    name = 'build'
    description = 'Make a release that the platform can publish.'
    arguments = [
        argument('set', 'JSON file or directory of JSON files'),
        argument('directory', 'Directory that holds the published values'),
    ]
    options = [option('json', None, 'Print the outcome as JSON')]

    def handle(self) -> int:
        """Return 0 if a version was written, or 1 otherwise."""
        match load_set(Path(self.argument('set'))):
            case Ok(objects):
                return self._build(objects, Path(self.argument('directory')))
            case Err(faults):
                _print_faults(self, faults)
        return EXIT_REFUSED

    def _build(self, objects: Objects, directory: Path) -> int:
        parent = read_release(directory)
        if isinstance(parent, Err):
            self.line_error(describe(parent.err_value))
            return EXIT_REFUSED
        published = parent.ok_value
        match build_release(objects, published.head, published.objects):
            case Ok(release):
                write_release(directory, release)
                self._print_head(release.head)
                return EXIT_OK
            case Err(faults):
                for fault in faults:
                    self.line_error(describe(fault))
        return EXIT_REFUSED

    def _print_head(self, head: Head) -> None:
        changed = len(head.delta.changed) if head.delta else 0
        removed = len(head.delta.removed) if head.delta else 0
        if self.option('json'):
            self.line(render_json([head._replace(buckets=(), delta=None)]))
        else:
            self.line(
                f'version {head.version} digest {head.digest.hex()}: '
                f'{changed} changed, {removed} removed'
            )


class DiffCommand(Command):
    """The command ``diff``, which prints the differences of two sets."""

    name = 'diff'
    description = 'Show the differences between two sets and their risks.'
    arguments = [
        argument('old', 'JSON file or directory of JSON files'),
        argument('new', 'JSON file or directory of JSON files'),
    ]
    options = [option('json', None, 'Print the differences as JSON')]

    def handle(self) -> int:
        """Return 0 if neither set has faults, or 1 otherwise."""
        old = load_set(Path(self.argument('old')))
        new = load_set(Path(self.argument('new')))
        for loaded in (old, new):
            if isinstance(loaded, Err):
                _print_faults(self, loaded.err_value)
                return EXIT_REFUSED
        self._print_differences(old.unwrap(), new.unwrap())
        return EXIT_OK

    def _print_differences(self, old: Objects, new: Objects) -> None:
        differences = compare_sets(old, new)
        risks = find_risks(old, new)
        if self.option('json'):
            self.line(render_json((*differences, *risks)))
            return
        for change, kind, name, fields in differences:
            detail = f': {", ".join(fields)}' if fields else ''
            self.line(f'{change} {kind}/{name}{detail}')
        for subject, consequence in risks:
            self.line(f'risk {subject}: {consequence}')


def _print_faults(command: Command, faults: tuple[FileFault, ...]) -> None:
    if command.option('json'):
        command.line(render_json(faults))
        return
    for path, fault in faults:
        command.line_error(f'{path or "set"}: {describe(fault)}')
