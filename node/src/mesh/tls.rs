//! TLS of the mesh: one authority signs a certificate for each VM's id.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Connection, EndpointConfig, IdleTimeout, ServerConfig, TransportConfig};
use ring::{digest, hmac};
use rustls::crypto::ring as provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, SupportedProtocolVersion};

use crate::options::settings::TlsSettings;

/// Time without a packet after which a connection is closed.
const IDLE_TIME: Duration = Duration::from_mins(2);
/// Round trip that a new connection assumes.
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(20);
const VERSIONS: &[&SupportedProtocolVersion] = &[&rustls::version::TLS13];

/// Key material of one VM.
#[derive(Debug)]
pub struct MeshKeys {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

impl MeshKeys {
    /// Reads the key files.
    ///
    /// # Errors
    /// Fails where a file cannot be read or is not PEM of its kind.
    pub fn open(settings: &TlsSettings) -> Result<Self> {
        let authority = CertificateDer::from_pem_file(&settings.authority)
            .with_context(|| format!("no certificate in {}", settings.authority.display()))?;
        let certificate = CertificateDer::from_pem_file(&settings.certificate)
            .with_context(|| format!("no certificate in {}", settings.certificate.display()))?;
        let key = PrivateKeyDer::from_pem_file(&settings.key)
            .with_context(|| format!("no private key in {}", settings.key.display()))?;
        Ok(Self {
            authority,
            certificate,
            key,
        })
    }

    /// Returns a configuration whose reset tokens stay the same over restarts.
    ///
    /// So a peer that still writes to an earlier process of this VM is told at once that the
    /// connection is gone, in place of waiting for its idle time.
    pub(super) fn endpoint_config(&self) -> EndpointConfig {
        let secret = digest::digest(&digest::SHA256, self.key.secret_der());
        let key = hmac::Key::new(hmac::HMAC_SHA256, secret.as_ref());
        EndpointConfig::new(Arc::new(key))
    }

    pub(super) fn server_config(&self) -> Result<ServerConfig> {
        let provider = Arc::new(provider::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.roots()?),
            Arc::clone(&provider),
        )
        .build()?;
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(VERSIONS)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(config)?));
        config.transport_config(transport()?);
        Ok(config)
    }

    pub(super) fn client_config(&self) -> Result<ClientConfig> {
        let provider = Arc::new(provider::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(VERSIONS)?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(config)?));
        config.transport_config(transport()?);
        Ok(config)
    }

    fn roots(&self) -> Result<RootCertStore> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(roots)
    }
}

fn transport() -> Result<Arc<TransportConfig>> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIME)?));
    transport.initial_rtt(FIRST_ROUND_TRIP);
    Ok(Arc::new(transport))
}

/// Checks that a peer's certificate is made for the id that it claims.
///
/// # Errors
/// Fails where it is not, or where there is no certificate.
pub(super) fn check_name(connection: &Connection, name: &str) -> Result<()> {
    let identity = connection
        .peer_identity()
        .ok_or_else(|| anyhow!("no certificate"))?;
    let chain = identity
        .downcast::<Vec<CertificateDer<'static>>>()
        .map_err(|_other| anyhow!("an identity that is no certificate"))?;
    let first = chain
        .first()
        .ok_or_else(|| anyhow!("an empty certificate chain"))?;
    let certificate = webpki::EndEntityCert::try_from(first)
        .map_err(|error| anyhow!("a certificate that cannot be read: {error}"))?;
    let server_name = ServerName::try_from(name)?;
    certificate
        .verify_is_valid_for_subject_name(&server_name)
        .map_err(|error| anyhow!("the certificate is not made for {name}: {error}"))
}
