//! The record of the finished tasks of a chunk of a job.
use base64::{engine::general_purpose::STANDARD_NO_PAD, Engine};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The finished tasks of one chunk of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResultChunkRecord {
    /// The tasks of the chunk that are done, encoded by [`Bitmap::encode`].
    #[serde(rename = "bits")]
    pub done_bitmap: String,
    /// Number of finished runs that were observed in the whole job. A new leader continues from
    /// this number.
    #[serde(default)]
    #[serde(rename = "runs")]
    pub observed_runs: u32,
    /// Mean duration of the observed runs, in s.
    #[serde(default)]
    #[serde(rename = "run_s")]
    pub mean_run_s: f64,
}

/// The error for a stored bitmap that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the bitmap is not valid base64: {0}")]
pub struct BitmapDecodeError(#[from] base64::DecodeError);

/// The set of a job's tasks that are done, by task index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bitmap(Vec<u8>);

impl Bitmap {
    /// Returns whether a task is done.
    pub fn get(&self, index: u32) -> bool {
        self.0
            .get(byte_position(index))
            .is_some_and(|byte| byte & bit_mask(index) != 0)
    }

    /// Marks a task as done. Returns `true` if it was not done before.
    pub fn set(&mut self, index: u32) -> bool {
        let position = byte_position(index);
        if self.0.len() <= position {
            self.0.resize(position + 1, 0);
        }
        let byte = &mut self.0[position];
        let is_new = *byte & bit_mask(index) == 0;
        *byte |= bit_mask(index);
        is_new
    }

    /// Encodes the bits of the tasks `first..first + count` in base64. `first` and `count` must be
    /// multiples of 8, except for the `count` of a job's last chunk.
    pub fn encode(&self, first: u32, count: u32) -> String {
        let start = byte_position(first).min(self.0.len());
        let end = (first as usize + count as usize)
            .div_ceil(8)
            .min(self.0.len());
        STANDARD_NO_PAD.encode(&self.0[start..end])
    }

    /// Marks as done all tasks that are done in an encoded bitmap. The first bit of that bitmap
    /// represents the task `first`.
    pub fn merge(&mut self, first: u32, encoded: &str) -> Result<(), BitmapDecodeError> {
        let bytes = STANDARD_NO_PAD.decode(encoded)?;
        for (position, byte) in bytes.iter().enumerate() {
            for bit in 0..8 {
                if byte & bit_mask(bit) != 0 {
                    self.set(first + (position as u32) * 8 + bit);
                }
            }
        }
        Ok(())
    }
}

fn byte_position(index: u32) -> usize {
    index as usize / 8
}

fn bit_mask(index: u32) -> u8 {
    1 << (index % 8)
}
