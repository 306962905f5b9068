//! Key material of the mesh: one authority, one certificate a VM.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

const AUTHORITY: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";

/// Makes the authority in `folder` unless there is one, and returns its certificate's path.
///
/// # Errors
/// Fails where a file cannot be written.
pub fn make_authority(folder: &Path) -> Result<PathBuf> {
    let path = folder.join(AUTHORITY);
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

/// Makes a certificate and a private key for a VM, signed by the authority in `folder`.
///
/// # Errors
/// Fails where there is no authority, where the VM has a certificate, or where writing fails.
pub fn make_vm(folder: &Path, vm: &str) -> Result<()> {
    let path = folder.join(format!("{vm}.pem"));
    if path.exists() {
        bail!(
            "{} exists; remove it first to make a new certificate",
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
    let read = |name: &str| {
        let path = folder.join(name);
        fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))
    };
    let key = KeyPair::from_pem(&read(AUTHORITY_KEY)?)?;
    Ok(Issuer::from_ca_cert_pem(&read(AUTHORITY)?, key)?)
}

/// Writes a file that only its owner can read.
fn write_secret(path: &Path, text: &str) -> Result<()> {
    let opened = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path);
    let mut file = opened.with_context(|| format!("cannot make {}", path.display()))?;
    file.write_all(text.as_bytes())?;
    Ok(())
}
