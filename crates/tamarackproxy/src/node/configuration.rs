//! The configuration engine, watches and the document in force.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::{
    event_loop::EventLoop,
    input::{Engine, TaskEnd},
    view::View,
};
use crate::{
    coordination::{
        configuration::{ConfigurationAction, ConfigurationEvent, Position},
        fleet::FleetEvent,
        once::OnceEvent,
        requests::RequestsEvent,
        seats::SeatsEvent,
    },
    protocol::{peer::PeerMessage, store::WatchEvent},
    state::document::Document,
};

/// A running watch; a new watch on the same prefix gets a new generation.
pub(super) struct RunningWatch {
    pub(super) prefix: Box<str>,
    generation: u64,
    task: tokio::task::JoinHandle<()>,
}

impl EventLoop {
    pub(super) fn on_configuration(&mut self, event: ConfigurationEvent) {
        let mut actions = Vec::new();
        self.configuration.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_configuration(action);
        }
    }

    fn apply_configuration(&mut self, action: ConfigurationAction) {
        match action {
            ConfigurationAction::InForce { position, document, text } => {
                self.set_document(position, document, text);
            }
            ConfigurationAction::Unusable { position, message } => {
                log::error!(
                    revision = position.revision.0;
                    "the store's document cannot be used: {message}"
                );
            }
            ConfigurationAction::FleetChanged { fleet_version, records } => {
                self.on_fleet_changed(fleet_version, records);
            }
            ConfigurationAction::Ready { ready } => {
                log::info!(ready = ready; "readiness changed");
                self.is_ready = ready;
            }
            ConfigurationAction::StoreRestored { in_force, found } => {
                log::error!(
                    in_force = in_force.revision.0, found = found.revision.0;
                    "the store shows an older document than the one in force; \
                     an admin must raise the epoch"
                );
                self.admin.restored = Some((in_force, found));
            }
            ConfigurationAction::PutEnded { call, result } => self.on_put_ended(call, result),
            ConfigurationAction::WaitEnded { call, reached } => self.on_wait_ended(call, reached),
            ConfigurationAction::Watch { prefix, from_version } => {
                self.start_watch(prefix, from_version);
            }
            ConfigurationAction::Unwatch { prefix } => self.end_watch(&prefix),
            ConfigurationAction::Send { to, message } => {
                self.send(&to, PeerMessage::Configuration(message));
            }
            ConfigurationAction::Store { call, request } => {
                self.call_store(Engine::Configuration, call, request);
            }
        }
    }

    fn set_document(&mut self, position: Position, document: Arc<Document>, text: Arc<str>) {
        log::info!(
            epoch = position.epoch.0, revision = position.revision.0;
            "document is in force"
        );
        let view = View::new(Arc::clone(&document));
        let (services, callers) = (view.service_limits(), view.caller_limits());
        self.view = Some(view);
        self.position = position;
        self.admin.text = Some(text);
        self.on_requests(RequestsEvent::ServicesChanged { services, callers });
        if let Some(seats) = self.configured_seats() {
            self.on_once(OnceEvent::SeatsConfigured { seats });
            self.on_seats(SeatsEvent::SeatsConfigured { seats });
        }
        self.publish_seat();
        self.on_fleet(FleetEvent::DocumentChanged { document });
        self.publish_targets();
        self.publish_in_force();
    }

    fn start_watch(&mut self, prefix: Box<str>, from_version: u64) {
        self.end_watch(&prefix);
        self.admin.watch_generation += 1;
        let generation = self.admin.watch_generation;
        let (store, ends, watched) = (self.store.clone(), self.ends.clone(), prefix.clone());
        let task = tokio::task::spawn_local(async move {
            let (events, mut received) = mpsc::unbounded_channel();
            let forward = async {
                while let Some(event) = received.recv().await {
                    let prefix = watched.clone();
                    let _ = ends.send(TaskEnd::Watched { prefix, generation, event });
                }
            };
            tokio::join!(store.watch(&watched, from_version, events), forward);
        });
        self.admin.watches.push(RunningWatch { prefix, generation, task });
    }

    fn end_watch(&mut self, prefix: &str) {
        self.admin.watches.retain(|watch| {
            let is_other = &*watch.prefix != prefix;
            if !is_other {
                watch.task.abort();
            }
            is_other
        });
    }

    pub(super) fn on_watched(&mut self, prefix: &str, generation: u64, event: WatchEvent) {
        let mut watches = self.admin.watches.iter();
        let is_current =
            watches.any(|watch| &*watch.prefix == prefix && watch.generation == generation);
        if is_current {
            self.on_configuration(ConfigurationEvent::Watched { prefix: prefix.into(), event });
        }
    }
}
