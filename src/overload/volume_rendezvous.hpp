/// \file
/// Lets hosts that serve the same volume find each other: each registers periodically at the volume's
/// rendezvous host, which answers with the others. A broadcast would need one datagram for each host instead.
#pragma once

#include "marblewood/types.hpp"

#include <map>
#include <vector>

namespace marblewood::overload {

/// A host from which nothing was received for this time no longer counts as serving the volume.
inline constexpr Micros kPeerTimeout = 20'000'000;

/// The index of the host at which the volume's hosts register. Every host computes the same index.
int rendezvous_host(VolumeId volume, int hosts);

/// The registrations at one rendezvous host. Not thread-safe.
class VolumeRendezvous {
public:
    /// Registers `host` and returns the others that are registered for the volume, in ascending order.
    std::vector<int> register_host(VolumeId volume, int host, Micros now);

private:
    using LastRegistrations = std::map<int, Micros>; // by host index

    void expire(Micros now);

    std::map<VolumeId, LastRegistrations> volumes_;
};

} // namespace marblewood::overload
