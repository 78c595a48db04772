//! Sample of the servers of a service, for figures that need not look at every server.

/// Evenly spaced servers among those that offer a service.
#[derive(Debug, Clone, Copy)]
pub struct ServerSample<'a> {
    offering: &'a [usize],
    /// Number of servers that each server of the sample stands for.
    pub stride: usize,
}

impl<'a> ServerSample<'a> {
    /// Sample of at most `size` of the servers with the indexes `offering`.
    pub(super) fn new(offering: &'a [usize], size: usize) -> Self {
        let stride = offering.len().div_ceil(size.max(1)).max(1);
        Self { offering, stride }
    }

    /// Indexes of the servers of the sample.
    pub fn indexes(self) -> impl Iterator<Item = usize> + 'a {
        self.offering.iter().step_by(self.stride).copied()
    }
}
