//! Conversions of times in milliseconds.

use crate::Ms;

#[expect(clippy::cast_precision_loss, reason = "a span in milliseconds")]
pub(crate) const fn to_float(ms: Ms) -> f64 {
    ms as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a time in milliseconds")]
pub(crate) const fn to_ms(ms: f64) -> Ms {
    ms as Ms
}
