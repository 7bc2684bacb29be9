//! Identifier types, with no meaning beyond equality and order.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/// A request of a client. A client's own retry is a separate request with its own id.
    RequestId, u64);
id!(/// A customer, whose quota is shared by all gateways.
    CustomerId, u64);
id!(/// A backend, which has the same number at every gateway.
    BackendId, u64);
id!(/// An index into [`Settings::classes`](crate::Settings::classes).
    ClassId, usize);
id!(/// An index into [`Settings::plans`](crate::Settings::plans).
    PlanId, usize);
id!(/// A zone, numbered in the order in which this gateway learned of it.
    ZoneId, u32);
id!(/// A group of backends that share which idempotency keys they have seen.
    CellId, u64);
id!(/// The key of a count on the counter service.
    CounterKey, u64);
id!(/// A timer. The engine assigns these ids.
    TimerId, u64);
