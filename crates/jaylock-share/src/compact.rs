use jaylock_rpc::v1::{Ask, Grant};

/// Hexadecimal digits of a request's name that is a number of 16 bytes.
const DIGITS: usize = 32;

/// Shortens the name of a request for sending, where it is a number.
pub fn shorten(ask: &mut Ask) {
    let name = &ask.request;
    let is_number = name.len() == DIGITS && !name.bytes().any(|b| b.is_ascii_uppercase());
    if let (true, Ok(number)) = (is_number, u128::from_str_radix(name, 16)) {
        ask.request_number = number.to_be_bytes().to_vec();
        ask.request.clear();
    }
}

/// The name of a request, as its router knows it.
pub fn request_name(ask: &Ask) -> String {
    match <[u8; 16]>::try_from(ask.request_number.as_slice()) {
        Ok(bytes) => format!("{:032x}", u128::from_be_bytes(bytes)),
        Err(_) => ask.request.clone(),
    }
}

/// Addresses of backend servers as the grants of a stream have told them.
#[derive(Debug, Default)]
pub struct Addresses {
    // Sorted by name.
    list: Vec<(String, String)>,
}

impl Addresses {
    /// Fills in an address that the grant leaves out, or learns a new one.
    pub fn complete(&mut self, grant: &mut Grant) {
        let search = self
            .list
            .binary_search_by(|(name, _)| name.cmp(&grant.backend));
        match search {
            Ok(at) if grant.address.is_empty() => grant.address.clone_from(&self.list[at].1),
            Ok(at) => self.list[at].1.clone_from(&grant.address),
            Err(at) => self
                .list
                .insert(at, (grant.backend.clone(), grant.address.clone())),
        }
    }

    /// Leaves an address out where the other side knows it already.
    pub fn leave_out(&mut self, grant: &mut Grant) {
        let search = self
            .list
            .binary_search_by(|(name, _)| name.cmp(&grant.backend));
        match search {
            Ok(at) if self.list[at].1 == grant.address => grant.address.clear(),
            Ok(at) => self.list[at].1.clone_from(&grant.address),
            Err(at) => self
                .list
                .insert(at, (grant.backend.clone(), grant.address.clone())),
        }
    }
}
