//! The gateways of one process, and the batches of lines for them.

use crate::decode::{read_endpoint, read_event, read_scope};
use crate::error::WireError;
use crate::instance::Instance;
use lanespan_policy::{Endpoint, EndpointListScope, Event, Micros};
use lanespan_settings::Fields;
use std::collections::BTreeMap;
use std::fmt::Write;

/// An endpoint list whose entries are still coming.
struct OpenList {
    scope: EndpointListScope,
    endpoints: Vec<Endpoint>,
    missing: u64,
}

/// The gateways of one process, by number, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    /// The gateway to which the lines belong.
    selected: Option<u32>,
    now: Micros,
    line_number: u64,
    in_batch: bool,
    open_list: Option<OpenList>,
    /// What each gateway replies to this batch.
    replies: BTreeMap<u32, String>,
}

impl Host {
    /// Takes one line of input; at the end of a batch, returns the reply.
    pub fn line(&mut self, text: &str) -> Result<Option<String>, WireError> {
        self.line_number += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let fields = Fields::parse(self.line_number, text)?;
        let place = || fields.place.clone();
        if fields.message_type != "TICK" && !self.in_batch {
            return Err(WireError::OutsideBatch { place: place() });
        }
        if self.open_list.is_some() && fields.message_type != "ITEM" {
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
            _ => self.take_event(&fields)?,
        }
        Ok(None)
    }

    /// Whether the input may end now.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.in_batch {
            true => Err(WireError::UnfinishedBatch { line: self.line_number }),
            false => Ok(()),
        }
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<(), WireError> {
        let now = Micros(fields.required_u64("now")?);
        if self.in_batch || now < self.now {
            let expected = "a batch's end first, and a clock that moves forward";
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
        for (number, text) in std::mem::take(&mut self.replies) {
            if !text.is_empty() {
                // Writing to a String can't fail.
                let _ = write!(reply, "AS who={number}\n{text}");
            }
        }
        reply.push_str("EOR\n");
        reply
    }

    fn start_instance(&mut self, fields: &Fields) -> Result<(), WireError> {
        let number = self.selected(fields)?;
        self.instances.insert(number, Instance::start(fields)?);
        Ok(())
    }

    fn stop_instance(&mut self, fields: &Fields) -> Result<(), WireError> {
        let number = self.selected(fields)?;
        self.instances.remove(&number);
        self.replies.remove(&number);
        Ok(())
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<(), WireError> {
        let scope = read_scope(fields)?;
        let missing = fields.u64_or("items", 0)?;
        self.selected(fields)?;
        self.open_list = Some(OpenList { scope, endpoints: Vec::new(), missing });
        self.close_complete_list();
        Ok(())
    }

    fn add_endpoint(&mut self, fields: &Fields) -> Result<(), WireError> {
        let Some(list) = self.open_list.as_mut() else {
            return Err(WireError::EntryOutsideList { place: fields.place.clone() });
        };
        if let Some(instance) = self.selected.and_then(|number| self.instances.get_mut(&number)) {
            list.endpoints.push(read_endpoint(fields, &mut instance.site)?);
        }
        list.missing -= 1;
        self.close_complete_list();
        Ok(())
    }

    fn close_complete_list(&mut self) {
        let complete = self.open_list.take_if(|list| list.missing == 0);
        if let (Some(list), Some(number)) = (complete, self.selected) {
            self.handle(number, Event::EndpointList { scope: list.scope, endpoints: list.endpoints });
        }
    }

    fn take_event(&mut self, fields: &Fields) -> Result<(), WireError> {
        let number = self.selected(fields)?;
        let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
        if let Some(event) = read_event(fields, &mut instance.site, self.now)? {
            self.handle(number, event);
        }
        Ok(())
    }

    fn handle(&mut self, number: u32, event: Event) {
        if let Some(instance) = self.instances.get_mut(&number) {
            let reply = self.replies.entry(number).or_default();
            instance.handle(self.now, event, reply);
        }
    }

    fn selected(&self, fields: &Fields) -> Result<u32, WireError> {
        self.selected.ok_or_else(|| WireError::NoInstance { place: fields.place.clone() })
    }
}
