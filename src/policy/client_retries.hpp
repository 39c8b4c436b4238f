/// \file
/// Recognises clients' own retries, so that a retry's latency objective counts from the first attempt.
#pragma once

#include "marblewood/events.hpp"
#include "marblewood/settings.hpp"

#include <map>
#include <tuple>

namespace marblewood::policy {

/// Remembers requests that ended unserved here. A client's retry reaches the same host; it is known by what
/// ended here before, or by its mark. Little time left alone says nothing: some clients come with little.
class ClientRetries {
public:
    explicit ClientRetries(const Settings &settings) : period_(settings.period) {}

    /// A request has ended without being served.
    void record_unserved(const RequestArrived &request, Micros objective_deadline);

    /// The time until which the latency objective of an arriving request holds. A retry that is recognised
    /// uses up what was remembered.
    Micros objective_deadline(const RequestArrived &request, const ClassSettings &request_class, Micros now);

    /// Drops what is too old for a client to retry.
    void forget_old(Micros now);

private:
    struct Likeness { // what a retry has in common with the request before
        VolumeId volume{};
        DataKey key{};
        int request_class = 0;
        bool operator<(const Likeness &other) const {
            return std::tie(volume, key, request_class) <
                   std::tie(other.volume, other.key, other.request_class);
        }
    };
    static Likeness likeness(const RequestArrived &request) {
        return {request.volume, *request.key, request.cls};
    }

    static constexpr Micros kRememberFor = 10'000'000; // us after the objective deadline

    Micros period_;
    std::map<Likeness, Micros> unserved_; // objective deadlines
};

} // namespace marblewood::policy
