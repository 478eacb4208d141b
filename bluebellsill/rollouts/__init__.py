"""Canary releases: a new version of a service's targets gets traffic in steps.

``bluebellsill.rollout`` is about something else: which nodes have a revision
of the configuration in force.
"""

from bluebellsill.rollouts.releases import CanaryReleases

__all__ = ('CanaryReleases',)
