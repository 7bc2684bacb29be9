//! Stand-ins for what a gateway speaks with, written from the protocol page: backends, the counter, discovery. Each
//! can be killed and started again, at another port; what they saw is kept apart from any gateway's word.

pub mod backend;
pub mod counter;
pub mod discovery;

use crate::http;
use crate::links::Target;
use hyper::body::Incoming;
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

/// A listener that can be taken away with all its connections, and come back elsewhere.
pub struct Door {
    /// Where it is, or was last.
    pub target: Target,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl Default for Door {
    fn default() -> Door {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        Door { target: Rc::new(Cell::new(nowhere)), task: RefCell::default() }
    }
}

impl Door {
    /// Opens it with this service, in place of the one before.
    pub async fn open<F, A>(&self, service: F) -> io::Result<()>
    where
        F: Fn(Request<Incoming>) -> A + 'static,
        A: Future<Output = Option<http::Answer>> + 'static,
    {
        self.close();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.target.set(listener.local_addr()?);
        *self.task.borrow_mut() = Some(spawn_local(http::serve(listener, service)));
        Ok(())
    }

    /// Closes it and every connection.
    pub fn close(&self) {
        self.task.borrow_mut().take().into_iter().for_each(|task| task.abort());
    }

    /// Whether it is open.
    pub fn is_open(&self) -> bool {
        self.task.borrow().is_some()
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.close();
    }
}

/// The value of a parameter in a query.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
