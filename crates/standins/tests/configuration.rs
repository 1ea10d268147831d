//! Edits of the document: validation, ownership, concurrency, history, reverts,
//! store outages and a store restored from a backup.

mod common;

use common::{document_positions_agree, owner_of, put_through, settled, value_of};
use rstest::rstest;
use tamarack_standins::sim::{ADMIN, MEMBER_A, MEMBER_B, service_edit};
use tamarackproxy::{
    coordination::configuration::{ConfigurationEvent, Position, PutError, SectionEdit},
    state::{
        document::{SectionKind, SectionName},
        ids::{Revision, TeamId},
        records::{HeadRecord, HistoryRecord},
    },
};

fn budget_edit(service: usize, min_available: u32, base: Revision) -> SectionEdit {
    let owner = owner_of(service);
    let text = format!("owner = {owner}\nmin_available = {min_available}\nmax_stopped = 1");
    let section = SectionName { kind: SectionKind::Budget, name: format!("s{service}").into() };
    SectionEdit { section, text: Some(text.into()), base }
}

fn pool_edit(pool: usize, minimum: u32, base: Revision) -> SectionEdit {
    let owner = owner_of(pool);
    let text = format!(
        "owner = {owner}\nsize = dc00:4\nminimum = {minimum}\nmaximum = 8\nspare = false\n\
         buffer_racks = 1"
    );
    let section = SectionName { kind: SectionKind::Pool, name: format!("p{pool}").into() };
    SectionEdit { section, text: Some(text.into()), base }
}

/// Guards against lost updates: two teams edit different sections at the same
/// time and both edits must take effect.
#[rstest]
fn configuration_edits_of_different_sections_are_merged(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = settled(2, 3, seed);
    let base = cluster.position(0).revision;
    let one = cluster.put(0, MEMBER_A, vec![service_edit(0, 111, base)]);
    let other = cluster.put(4, MEMBER_B, vec![service_edit(1, 222, base)]);
    cluster.run_ms(3_000);
    let results = [one, other].map(|call| cluster.observations.puts[&call].result.clone());
    let mut revisions = results.map(|result| result.expect("accepted").revision.0);
    revisions.sort_unstable();
    assert_eq!(revisions, [base.0 + 1, base.0 + 2]);
    let text = value_of::<HeadRecord>(&cluster, "document/head").text;
    assert!(text.contains("queue_limit = 111") && text.contains("queue_limit = 222"));
    document_positions_agree(&cluster);
}

/// Guards against lost updates: of two concurrent edits of the same section the
/// second must fail with the revision that changed the section.
#[rstest]
fn configuration_edits_of_the_same_section_do_not_overwrite(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = settled(2, 3, seed);
    let base = cluster.position(0).revision;
    let calls = [(0, 111), (4, 222)]
        .map(|(node, limit)| cluster.put(node, MEMBER_A, vec![service_edit(0, limit, base)]));
    cluster.run_ms(3_000);
    let results = calls.map(|call| cluster.observations.puts[&call].result.clone());
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
    let refused = results.iter().find_map(|result| result.as_ref().err()).expect("one is refused");
    assert!(matches!(refused, PutError::Stale { changed, .. } if changed.0 == base.0 + 1));
}

/// Guards against two concurrent edits that are each valid but make the document
/// invalid together.
#[rstest]
fn configuration_valid_edits_that_conflict_are_refused(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(2, 3, seed);
    let base = cluster.position(0).revision;
    // The minimum of the pool must stay above min_available of its service.
    let one = cluster.put(0, MEMBER_A, vec![budget_edit(0, 2, base), pool_edit(0, 4, base)]);
    cluster.run_ms(2_000);
    assert!(cluster.observations.puts[&one].result.is_ok());
    let base = cluster.position(0).revision;
    let calls = [
        cluster.put(0, MEMBER_A, vec![budget_edit(0, 3, base)]),
        cluster.put(4, MEMBER_A, vec![pool_edit(0, 3, base)]),
    ];
    cluster.run_ms(3_000);
    let results = calls.map(|call| cluster.observations.puts[&call].result.clone());
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1, "{results:?}");
    assert!(results.iter().any(|result| matches!(result, Err(PutError::Invalid(_)))));
}

/// Guards against a team that changes sections of other teams, either by name or
/// by injecting a section header into the text of its own section.
#[test]
fn configuration_teams_change_only_their_sections() {
    let mut cluster = settled(1, 2, 1);
    let base = cluster.position(0).revision;
    let not_owned = put_through(&mut cluster, 0, MEMBER_B, vec![service_edit(0, 7, base)]);
    assert!(matches!(not_owned, Err(PutError::NotOwner { .. })), "{not_owned:?}");
    let team = SectionName { kind: SectionKind::Team, name: MEMBER_B.into() };
    let text = Some("role = admin".into());
    let admin = vec![SectionEdit { section: team, text, base }];
    let escalated = put_through(&mut cluster, 0, MEMBER_B, admin);
    assert!(matches!(escalated, Err(PutError::NotOwner { .. })), "{escalated:?}");
    let mut injection = service_edit(1, 7, base);
    let text = injection.text.as_deref().unwrap_or_default();
    injection.text = Some(format!("{text}\n[team {MEMBER_B}]\nrole = admin").into());
    let injection = put_through(&mut cluster, 0, MEMBER_B, vec![injection]);
    assert!(matches!(injection, Err(PutError::Invalid(_))), "{injection:?}");
    assert!(put_through(&mut cluster, 0, ADMIN, vec![service_edit(0, 7, base)]).is_ok());
}

/// Guards against a revision that is written twice, or reported as failed, when
/// the reply to a compare-and-swap is lost after the write took effect.
#[rstest]
fn configuration_lost_replies_neither_repeat_nor_lose_a_put(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = settled(2, 3, seed);
    cluster.faults.lost_replies = 0.3;
    let mut accepted = 0;
    for round in 0..20 {
        let base = cluster.position(1).revision;
        let edit = service_edit(round % 2 * 2, 500 + round as u32, base);
        let call = cluster.put(1, MEMBER_A, vec![edit]);
        cluster.run_ms(11_000);
        match &cluster.observations.puts[&call].result {
            Ok(position) => {
                assert_eq!(position.revision, base.next(), "one revision for one put");
                accepted += 1;
            }
            Err(error) => assert!(matches!(error, PutError::Unknown | PutError::Unavailable)),
        }
    }
    assert!(accepted >= 15, "{accepted} of 20 puts accepted");
    cluster.faults.lost_replies = 0.0;
    cluster.run_ms(6_000);
    document_positions_agree(&cluster);
    assert_history_is_complete(&cluster);
}

fn assert_history_is_complete(cluster: &tamarack_standins::sim::Cluster) {
    let head = value_of::<HeadRecord>(cluster, "document/head");
    for revision in 2..head.revision.0 {
        let key = format!("document/history/{revision:012}");
        let entry = value_of::<HistoryRecord>(cluster, &key);
        assert_eq!(entry.revision, Revision(revision));
        assert_eq!(entry.changes.len(), 1);
    }
}

/// Guards against an accepted revision without history when its writer crashes
/// between the write of the head and that of the history entry.
#[rstest]
fn configuration_history_outlives_its_writer(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(1, 3, seed);
    let before = cluster.position(0);
    cluster.put(0, MEMBER_A, vec![service_edit(0, 111, before.revision)]);
    let accepted = Position { revision: before.revision.next(), ..before };
    // The write of the head has taken effect; its reply is in flight.
    while !cluster.observations.accepted_us.contains_key(&accepted) {
        cluster.run_ms(1);
    }
    cluster.kill(0);
    cluster.run_ms(2_000);
    let key = format!("document/history/{:012}", accepted.revision.0);
    assert!(cluster.store.value(&key).is_none(), "the writer crashed too late for this test");
    assert_eq!(cluster.position(1), accepted, "the accepted revision is in force");
    let next = vec![service_edit(1, 222, accepted.revision)];
    assert!(put_through(&mut cluster, 1, MEMBER_B, next).is_ok());
    assert_history_is_complete(&cluster);
}

/// Guards against a revert that undoes later edits or restores another text than
/// that of the previous revision.
#[test]
fn configuration_revert_is_a_new_revision() {
    let mut cluster = settled(1, 2, 1);
    let base = cluster.position(0).revision;
    let text = |cluster: &tamarack_standins::sim::Cluster| {
        value_of::<HeadRecord>(cluster, "document/head").text
    };
    let before = text(&cluster);
    let edit = vec![service_edit(0, 111, base)];
    let changed = put_through(&mut cluster, 0, MEMBER_A, edit).expect("accepted").revision;
    let revert = |cluster: &mut tamarack_standins::sim::Cluster, revision| {
        let team = TeamId::new(MEMBER_A);
        let call = cluster.configuration_event(1, |call| ConfigurationEvent::Revert {
            call,
            team,
            revision,
        });
        cluster.run_ms(1_000);
        cluster.observations.puts[&call].result.clone()
    };
    let reverted = revert(&mut cluster, changed).expect("accepted").revision;
    assert_eq!((reverted, text(&cluster)), (changed.next(), before));
    let edit = vec![service_edit(0, 222, reverted)];
    put_through(&mut cluster, 0, MEMBER_A, edit).expect("accepted");
    assert!(matches!(revert(&mut cluster, changed), Err(PutError::Stale { .. })));
    let missing = revert(&mut cluster, Revision(900));
    assert_eq!(missing, Err(PutError::NoHistory(Revision(900))));
}

/// Guards against a store restored from a backup whose older revision comes into
/// force, or accepts edits, before an operator raises the epoch.
#[rstest]
fn configuration_restored_store_is_refused_until_the_epoch_is_raised(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = settled(2, 3, seed);
    let base = cluster.position(0).revision;
    let first = put_through(&mut cluster, 0, MEMBER_A, vec![service_edit(0, 111, base)]);
    let backup = cluster.store.snapshot();
    let edit = vec![service_edit(1, 222, base)];
    let second = put_through(&mut cluster, 0, MEMBER_B, edit).expect("accepted");
    cluster.run_ms(1_000);
    cluster.restore_store(backup);
    cluster.run_ms(5_000);
    assert!(cluster.observations.restored_alerts > 0, "the restore is reported");
    assert!((0..cluster.len()).all(|node| cluster.position(node) == second));
    let edit = vec![service_edit(0, 333, second.revision)];
    let refused = put_through(&mut cluster, 3, MEMBER_A, edit.clone());
    assert_eq!(refused, Err(PutError::StoreRestored));
    // A restarted entry host loads the newer state of its peers, not that of the store.
    cluster.kill(5);
    cluster.restart(5);
    cluster.run_ms(5_000);
    assert_eq!(cluster.position(5), second);
    let call = cluster.put_with(3, ADMIN, edit, true);
    cluster.run_ms(6_000);
    let raised = cluster.observations.puts[&call].result.clone().expect("accepted");
    assert_eq!(raised.epoch.0, first.expect("accepted").epoch.0 + 1);
    assert!((0..cluster.len()).all(|node| cluster.position(node) == raised));
    assert_eq!(cluster.observations.reverts, 0);
}

/// Guards against puts that never complete, or are reported as refused although
/// they may have been written, while the store is down.
#[test]
fn configuration_puts_are_refused_while_the_store_is_down() {
    let mut cluster = settled(1, 2, 1);
    let base = cluster.position(0).revision;
    cluster.faults.store_down = true;
    cluster.run_ms(1_000);
    let calls: Vec<_> =
        (0..70).map(|_| cluster.put(0, MEMBER_A, vec![service_edit(0, 9, base)])).collect();
    cluster.run_ms(12_000);
    let results = calls.iter().map(|call| &cluster.observations.puts[call].result);
    let busy = results.clone().filter(|result| **result == Err(PutError::Busy)).count();
    let unavailable = results.filter(|result| **result == Err(PutError::Unavailable)).count();
    assert_eq!((busy, unavailable), (5, 65));
    cluster.faults.store_down = false;
    cluster.run_ms(10_000);
    assert_eq!(cluster.position(0).revision, base);
}

/// Guards against a reader that does not see its own write, or waits forever for
/// a revision that does not exist.
#[test]
fn configuration_readers_wait_for_their_own_writes() {
    let mut cluster = settled(2, 2, 1);
    let base = cluster.position(0).revision;
    let until_ms = cluster.now_us() / 1_000 + 3_000;
    let wait = |revision| move |call| ConfigurationEvent::WaitFor { call, revision, until_ms };
    let reached = cluster.configuration_event(3, wait(base.next()));
    let missed = cluster.configuration_event(3, wait(Revision(base.0 + 9)));
    put_through(&mut cluster, 0, MEMBER_A, vec![service_edit(0, 1, base)]).expect("accepted");
    cluster.run_ms(3_000);
    assert!(cluster.observations.waits[&reached].1);
    assert!(!cluster.observations.waits[&missed].1);
}
