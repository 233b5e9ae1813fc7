use compact_str::CompactString;
use jaylock_rpc::v1::{Ask, Grant};

/// Hexadecimal digits of a request id that is a number of 16 bytes.
const REQUEST_ID_DIGITS: usize = 32;
/// Names that one stream may number.
const MAX_NAMES: u32 = 4096;
/// Longest name that gets a number, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Encodes a request id as bytes if it is a hexadecimal number.
pub fn encode_request_id(ask: &mut Ask) {
    let id = &ask.request;
    let is_number = id.len() == REQUEST_ID_DIGITS && !id.bytes().any(|b| b.is_ascii_uppercase());
    if let (true, Ok(number)) = (is_number, u128::from_str_radix(id, 16)) {
        ask.request_number = number.to_be_bytes().to_vec();
        ask.request.clear();
    }
}

/// The request id, as the router knows it.
pub fn request_id(ask: &Ask) -> String {
    match <[u8; 16]>::try_from(ask.request_number.as_slice()) {
        Ok(bytes) => format!("{:032x}", u128::from_be_bytes(bytes)),
        Err(_) => ask.request.clone(),
    }
}

/// Addresses, software versions and failure domains of backend servers that earlier grants of the stream contained.
#[derive(Debug, Default)]
pub struct AddressTable {
    // Sorted by name.
    list: Vec<KnownBackend>,
}

#[derive(Debug)]
struct KnownBackend {
    name: String,
    address: String,
    software: String,
    domain: String,
}

impl AddressTable {
    /// Fills in what the grant omits, or records what is new.
    pub fn restore(&mut self, grant: &mut Grant) {
        match self.search(&grant.backend) {
            Ok(index) if grant.address.is_empty() => {
                let known = &self.list[index];
                grant.address.clone_from(&known.address);
                grant.software.clone_from(&known.software);
                grant.domain.clone_from(&known.domain);
            }
            Ok(index) => self.list[index] = KnownBackend::from_grant(grant),
            Err(index) => self.list.insert(index, KnownBackend::from_grant(grant)),
        }
    }

    /// Omits what the receiver knows already.
    pub fn omit_known(&mut self, grant: &mut Grant) {
        match self.search(&grant.backend) {
            Ok(index) if self.list[index].matches(grant) => {
                grant.address.clear();
                grant.software.clear();
                grant.domain.clear();
            }
            Ok(index) => self.list[index] = KnownBackend::from_grant(grant),
            Err(index) => self.list.insert(index, KnownBackend::from_grant(grant)),
        }
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.list
            .binary_search_by(|known| known.name.as_str().cmp(name))
    }
}

impl KnownBackend {
    fn from_grant(grant: &Grant) -> Self {
        Self {
            name: grant.backend.clone(),
            address: grant.address.clone(),
            software: grant.software.clone(),
            domain: grant.domain.clone(),
        }
    }

    fn matches(&self, grant: &Grant) -> bool {
        let known = (&self.address, &self.software, &self.domain);
        known == (&grant.address, &grant.software, &grant.domain)
    }
}

/// Numbers that replace names in a stream's requests, on the sender's side.
#[derive(Debug, Default)]
pub struct NameTable {
    // Sorted by name.
    list: Vec<(CompactString, u32)>,
    // Names that the next frame must define.
    new_names: Vec<String>,
}

impl NameTable {
    /// Replaces the names in an ask by numbers.
    pub fn encode(&mut self, ask: &mut Ask) {
        ask.organisation_number = self.number(&mut ask.organisation);
        ask.model_number = self.number(&mut ask.model);
    }

    /// Takes the names that the receiver does not know yet.
    pub fn take_new(&mut self) -> Vec<String> {
        std::mem::take(&mut self.new_names)
    }

    /// Returns the number of a name and clears the name.
    ///
    /// Returns 0 and leaves the name as it is if the name is empty or too long, or the table is full.
    fn number(&mut self, name: &mut String) -> u32 {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return 0;
        }
        let search = self
            .list
            .binary_search_by(|(known, _)| known.as_str().cmp(name));
        let number = match search {
            Ok(index) => self.list[index].1,
            Err(index) => {
                let count = u32::try_from(self.list.len()).unwrap_or(u32::MAX);
                if count >= MAX_NAMES {
                    return 0;
                }
                self.list.insert(index, (name.as_str().into(), count + 1));
                self.new_names.push(name.clone());
                count + 1
            }
        };
        name.clear();
        number
    }
}

/// Replaces the numbers in an ask by their names; returns false if a number is unknown.
pub fn decode_names(ask: &mut Ask, names: &[String]) -> bool {
    let numbers = [ask.organisation_number, ask.model_number];
    let texts = [&mut ask.organisation, &mut ask.model];
    for (number, text) in numbers.into_iter().zip(texts) {
        let Some(index) = (number as usize).checked_sub(1) else {
            continue;
        };
        let Some(name) = names.get(index) else {
            return false;
        };
        text.clone_from(name);
    }
    true
}
