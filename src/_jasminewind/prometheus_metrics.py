"""Metrics in the Prometheus text format."""

import typing

import prometheus_client

from _jasminewind import metrics


class PrometheusMeter(metrics.Meter):
    """Keeps measurements for scraping.

    The first measurement of an instrument fixes its label names; every later
    one must have the same.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        # The library's own look-up takes several times as long.
        self.known_series: dict[tuple[typing.Any, ...], typing.Any] = {}
        self.instruments: dict[str, typing.Any] = {}

    def add(
        self,
        instrument: metrics.Instrument,
        amount: float = 1,
        **attributes: str,
    ) -> None:
        """Add to a counter."""
        self.series(instrument, attributes).inc(amount)

    def record(
        self, instrument: metrics.Instrument, value: float, **attributes: str
    ) -> None:
        """Record one value of a histogram or a gauge."""
        series = self.series(instrument, attributes)
        if instrument.kind is metrics.Kind.GAUGE:
            series.set(value)
        else:
            series.observe(value)

    def series(
        self, instrument: metrics.Instrument, attributes: dict[str, str]
    ) -> typing.Any:
        """Return the time series of an instrument with these attributes."""
        key = (instrument.name, *attributes.items())
        series = self.known_series.get(key)
        if series is None:
            metric = self.instruments.get(instrument.name)
            if metric is None:
                metric = self.create(instrument, tuple(sorted(attributes)))
                self.instruments[instrument.name] = metric
            series = metric.labels(**attributes) if attributes else metric
            self.known_series[key] = series
        return series

    def create(
        self, instrument: metrics.Instrument, label_names: tuple[str, ...]
    ) -> typing.Any:
        """Create an instrument in the registry."""
        options: dict[str, typing.Any] = {
            "name": instrument.name.replace(".", "_"),
            "documentation": f"{instrument.description} [{instrument.unit}]",
            "labelnames": label_names,
            "registry": self.registry,
        }
        if instrument.kind is metrics.Kind.COUNTER:
            return prometheus_client.Counter(**options)
        if instrument.kind is metrics.Kind.GAUGE:
            return prometheus_client.Gauge(**options)
        options["buckets"] = instrument.bounds
        return prometheus_client.Histogram(**options)

    def text(self) -> bytes:
        """Return every metric in the text format."""
        return prometheus_client.generate_latest(self.registry)
