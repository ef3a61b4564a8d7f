"""Pages for the balancer and for whoever reads the metrics."""

import typing

from _jasminewind import prometheus_metrics
from _jasminewind.platform import http_server

if typing.TYPE_CHECKING:
    from _jasminewind.nodes import job_entry

METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"


class Readiness(http_server.Handler):
    """Answers the readiness check of the balancer."""

    def __init__(self, entry: "job_entry.JobEntry") -> None:
        self.entry = entry

    def handle(self, request: http_server.Request) -> None:
        """Respond with 200, or with 503 and the reason."""
        reason = self.entry.unready_reason()
        request.respond(
            http_server.Response(
                status=503 if reason else 200,
                body=f"{reason or 'ok'}\n".encode(),
            )
        )


class Metrics(http_server.Handler):
    """Serves the metrics of a meter as text."""

    def __init__(self, meter: prometheus_metrics.PrometheusMeter) -> None:
        self.meter = meter

    def handle(self, request: http_server.Request) -> None:
        """Respond with every metric."""
        if request.path != METRICS_PATH:
            request.respond(http_server.Response(status=404))
            return
        request.respond(
            http_server.Response(
                status=200,
                body=self.meter.text(),
                headers={"content-type": METRICS_TYPE},
            )
        )
