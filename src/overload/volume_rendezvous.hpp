/// \file
/// How hosts that serve the same volume find each other: each registers now and then at the volume's
/// rendezvous host, which answers with the others. A broadcast would cost a datagram for each host instead.
#pragma once

#include "marblewood/types.hpp"

#include <map>
#include <vector>

namespace marblewood::overload {

/// A host that was not heard of for so long no longer counts as serving the volume.
inline constexpr Micros kPeerTimeout = 20'000'000;

/// The index of the host at which the volume's hosts register; the same at every host.
int rendezvous_host(VolumeId volume, int hosts);

/// The registrations at one rendezvous host. Threads: one owner.
class VolumeRendezvous {
public:
    /// Registers `host` and returns the others that are registered for the volume, in ascending order.
    std::vector<int> register_host(VolumeId volume, int host, Micros now);

private:
    using LastRegistrations = std::map<int, Micros>; // by index of the host

    void expire(Micros now);

    std::map<VolumeId, LastRegistrations> volumes_;
};

} // namespace marblewood::overload
