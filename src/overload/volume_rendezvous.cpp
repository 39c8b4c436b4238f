#include "overload/volume_rendezvous.hpp"

#include <cstdint>

namespace marblewood::overload {

int rendezvous_host(VolumeId volume, int hosts) {
    constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15; // Fibonacci hashing
    constexpr int kDiscardedBits = 33;
    return static_cast<int>(static_cast<std::uint64_t>(volume) * kGoldenRatio >> kDiscardedBits) % hosts;
}

void VolumeRendezvous::expire(Micros now) {
    for (auto &[volume, registrations] : volumes_)
        std::erase_if(registrations, [now](const auto &entry) { return now - entry.second > kPeerTimeout; });
    std::erase_if(volumes_, [](const auto &entry) { return entry.second.empty(); });
}

std::vector<int> VolumeRendezvous::register_host(VolumeId volume, int host, Micros now) {
    expire(now);
    LastRegistrations &registrations = volumes_[volume];
    std::vector<int> others;
    for (const auto &[other, registered_at] : registrations)
        if (other != host)
            others.push_back(other);
    registrations[host] = now;
    return others;
}

} // namespace marblewood::overload
