//! The canonical JSON text of a value.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;

use super::spec_wire::ApiKeyWire;
use super::spec_wire::ClientAccountWire;
use super::spec_wire::EndpointWire;
use super::spec_wire::PlacementRuleWire;
use super::spec_wire::RegionWire;
use super::spec_wire::RouteWire;
use super::spec_wire::VmWire;
use super::FieldError;
use super::ObjectId;
use super::ObjectKind;
use crate::catalog::KeyDigest;
use crate::catalog::LinkSpec;
use crate::catalog::Name;
use crate::catalog::ObjectSpec;
use crate::catalog::RegionSpec;

/// The canonical JSON text of a value: equal values have equal texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecText(Bytes);

impl SpecText {
    /// Renders a validated value.
    pub fn of(spec: &ObjectSpec) -> Self {
        match spec {
            ObjectSpec::Region(spec) => render(&RegionWire::from(spec)),
            ObjectSpec::Vm(spec) => render(&VmWire::from(spec)),
            ObjectSpec::ClientAccount(spec) => render(&ClientAccountWire::from(spec)),
            ObjectSpec::ApiKey(spec) => render(&ApiKeyWire::from(spec)),
            ObjectSpec::Route(spec) => render(&RouteWire::from(spec)),
            ObjectSpec::Endpoint(spec) => render(&EndpointWire::from(spec)),
            ObjectSpec::PlacementRule(spec) => render(&PlacementRuleWire::from(spec)),
        }
    }

    /// Parses and validates the value of the object `id`.
    ///
    /// # Errors
    ///
    /// Returns the invalid field.
    pub fn parse(id: &ObjectId, value: &Value) -> Result<ObjectSpec, FieldError> {
        Self::check_name(id)?;
        match id.kind {
            ObjectKind::Region => {
                let spec = read::<RegionWire, RegionSpec>(value)?;
                check_links(&id.name, &spec.links)?;
                Ok(ObjectSpec::Region(spec))
            }
            ObjectKind::Vm => Ok(ObjectSpec::Vm(read::<VmWire, _>(value)?)),
            ObjectKind::ClientAccount => Ok(ObjectSpec::ClientAccount(
                read::<ClientAccountWire, _>(value)?,
            )),
            ObjectKind::ApiKey => Ok(ObjectSpec::ApiKey(read::<ApiKeyWire, _>(value)?)),
            ObjectKind::Route => Ok(ObjectSpec::Route(read::<RouteWire, _>(value)?)),
            ObjectKind::Endpoint => Ok(ObjectSpec::Endpoint(read::<EndpointWire, _>(value)?)),
            ObjectKind::PlacementRule => Ok(ObjectSpec::PlacementRule(
                read::<PlacementRuleWire, _>(value)?,
            )),
        }
    }

    /// Checks the name of an object; for an API key it has to be a lower-case SHA-256 digest.
    ///
    /// # Errors
    ///
    /// Returns an error for the field `name`.
    pub fn check_name(id: &ObjectId) -> Result<(), FieldError> {
        if id.kind != ObjectKind::ApiKey {
            return Ok(());
        }
        let text = id.name.as_str();
        let is_canonical = KeyDigest::from_hex(text).is_ok_and(|digest| digest.to_hex() == text);
        if !is_canonical {
            let problem = "expected the SHA-256 of the key in 64 lower-case hexadecimal digits";
            return Err(FieldError::new("name", problem));
        }
        Ok(())
    }

    /// Returns the text in UTF-8.
    pub fn into_bytes(self) -> Bytes {
        self.0
    }
}

fn render(wire: &impl Serialize) -> SpecText {
    let text = serde_json::to_vec(wire).expect("a wire type has string keys only");
    SpecText(Bytes::from(text))
}

fn read<W, S>(value: &Value) -> Result<S, FieldError>
where
    W: DeserializeOwned,
    S: TryFrom<W, Error = FieldError>,
{
    let wire: W = serde_path_to_error::deserialize(value)?;
    S::try_from(wire)
}

fn check_links(region: &Name, links: &[LinkSpec]) -> Result<(), FieldError> {
    if links.iter().any(|link| link.to == *region) {
        let problem = format!("expected links to other regions, got one to \"{region}\" itself");
        return Err(FieldError::new("links", problem));
    }
    Ok(())
}
