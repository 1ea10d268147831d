//! Tests of individual decisions of the engine with scripted store replies.

use super::{
    ConfigurationAction, ConfigurationEngine, ConfigurationEvent, ConfigurationMessage,
    OperatorCall, Position, SectionEdit,
};
use crate::{
    protocol::store::{KeyValue, StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        document::{SectionKind, SectionName},
        ids::{CallId, DataCentreId, EntryId, RecordVersion, Revision, TeamId},
        records::HeadRecord,
    },
};

const DOCUMENT: &str = include_str!("../../../../../examples/kigali.ini");

struct Script {
    engine: ConfigurationEngine,
    now_ms: u64,
    actions: Vec<ConfigurationAction>,
}

impl Script {
    fn new() -> Self {
        let (entry, data_centre) = (EntryId::new("e1"), DataCentreId::new("gasabo"));
        let engine = ConfigurationEngine::new(entry, data_centre, 1);
        Self { engine, now_ms: 0, actions: Vec::new() }
    }

    fn handle(&mut self, event: ConfigurationEvent) {
        self.now_ms += 1;
        let now = ClockReading::new(self.now_ms, self.now_ms);
        self.engine.handle(now, event, &mut self.actions);
    }

    fn receive(&mut self, message: ConfigurationMessage) {
        self.handle(ConfigurationEvent::Received { from: EntryId::new("e2"), message });
    }

    /// Advances time until the engine makes a call that the filter selects.
    fn call<F>(&mut self, selects: F) -> (CallId, StoreRequest)
    where
        F: Fn(&StoreRequest) -> bool,
    {
        for _ in 0..5_000 {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    ConfigurationAction::Store { call, request } if selects(&request) => {
                        return (call, request);
                    }
                    _ => {}
                }
            }
            self.handle(ConfigurationEvent::Tick);
        }
        panic!("the engine made no such call");
    }

    fn reply(&mut self, call: CallId, result: Result<StoreReply, StoreError>) {
        self.handle(ConfigurationEvent::StoreReplied { call, result });
    }
}

fn position(revision: u64) -> Position {
    Position { revision: Revision(revision), ..Position::default() }
}

fn whole(revision: u64, text: &str) -> ConfigurationMessage {
    ConfigurationMessage::Whole { position: position(revision), text: text.into() }
}

fn is_head_read(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Get { key } if &**key == super::HEAD_KEY)
}

fn is_head_swap(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::CompareAndSwap { key, .. } if &**key == super::HEAD_KEY)
}

/// Guards against a delayed message that puts an older revision back in force.
#[test]
fn configuration_older_whole_text_is_not_applied() {
    let mut script = Script::new();
    script.receive(whole(7, DOCUMENT));
    assert_eq!(script.engine.position(), position(7));
    script.actions.clear();
    script.receive(whole(6, DOCUMENT));
    assert_eq!(script.engine.position(), position(7));
    let applied =
        |action: &ConfigurationAction| matches!(action, ConfigurationAction::InForce { .. });
    assert!(!script.actions.iter().any(applied));
}

/// Guards against a put that is reported as failed although it was written: the
/// replies to the swap and to the read-back are lost, and a concurrent writer
/// then changes the same section.
#[test]
fn configuration_accepted_put_is_found_under_a_rivals_revision() {
    let mut script = Script::new();
    let head = first_head();
    let (start, _) = script.call(is_head_read);
    script.reply(start, Ok(StoreReply::Value(Some(stored(&head, 1)))));
    let section = SectionName { kind: SectionKind::Document, name: "".into() };
    let text = Some("deployment = renamed".into());
    let edits = vec![SectionEdit { section, text, base: Revision(0) }];
    let team = TeamId::new("operations");
    let call = OperatorCall(1);
    script.handle(ConfigurationEvent::Put { call, team, edits, raise_epoch: false });
    let (read, _) = script.call(is_head_read);
    script.reply(read, Ok(StoreReply::Value(Some(stored(&head, 1)))));
    let (copy, _) = script.call(|request| !is_head_read(request));
    script.reply(copy, Ok(StoreReply::Swapped(RecordVersion(2))));
    let (swap, request) = script.call(is_head_swap);
    let StoreRequest::CompareAndSwap { value, .. } = request else { panic!("a swap") };
    script.reply(swap, Err(StoreError::Unknown));
    let (read_back, _) = script.call(is_head_read);
    script.reply(read_back, Err(StoreError::Unknown));
    let mut rival: HeadRecord = serde_json::from_slice(&value).expect("decodes");
    let accepted = rival.revision;
    rival.revision = accepted.next();
    rival.changed.values_mut().for_each(|changed| *changed = accepted.next());
    rival.change.operation = Default::default();
    rival.text = rival.text.replace("renamed", "rival").into();
    let (again, _) = script.call(is_head_read);
    script.reply(again, Ok(StoreReply::Value(Some(stored(&rival, 4)))));
    let ended = script.actions.iter().find_map(|action| match action {
        ConfigurationAction::PutEnded { result, .. } => Some(result.clone()),
        _ => None,
    });
    assert_eq!(ended, Some(Ok(position(accepted.0))));
}

fn first_head() -> HeadRecord {
    let change = crate::state::records::RevisionChange {
        author: TeamId::new("operations"),
        at_unix_ms: 0,
        operation: Default::default(),
        before: Vec::new(),
        before_omitted: false,
    };
    HeadRecord {
        epoch: Default::default(),
        revision: Revision(1),
        text: DOCUMENT.into(),
        changed: Default::default(),
        change,
        operations: Default::default(),
    }
}

fn stored(head: &HeadRecord, version: u64) -> KeyValue {
    let value = serde_json::to_vec(head).expect("encodes").into();
    KeyValue { key: super::HEAD_KEY.into(), value, version: RecordVersion(version) }
}
