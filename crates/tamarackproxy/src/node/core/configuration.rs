//! Connects the configuration engine: its watches, the document in force and the
//! host records.

use std::sync::Arc;

use super::{Effect, Engine, NodeCore, view::View};
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

impl NodeCore {
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
                self.store_restored = Some((in_force, found));
            }
            ConfigurationAction::PutEnded { call, result } => {
                if result.is_ok() {
                    self.store_restored = None;
                }
                self.effects.push(Effect::PutEnded { call, result });
            }
            ConfigurationAction::WaitEnded { call, reached } => {
                self.effects.push(Effect::WaitEnded { call, reached });
            }
            ConfigurationAction::Watch { prefix, from_version } => {
                self.start_watch(prefix, from_version);
            }
            ConfigurationAction::Unwatch { prefix } => self.end_watch(prefix),
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
        self.text = Some(text);
        self.on_requests(RequestsEvent::ServicesChanged { services, callers });
        if let Some(seats) = self.configured_seats() {
            self.on_requests(RequestsEvent::SeatsConfigured { seats });
            self.on_once(OnceEvent::SeatsConfigured { seats });
            self.on_seats(SeatsEvent::SeatsConfigured { seats });
        }
        self.publish_seat();
        self.configure_jobs(&document);
        self.on_fleet(FleetEvent::DocumentChanged { document });
        self.publish_targets();
        self.publish_in_force();
    }

    fn start_watch(&mut self, prefix: Box<str>, from_version: u64) {
        self.watch_generation += 1;
        let generation = self.watch_generation;
        self.watches.insert(prefix.clone(), generation);
        self.effects.push(Effect::Watch { prefix, from_version, generation });
    }

    fn end_watch(&mut self, prefix: Box<str>) {
        self.watches.remove(&prefix);
        self.effects.push(Effect::Unwatch { prefix });
    }

    /// Handles an event of a watch; events of an earlier watch on the prefix are
    /// ignored.
    pub(super) fn on_watched(&mut self, prefix: Box<str>, generation: u64, event: WatchEvent) {
        if self.watches.get(&prefix) == Some(&generation) {
            self.on_configuration(ConfigurationEvent::Watched { prefix, event });
        }
    }
}
