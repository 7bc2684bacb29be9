//! The account of the gateway's memory. Its capacity follows from `limits.memory_mb`, and everything that clients and
//! backends can make the gateway hold is charged to it: a holder reserves memory before it allocates any. What the
//! process holds beyond that, such as pages that the allocator keeps, is measured and charged as well.
//!
//! | module | job |
//! | --- | --- |
//! | `account` | the account, its rule and its reservations |
//! | `charged` | bytes that carry their reservation with them |
//! | `process` | the memory of the process, as the system counts it |
//! | `unreserved` | measures what the process holds beyond the reservations |

mod account;
mod charged;
mod process;
mod unreserved;

pub use account::{Holder, MemoryAccount, Reservation};
pub use charged::ChargedBuffer;
pub use process::ProcessMemory;
pub use unreserved::watch_unreserved;

#[cfg(test)]
mod tests;
