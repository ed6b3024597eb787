"""Makes the writer and the runner of an owner from the node's settings."""

from collections.abc import Callable

import celeryshift_cell as cell
from celeryshift_cellnode import _advice
from celeryshift_cellnode import _advicerelay
from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import ports

# Room for the number of parts in the first part of a record.
PART_HEADER_BYTES = 8


class RunnerFactory:
    """Factory of the writer and the runner for each ownership of the cell."""

    def __init__(
        self,
        settings: ports.Settings,
        store: _watchedstore.WatchedStore,
        workers: ports.Workers,
        advice_relay: _advicerelay.AdviceRelay,
        membership: _membership.Membership,
        ownership: _ownership.Ownership,
        log_decision: Callable[..., None],
        metrics: _metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._store = store
        self._workers = workers
        self._advice_relay = advice_relay
        self._membership = membership
        self._ownership = ownership
        self._log_decision = log_decision
        self._metrics = metrics

    def make_writer(self, version: int) -> _groupwriter.GroupWriter:
        """Return a writer under a version of the owner row."""
        ownership = self._ownership
        return _groupwriter.GroupWriter(
            self._store,
            version,
            ownership.view.heartbeat_version,
            ownership.lease,
            self._log_decision,
            ownership.step_down,
            self._settings.store_limits,
        )

    def make_runner(
        self, owner: _schema.Owner, writer: _groupwriter.GroupWriter
    ) -> _runner.Runner:
        """Return a runner under the epoch of an owner."""
        return _runner.Runner(
            owner.epoch,
            self._options(),
            self._ownership.lease,
            self._workers,
            _advice.AdviceScheduler(
                self._advice_relay.request_advice,
                lambda: self._membership.nodes.values(),
            ),
            writer,
            self._log_decision,
            self._metrics,
            self._ownership.step_down,
        )

    def _options(self) -> cell.Options:
        cell_settings = self._settings.cell
        # In-doubt runs may exceed the limit of a team once, not again under
        # each of several owners that follow each other quickly.
        predecessor_s = self._ownership.view.predecessor_known_s
        is_settled = predecessor_s > _election.SETTLED_OWNER_S
        return cell.Options(
            lease_s=min(cell_settings.max_lease_s, cell.Options().lease_s),
            max_lease_s=cell_settings.max_lease_s,
            report_interval_s=cell_settings.report_interval_s,
            cores=self._settings.cores,
            rejects_late_jobs=cell_settings.rejects_late_jobs,
            share_window_s=cell_settings.share_window_s,
            share_slack=cell_settings.share_slack,
            in_doubt_overage=cell_settings.team_overage if is_settled else 0.0,
            record_part_bytes=min(
                cell.Options().record_part_bytes,
                # The first part begins with the number of parts.
                self._settings.store_limits.row_bytes - PART_HEADER_BYTES,
            ),
        )
