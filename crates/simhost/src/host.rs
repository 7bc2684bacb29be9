//! Runs the gateway instances of one process and splits the input into batches for them.

use crate::decode::{read_endpoint, read_event, read_scope};
use crate::error::WireError;
use crate::instance::Instance;
use lanespan_policy::{Endpoint, EndpointListScope, Event, Micros};
use lanespan_settings::Fields;
use std::collections::BTreeMap;
use std::fmt::Write;

/// An endpoint list of which not all entries have been received.
struct PartialEndpointList {
    scope: EndpointListScope,
    endpoints: Vec<Endpoint>,
    remaining: u64,
}

/// Runs gateway instances and applies batches of input lines to them.
#[derive(Default)]
pub struct Host {
    /// The running instances by the number in `who`.
    instances: BTreeMap<u32, Instance>,
    /// The instance to which the following lines of the batch apply.
    selected: Option<u32>,
    now: Micros,
    line_number: u64,
    in_batch: bool,
    partial_list: Option<PartialEndpointList>,
    /// The reply lines of each instance to the current batch.
    replies: BTreeMap<u32, String>,
}

impl Host {
    /// Processes one line of input. Returns the reply if the line ends a batch.
    pub fn process_line(&mut self, text: &str) -> Result<Option<String>, WireError> {
        self.line_number += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let fields = Fields::parse(self.line_number, text)?;
        let place = || fields.place.clone();
        if fields.message_type != "TICK" && !self.in_batch {
            return Err(WireError::OutsideBatch { place: place() });
        }
        if self.partial_list.is_some() && fields.message_type != "ITEM" {
            return Err(WireError::IncompleteList { place: place() });
        }
        match fields.message_type {
            "TICK" => self.begin_batch(&fields)?,
            "FOR" => self.selected = Some(fields.required_u32("who")?),
            "START" => self.start_instance(&fields)?,
            "DOWN" => self.stop_instance(&fields)?,
            "FLUSH" => return Ok(Some(self.end_batch())),
            "FLEET" => self.begin_list(&fields)?,
            "ITEM" => self.add_endpoint(&fields)?,
            _ => self.process_event_line(&fields)?,
        }
        Ok(None)
    }

    /// Returns an error if the input ends inside a batch.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.in_batch {
            true => Err(WireError::UnfinishedBatch { line: self.line_number }),
            false => Ok(()),
        }
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<(), WireError> {
        let now = Micros(fields.required_u64("now")?);
        if self.in_batch || now < self.now {
            let expected = "the previous batch to be ended by FLUSH, and a time not before that batch's";
            return Err(fields.unexpected("now", expected).into());
        }
        self.now = now;
        self.in_batch = true;
        self.selected = None;
        Ok(())
    }

    fn end_batch(&mut self) -> String {
        self.in_batch = false;
        let mut reply = String::new();
        for (instance_id, text) in std::mem::take(&mut self.replies) {
            if !text.is_empty() {
                // Writing to a `String` cannot fail.
                let _ = write!(reply, "AS who={instance_id}\n{text}");
            }
        }
        reply.push_str("EOR\n");
        reply
    }

    fn start_instance(&mut self, fields: &Fields) -> Result<(), WireError> {
        let instance_id = self.selected(fields)?;
        self.instances.insert(instance_id, Instance::start(fields)?);
        Ok(())
    }

    fn stop_instance(&mut self, fields: &Fields) -> Result<(), WireError> {
        let instance_id = self.selected(fields)?;
        self.instances.remove(&instance_id);
        self.replies.remove(&instance_id);
        Ok(())
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<(), WireError> {
        let scope = read_scope(fields)?;
        let remaining = fields.u64_or("items", 0)?;
        self.selected(fields)?;
        self.partial_list = Some(PartialEndpointList { scope, endpoints: Vec::new(), remaining });
        self.deliver_complete_list();
        Ok(())
    }

    fn add_endpoint(&mut self, fields: &Fields) -> Result<(), WireError> {
        let Some(list) = self.partial_list.as_mut() else {
            return Err(WireError::EntryOutsideList { place: fields.place.clone() });
        };
        if let Some(instance) = self.selected.and_then(|instance_id| self.instances.get_mut(&instance_id)) {
            list.endpoints.push(read_endpoint(fields, &mut instance.site)?);
        }
        list.remaining -= 1;
        self.deliver_complete_list();
        Ok(())
    }

    fn deliver_complete_list(&mut self) {
        let complete = self.partial_list.take_if(|list| list.remaining == 0);
        if let (Some(list), Some(instance_id)) = (complete, self.selected) {
            self.handle(instance_id, Event::EndpointList { scope: list.scope, endpoints: list.endpoints });
        }
    }

    fn process_event_line(&mut self, fields: &Fields) -> Result<(), WireError> {
        let instance_id = self.selected(fields)?;
        let Some(instance) = self.instances.get_mut(&instance_id) else { return Ok(()) };
        if let Some(event) = read_event(fields, &mut instance.site, self.now)? {
            self.handle(instance_id, event);
        }
        Ok(())
    }

    fn handle(&mut self, instance_id: u32, event: Event) {
        if let Some(instance) = self.instances.get_mut(&instance_id) {
            let reply = self.replies.entry(instance_id).or_default();
            instance.handle(self.now, event, reply);
        }
    }

    fn selected(&self, fields: &Fields) -> Result<u32, WireError> {
        self.selected.ok_or_else(|| WireError::NoInstance { place: fields.place.clone() })
    }
}
