use jaylock_rpc::v1::Target;

/// Picks a service by the weights of the targets, for a random `fraction` between 0 and 1.
pub fn pick_service(targets: &[Target], fraction: f64) -> Option<&str> {
    let total: u64 = targets.iter().map(|t| u64::from(t.weight)).sum();
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let mut offset = (fraction * total as f64) as u64;
    let weighted = targets.iter().filter(|t| t.weight > 0);
    for target in weighted {
        match offset.checked_sub(target.weight.into()) {
            Some(rest) => offset = rest,
            None => return Some(&target.service),
        }
    }
    None
}
