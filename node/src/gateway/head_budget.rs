//! Bound on the memory that unfinished request heads of all connections take together.
//!
//! A head is buffered until it is complete, and its sender needs no key for it. A connection whose
//! head would exceed the bound is closed; nothing of its request has been read by then.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::memory_budget::{MemoryBudget, MemoryShare};

/// Memory for unfinished heads together, beyond the own part of each, in bytes.
pub(super) const HEAD_MEMORY_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that each head may take, whatever the others take.
const OWN_BYTES: usize = 4 * 1024;

/// Memory of the unfinished head on one connection.
#[derive(Debug)]
pub(super) struct HeadMeter {
    share: RefCell<MemoryShare>,
    /// Bytes received since the last response ended.
    received: Cell<usize>,
    /// Whether a request is in progress, so that what arrives belongs to its body.
    in_request: Cell<bool>,
}

impl HeadMeter {
    pub(super) fn new(budget: &Arc<MemoryBudget>) -> Rc<Self> {
        Rc::new(Self {
            share: RefCell::new(MemoryShare::new(budget)),
            received: Cell::new(0),
            in_request: Cell::new(false),
        })
    }

    /// Records that a head is complete; its memory is returned.
    pub(super) fn begin_request(&self) {
        self.in_request.set(true);
        self.received.set(0);
        self.share.borrow_mut().clear();
    }

    /// Records that a response is ready; what arrives from now on is another head.
    pub(super) fn end_request(&self) {
        self.in_request.set(false);
    }

    fn record_received(&self, length: usize) -> io::Result<()> {
        if self.in_request.get() {
            return Ok(());
        }
        let received = self.received.get() + length;
        self.received.set(received);
        let needed = received.saturating_sub(OWN_BYTES);
        let taken = self.share.borrow_mut().grow_to(needed);
        taken.map_err(io::Error::other)
    }
}

/// Connection that fails once its unfinished head finds no memory.
#[derive(Debug)]
pub(super) struct MeteredStream {
    pub(super) stream: TcpStream,
    pub(super) meter: Rc<HeadMeter>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = polled {
            let length = buf.filled().len() - before;
            self.meter.record_received(length)?;
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
