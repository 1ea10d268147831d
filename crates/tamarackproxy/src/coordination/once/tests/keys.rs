//! Tests of idempotency keys, digests and the mapping of keys to homes.

use rstest::rstest;

use crate::{
    coordination::once::{
        CLOCK_TOLERANCE_MS, Claim, IdempotencyKey, KEY_RETENTION_MS, KeyError, home_data_centre,
        home_seat,
    },
    state::{
        clock::ClockReading,
        ids::{CallerId, DataCentreId},
    },
};

const KEY: &str = "01890a5d-ac96-774b-bcce-b302099a8057";

/// Guards against accepting keys without a creation time, which would never expire.
#[rstest]
#[case(KEY, Ok(()))]
#[case("\"01890a5d-ac96-774b-bcce-b302099a8057\"", Ok(()))]
#[case("9b2d4c3e-5f6a-4b7c-8d9e-0f1a2b3c4d5e", Err(KeyError::NotVersion7))]
#[case("charge-17", Err(KeyError::NotAUuid))]
#[case("", Err(KeyError::NotAUuid))]
fn once_key_is_accepted_only_as_uuid_version_7(
    #[case] text: &str,
    #[case] expected: Result<(), KeyError>,
) {
    assert_eq!(text.parse::<IdempotencyKey>().map(|_| ()), expected);
}

/// Guards against running an expired key again, and against a caller whose
/// clock is so far ahead that its key would outlive the log.
#[rstest]
#[case(0, Ok(()))]
#[case(KEY_RETENTION_MS as i64, Ok(()))]
#[case(KEY_RETENTION_MS as i64 + 1, Err(KeyError::Expired))]
#[case(-(CLOCK_TOLERANCE_MS as i64), Ok(()))]
#[case(-(CLOCK_TOLERANCE_MS as i64) - 1, Err(KeyError::InFuture))]
fn once_key_is_refused_outside_its_time(
    #[case] age_ms: i64,
    #[case] expected: Result<(), KeyError>,
) {
    let key: IdempotencyKey = KEY.parse().expect("valid key");
    let now = ClockReading::new(0, key.created_unix_ms().saturating_add_signed(age_ms));
    assert_eq!(key.check(now), expected);
}

/// Guards against different requests with the same digest because their parts are
/// concatenated without a separator.
#[test]
fn once_digests_tell_requests_apart() {
    let (caller, key) = (CallerId::new("till"), KEY.parse().expect("valid key"));
    let claim = Claim::new(&caller, &key, "POST", "/charge", b"5");
    assert_eq!(claim, Claim::new(&caller, &key, "POST", "/charge", b"5"));
    assert_ne!(claim.body, Claim::new(&caller, &key, "POST", "/charge5", b"").body);
    assert_ne!(claim.key, Claim::new(&CallerId::new("tills"), &key, "POST", "/charge", b"5").key);
}

/// Guards against moving callers between existing data centres when one is added.
#[test]
fn once_added_data_centre_moves_only_its_own_callers() {
    let centres: Vec<DataCentreId> = ["a", "b", "c", "d"].map(DataCentreId::new).into();
    for number in 0..200 {
        let caller = CallerId::new(format!("caller-{number}"));
        let before = home_data_centre(&caller, &centres[..3]);
        let after = home_data_centre(&caller, &centres);
        assert!(after == before || after == Some(&centres[3]));
    }
    assert_eq!(home_data_centre(&CallerId::new("x"), []), None);
}

/// Guards against a home that is not one of the seats, and seats without keys.
#[test]
fn once_home_seats_cover_all_seats() {
    let (caller, key) = (CallerId::new("till"), KEY.parse().expect("valid key"));
    let seat = |body: u32| {
        let caller = CallerId::new(format!("{caller}-{body}"));
        home_seat(&Claim::new(&caller, &key, "POST", "/", b""), 7)
    };
    let mut homes: Vec<u16> = (0..200).map(seat).collect();
    homes.sort_unstable();
    homes.dedup();
    assert_eq!(homes, [0, 1, 2, 3, 4, 5, 6]);
}
