"""The error of a scenario that cannot be played."""

from sedgepitch.errors import SedgepitchError


class ScenarioError(SedgepitchError):
    """The scenario could not be played; the text is one line that says why."""
