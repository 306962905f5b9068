//! Certificate authority and key files for tests.

use std::fs;
use std::path::Path;

use merlinrudder_node::options::settings::TlsSettings;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// Certificate authority that signs certificates of VMs.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    pub fn new() -> Self {
        let key = KeyPair::generate().expect("a key pair");
        let mut params = CertificateParams::new(Vec::new()).expect("valid certificate parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params
            .self_signed(&key)
            .expect("a signed certificate")
            .pem();
        Self {
            issuer: Issuer::new(params, key),
            pem,
        }
    }

    /// Writes the key files of `vm`.
    ///
    /// This authority signs the certificate; the VM itself trusts peers signed by `trusted`.
    pub fn write(&self, folder: &Path, vm: &str, trusted: &Self) -> TlsSettings {
        let key = KeyPair::generate().expect("a key pair");
        let params =
            CertificateParams::new(vec![vm.to_owned()]).expect("valid certificate parameters");
        let certificate = params
            .signed_by(&key, &self.issuer)
            .expect("a signed certificate");
        let settings = TlsSettings {
            authority: folder.join(format!("{vm}-authority.pem")),
            certificate: folder.join(format!("{vm}.pem")),
            key: folder.join(format!("{vm}.key")),
        };
        fs::write(&settings.authority, &trusted.pem).expect("the file is written");
        fs::write(&settings.certificate, certificate.pem()).expect("the file is written");
        fs::write(&settings.key, key.serialize_pem()).expect("the file is written");
        settings
    }
}
