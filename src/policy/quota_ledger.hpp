/// \file
/// What each volume may still use: its reserve, its share, and its plan's rate limit.
#pragma once

#include "overload/quota_lending.hpp"
#include "policy/process_lifetime.hpp"
#include "policy/request.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marblewood::policy {

/// Accounts for volumes' units on this host.
///
/// Rules. A plan's reserve and its share of what the nodes can do are units/s of a volume over all hosts;
/// this host's part of them follows from its part of the volume's use, where nodes report that, else from the
/// number of hosts. Each fills a bucket; a request is taken from the first bucket that holds enough, which
/// decides its priority. A plan's rate limit is a hard bound; units of it may be borrowed from other hosts.
class QuotaLedger {
public:
    /// Sums the units that requests held here may still be charged for a volume.
    using ReservedUnits = std::function<double(VolumeId)>;

    /// `settings` and `lifetime` must outlive the ledger.
    QuotaLedger(const Settings &settings, const ProcessLifetime &lifetime)
        : settings_(settings), lifetime_(lifetime), loans_(settings) {}

    /// Accounts for a request that has arrived; release() has to follow once it is erased. Returns the factor
    /// on its priority weight: 1 within the reserve, less within the share, least beyond.
    double add_request(const RequestArrived &request, Micros now);
    void release(VolumeId volume) { --volumes_.at(volume).requests; }

    /// Tells other hosts, now and then, that requests of the volume come through this one.
    std::optional<SendPeerMessage> announce_demand(const RequestArrived &request, Micros now) {
        return loans_.record_demand(volumes_.at(request.volume).rate_limit, request.volume, request.units,
                                    now);
    }

    /// Whether the rate limit allows the request now and leaves `spare` units.
    bool allows(const Request &request, Micros now, double spare = 0) const {
        return request.charged || !request.has_rate_limit() ||
               loans_.available(volumes_.at(request.arrival.volume).rate_limit, now) >=
                   request.arrival.units + spare;
    }

    /// Charges the rate limit for a request, which it allows, on its first attempt.
    void charge(Request &request, Micros now);

    /// Learns the volume's use from the end of an attempt.
    void record_outcome(const Request &request, const AttemptEnded &outcome, Micros now);

    /// Whether a rate limit that holds a request back is to be logged: at first, and after a quiet time.
    bool should_log_limit(Micros now);

    /// A rate limit holds a request of the volume back: other hosts may have units to lend.
    void record_shortage(VolumeId volume) { shortages_.insert(volume); }
    bool in_shortage() const { return !shortages_.empty(); }
    /// For the volumes in shortage since the last call, messages that ask other hosts for units.
    std::vector<SendPeerMessage> request_loans(const ReservedUnits &reserved, Micros now);

    static bool handles_message(const std::string &data) { return overload::QuotaLending::recognizes(data); }
    struct MessageResult {
        std::optional<SendPeerMessage> answer;
        std::optional<VolumeId> replenished; ///< the volume that has more to spend now
    };
    MessageResult on_peer_message(const PeerMessage &message, Micros now);

    /// The quotas for a successor: of one volume, or of all with a rate limit. What requests held here may
    /// still be charged is kept back.
    std::vector<HandoverState::VolumeQuota> capture(std::optional<VolumeId> only,
                                                    const ReservedUnits &reserved, Micros now) const;
    /// What a predecessor left for a volume that has had no request here yet.
    std::optional<HandoverState::VolumeQuota> unclaimed(VolumeId volume) const;
    void restore(const HandoverState::VolumeQuota &quota) { unclaimed_[quota.volume] = quota; }
    /// The process begins, or ends, to drain for a successor.
    void freeze(bool frozen, const ReservedUnits &reserved, Micros now);

    /// Drops the accounts of volumes that have not been used for a while.
    void forget_idle(Micros now);

    std::size_t size() const { return volumes_.size(); }
    const QuotaLoanMetrics &metrics() const { return loans_.metrics(); }

private:
    struct Volume {
        double used_here = 0;      // units, decayed over kUsageTime
        double used_elsewhere = 0; // units, decayed over kUsageTime
        bool usage_reported = false;
        int requests = 0;        // held
        double reserve_left = 0; // units
        double share_left = 0;   // units
        Micros updated_at = 0;
        overload::QuotaAccount rate_limit;
    };

    Volume &update(const RequestArrived &request, Micros now);
    void open_account(Volume &volume, const PlanSettings &plan, double host_part, bool is_new,
                      const std::optional<HandoverState::VolumeQuota> &inherited, Micros now);
    void refill(Volume &volume, const PlanSettings &plan, double host_part, Micros now) const;
    double share_rate(const PlanSettings &plan) const;

    const Settings &settings_;
    const ProcessLifetime &lifetime_;
    overload::QuotaLending loans_;
    std::map<VolumeId, Volume> volumes_;
    std::map<VolumeId, HandoverState::VolumeQuota> unclaimed_; // left by a predecessor
    std::set<VolumeId> shortages_;
    Micros limit_reached_at_ = kLongAgo;
};

} // namespace marblewood::policy
