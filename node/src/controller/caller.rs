//! Connections of the callers of a control VM, which show whether a caller still waits.

use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use merlinrudder_core::evacuation::CallerPresence;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// An HTTP connection at which other threads may look while its task serves it.
#[derive(Clone, Debug)]
pub(super) struct CallerConnection(Arc<TcpStream>);

impl CallerConnection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Asks the operating system whether the caller still waits, without taking any bytes.
    ///
    /// The connection's own task may not have seen its end yet, above all in a process that had stood still.
    /// Bytes behind the call could hide the end, so the caller's presence is unknown until they were read.
    pub(super) fn presence(&self) -> CallerPresence {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0).peek(&mut byte) {
            Ok(0) => CallerPresence::Gone,
            Ok(_) => CallerPresence::Unknown,
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock => CallerPresence::Waiting,
                ErrorKind::Interrupted => CallerPresence::Unknown,
                _ => CallerPresence::Gone,
            },
        }
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
