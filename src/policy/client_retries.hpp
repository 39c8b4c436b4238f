/// \file
/// Recognises requests that are clients' own retries, so that their latency objective counts from the
/// client's first attempt.
#pragma once

#include "marblewood/events.hpp"
#include "marblewood/settings.hpp"

#include <map>
#include <tuple>

namespace marblewood::policy {

/// Remembers the requests that ended unserved on this host. A client sends its retry to the same host, so a
/// retry is recognised by a request that ended here before, or by the mark that the client sets. A short time
/// left alone does not show a retry, because some clients send first attempts with little time.
class ClientRetries {
public:
    explicit ClientRetries(const Settings &settings)
        : period_(settings.period), max_records_(settings.max_entries_by_name) {}

    /// Records a request that has ended without being served.
    void record_unserved(const RequestArrived &request, Micros objective_deadline);

    /// The objective deadline of a request that arrives now. If the request is recognised as the retry of a
    /// recorded request, that record is dropped.
    Micros objective_deadline(const RequestArrived &request, const ClassSettings &request_class, Micros now);

    /// Drops records that are too old for a client to retry the request.
    void forget_old(Micros now);

    std::size_t size() const { return unserved_.size(); }

private:
    // The attributes by which a retry is matched with the request that it repeats.
    struct RetryKey {
        VolumeId volume{};
        DataKey key{};
        int request_class = 0;
        bool operator<(const RetryKey &other) const {
            return std::tie(volume, key, request_class) <
                   std::tie(other.volume, other.key, other.request_class);
        }
    };
    static RetryKey retry_key(const RequestArrived &request) {
        return {request.volume, *request.key, request.cls};
    }

    static constexpr Micros kRetentionAfterObjective = 10'000'000;

    Micros period_;
    std::size_t max_records_;
    std::map<RetryKey, Micros> unserved_; // objective deadline of each
};

} // namespace marblewood::policy
