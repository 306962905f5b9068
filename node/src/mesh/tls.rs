//! TLS of the mesh: one certificate authority signs a certificate for each VM id.

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
const MESH_IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Round-trip time assumed for a new connection until it is measured.
const INITIAL_RTT: Duration = Duration::from_millis(20);
const TLS_VERSIONS: &[&SupportedProtocolVersion] = &[&rustls::version::TLS13];

/// Certificate and private key of one VM, and the authority that it trusts.
#[derive(Debug)]
pub struct MeshKeys {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

impl MeshKeys {
    /// Reads the PEM files.
    ///
    /// # Errors
    /// Fails if a file cannot be read or holds no certificate or no private key.
    pub fn open(settings: &TlsSettings) -> Result<Self> {
        let authority = CertificateDer::from_pem_file(&settings.authority).with_context(|| {
            format!(
                "cannot read a certificate from {}",
                settings.authority.display()
            )
        })?;
        let certificate =
            CertificateDer::from_pem_file(&settings.certificate).with_context(|| {
                format!(
                    "cannot read a certificate from {}",
                    settings.certificate.display()
                )
            })?;
        let key = PrivateKeyDer::from_pem_file(&settings.key).with_context(|| {
            format!("cannot read a private key from {}", settings.key.display())
        })?;
        Ok(Self {
            authority,
            certificate,
            key,
        })
    }

    /// Returns an endpoint configuration whose stateless reset tokens survive restarts.
    ///
    /// Their key is derived from the private key. A peer that still sends to an earlier process of
    /// this VM thus learns at once that the connection is gone, before its idle timeout.
    pub(super) fn endpoint_config(&self) -> EndpointConfig {
        let secret = digest::digest(&digest::SHA256, self.key.secret_der());
        let key = hmac::Key::new(hmac::HMAC_SHA256, secret.as_ref());
        EndpointConfig::new(Arc::new(key))
    }

    pub(super) fn server_config(&self) -> Result<ServerConfig> {
        let provider = Arc::new(provider::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.root_store()?),
            Arc::clone(&provider),
        )
        .build()?;
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(TLS_VERSIONS)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(config)?));
        config.transport_config(transport_config()?);
        Ok(config)
    }

    pub(super) fn client_config(&self) -> Result<ClientConfig> {
        let provider = Arc::new(provider::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(TLS_VERSIONS)?
            .with_root_certificates(self.root_store()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(config)?));
        config.transport_config(transport_config()?);
        Ok(config)
    }

    fn root_store(&self) -> Result<RootCertStore> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(roots)
    }
}

fn transport_config() -> Result<Arc<TransportConfig>> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::try_from(MESH_IDLE_TIMEOUT)?));
    transport.initial_rtt(INITIAL_RTT);
    Ok(Arc::new(transport))
}

/// Verifies that a peer's certificate is valid for the VM id that it claims.
///
/// # Errors
/// Fails if it is not, or if the peer has no readable certificate.
pub(super) fn verify_peer_id(connection: &Connection, vm: &str) -> Result<()> {
    let identity = connection
        .peer_identity()
        .ok_or_else(|| anyhow!("the peer has no certificate"))?;
    let chain = identity
        .downcast::<Vec<CertificateDer<'static>>>()
        .map_err(|_other| anyhow!("the peer's identity is not a certificate chain"))?;
    let end_entity = chain
        .first()
        .ok_or_else(|| anyhow!("the peer's certificate chain is empty"))?;
    let certificate = webpki::EndEntityCert::try_from(end_entity)
        .map_err(|error| anyhow!("cannot parse the peer's certificate: {error}"))?;
    let server_name = ServerName::try_from(vm)?;
    certificate
        .verify_is_valid_for_subject_name(&server_name)
        .map_err(|error| anyhow!("the peer's certificate is not valid for {vm}: {error}"))
}
