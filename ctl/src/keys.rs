//! Certificates for mutual TLS between VMs: one certificate authority, one certificate per VM.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

const AUTHORITY_CERTIFICATE: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";

/// Returns the certificate path of the authority in `folder`, creating it if missing.
///
/// # Errors
/// Fails if a file cannot be written.
pub fn ensure_authority(folder: &Path) -> Result<PathBuf> {
    let path = folder.join(AUTHORITY_CERTIFICATE);
    if path.exists() {
        return Ok(path);
    }
    fs::create_dir_all(folder)?;
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(Vec::new())?;
    params
        .distinguished_name
        .push(DnType::CommonName, "merlinrudder authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let certificate = params.self_signed(&key)?;
    write_secret(&folder.join(AUTHORITY_KEY), &key.serialize_pem())?;
    fs::write(&path, certificate.pem())?;
    Ok(path)
}

/// Creates `{vm}.pem` and `{vm}.key` in `folder`, signed by the authority there.
///
/// The certificate has `vm` as its DNS name and is valid for servers and clients.
///
/// # Errors
/// Fails if `folder` holds no authority or already a certificate of the VM, or if writing fails.
pub fn create_vm_certificate(folder: &Path, vm: &str) -> Result<()> {
    let path = folder.join(format!("{vm}.pem"));
    if path.exists() {
        bail!(
            "{} already exists; remove it before creating a new certificate",
            path.display()
        );
    }
    let issuer = read_issuer(folder)?;
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![vm.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, vm);
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params.signed_by(&key, &issuer)?;
    write_secret(&folder.join(format!("{vm}.key")), &key.serialize_pem())?;
    fs::write(&path, certificate.pem())?;
    Ok(())
}

fn read_issuer(folder: &Path) -> Result<Issuer<'static, KeyPair>> {
    let read_file = |name: &str| {
        let path = folder.join(name);
        fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))
    };
    let key = KeyPair::from_pem(&read_file(AUTHORITY_KEY)?)?;
    Ok(Issuer::from_ca_cert_pem(
        &read_file(AUTHORITY_CERTIFICATE)?,
        key,
    )?)
}

/// Creates a file with mode 0600; fails if it exists.
fn write_secret(path: &Path, text: &str) -> Result<()> {
    let opened = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path);
    let mut file = opened.with_context(|| format!("cannot create {}", path.display()))?;
    file.write_all(text.as_bytes())?;
    Ok(())
}
