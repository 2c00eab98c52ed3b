//! The size limit of an exchange: the largest fleet fits into it, and what exceeds it is refused.

use myrtlegauge_membership::MembershipError;
use myrtlegauge_membership::message::{
    Exchange, MAX_EXCHANGE_BYTES, MAX_NAME_BYTES, MemberRecord, MemberState, MemberVersion, decode, encode,
};
use std::net::{Ipv6Addr, SocketAddr};

/// The largest fleet that a member keeps records of.
const MEMBERS: usize = 4096;

/// A record whose encoding is as long as one can be.
fn longest_record(number: usize) -> MemberRecord {
    MemberRecord {
        name: format!("{number:0MAX_NAME_BYTES$}"),
        address: SocketAddr::from((Ipv6Addr::from([0xff; 16]), u16::MAX)),
        version: MemberVersion { generation: u64::MAX, incarnation: u32::MAX },
        state: MemberState::Left,
    }
}

fn exchange_of(records: usize) -> Exchange {
    Exchange {
        fleet: u64::MAX,
        from: Some(longest_record(0)),
        epoch: u64::MAX,
        reaches_most: true,
        records: (1..=records).map(longest_record).collect(),
    }
}

#[test]
fn an_exchange_of_the_largest_fleet_is_within_the_limit() {
    let exchange = exchange_of(MEMBERS);
    let bytes = encode(&exchange);
    assert!(bytes.len() <= MAX_EXCHANGE_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode::<Exchange>(&bytes, MAX_EXCHANGE_BYTES).expect("it can be decoded"), exchange);
}

#[test]
fn an_exchange_over_the_limit_is_refused_with_both_lengths() {
    let bytes = encode(&exchange_of(2 * MEMBERS));
    let error = decode::<Exchange>(&bytes, MAX_EXCHANGE_BYTES).expect_err("it exceeds the limit");
    assert!(
        matches!(error, MembershipError::TooLong { length, max: MAX_EXCHANGE_BYTES } if length == bytes.len()),
        "{error}"
    );
}
