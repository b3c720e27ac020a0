//! Decides whether to accept a submitted job.
use super::feasibility::{check_feasibility, FeasibilityError};
use super::Node;
use crate::records::JobRecord;
use stonegw_constants::{JOB_WRITE_OVERHEAD_BYTES, MAX_TXN_BYTES, TXN_MARGIN_BYTES};
use stonegw_wire::msg::{json_size_bytes, Catalog, JobSpec};

/// The reason why a submission is rejected.
pub(super) enum AdmissionError {
    /// The job can never run (422).
    Infeasible(FeasibilityError),
    /// The job's record is larger than the maximum size of a value (400).
    TooLarge,
}

impl Node {
    /// Checks whether a job that is not stored yet can be accepted.
    pub(super) fn check_admission(
        &self,
        spec: &JobSpec,
        catalog: &Catalog,
    ) -> Result<(), AdmissionError> {
        check_feasibility(spec, &self.settings, catalog).map_err(AdmissionError::Infeasible)?;
        let record = JobRecord::submitted(spec, self.now.wall_ms);
        if json_size_bytes(&record) > self.max_record_bytes() {
            return Err(AdmissionError::TooLarge);
        }
        Ok(())
    }

    /// Returns the maximum size of a job's record, in bytes of JSON: it must fit into one value and
    /// into a transaction with no other writes.
    pub(super) fn max_record_bytes(&self) -> usize {
        let max_in_transaction = MAX_TXN_BYTES - TXN_MARGIN_BYTES - JOB_WRITE_OVERHEAD_BYTES;
        self.store_limits.max_value_bytes().min(max_in_transaction)
    }
}
