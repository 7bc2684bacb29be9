//! Stand-ins for the services that a gateway depends on: backends, the counter and discovery.
//!
//! They are written from the protocol's documentation. Each can be killed and restarted on another port, and records
//! what it receives itself, independently of what a gateway reports.

pub mod backend;
pub mod counter;
pub mod discovery;

use crate::http;
use crate::links::SharedAddress;
use hyper::body::Incoming;
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

/// A listener that can be closed together with all its connections, and reopened on another port.
pub struct ServiceListener {
    /// The current address, or the last one if the listener is closed.
    pub address: SharedAddress,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl Default for ServiceListener {
    fn default() -> ServiceListener {
        let unbound_address = SocketAddr::from(([127, 0, 0, 1], 1));
        ServiceListener { address: Rc::new(Cell::new(unbound_address)), task: RefCell::default() }
    }
}

impl ServiceListener {
    /// Opens the listener on a new port and serves it with `service`, closing the previous one.
    pub async fn open<F, A>(&self, service: F) -> io::Result<()>
    where
        F: Fn(Request<Incoming>) -> A + 'static,
        A: Future<Output = Option<http::HttpResponse>> + 'static,
    {
        self.close();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.address.set(listener.local_addr()?);
        *self.task.borrow_mut() = Some(spawn_local(http::serve(listener, service)));
        Ok(())
    }

    /// Closes the listener and all its connections.
    pub fn close(&self) {
        self.task.borrow_mut().take().into_iter().for_each(|task| task.abort());
    }

    /// Returns whether the listener is open.
    pub fn is_open(&self) -> bool {
        self.task.borrow().is_some()
    }
}

impl Drop for ServiceListener {
    fn drop(&mut self) {
        self.close();
    }
}

/// Returns the value of a parameter in a query string.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
