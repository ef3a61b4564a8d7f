"""Names of the admission policies."""

from _jasminewind.decisions.jobs import admission
from _jasminewind.decisions.jobs import forecast

DEFAULT = forecast.ForecastAdmission.name
POLICIES: tuple[type[admission.Admission], ...] = (
    forecast.ForecastAdmission,
    admission.BacklogAdmission,
)


def from_name(name: str) -> admission.Admission:
    """Return the policy called ``name``."""
    for policy in POLICIES:
        if policy.name == name:
            return policy()
    known = ", ".join(policy.name for policy in POLICIES)
    raise ValueError(f"unknown admission policy {name!r}; use one of {known}")
