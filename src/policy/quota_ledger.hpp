/// \file
/// The quotas of each volume: its reserve, its share of the capacity, and its plan's rate limit.
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

/// Accounts for the units that volumes use through this host.
///
/// Rules. The reserve of a plan, and its share of the nodes' capacity, are rates in units/s that a volume may
/// use through all hosts together. If nodes report the volume's use, this host's part of the rates is its
/// part of that use; otherwise the rates are divided by the number of hosts. Reserve and share each refill a
/// token bucket. A request is charged to the first of the two with enough units, which determines its
/// priority; a request charged to neither is surplus. The rate limit of a plan is a hard bound, and hosts may
/// borrow units of it.
class QuotaLedger {
public:
    /// Returns the units that the requests held by this host may still be charged for a volume.
    using ReservedUnits = std::function<double(VolumeId)>;

    /// `settings` and `lifetime` must outlive the ledger.
    QuotaLedger(const Settings &settings, const ProcessLifetime &lifetime)
        : settings_(settings), lifetime_(lifetime), loans_(settings) {}

    /// Charges a request that has arrived to the reserve or the share. release() must be called when the
    /// request is erased. Returns the factor on the priority weight: 1 within the reserve,
    /// Settings::share_priority_factor within the share, and Settings::surplus_priority_factor beyond it.
    double add_request(const RequestArrived &request, Micros now);
    void release(VolumeId volume) { --volumes_.at(volume).requests; }

    /// Returns a message that announces to other hosts that this host receives requests of the volume; empty
    /// if an announcement is not due.
    std::optional<SendPeerMessage> announce_demand(const RequestArrived &request, Micros now) {
        return loans_.record_demand(volumes_.at(request.volume).rate_limit, request.volume, request.units,
                                    now);
    }

    /// Whether the rate limit allows the request now with `spare` units left in the bucket afterwards.
    bool allows(const Request &request, Micros now, double spare = 0) const {
        return request.charged || !request.has_rate_limit() ||
               loans_.available(volumes_.at(request.arrival.volume).rate_limit, now) >=
                   request.arrival.units + spare;
    }

    /// Charges a request to the rate limit at its first attempt. allows() must hold for it.
    void charge(Request &request, Micros now);

    /// Updates the volume's use from an attempt that has ended.
    void record_outcome(const Request &request, const AttemptEnded &outcome, Micros now);

    /// Whether to log that a rate limit holds a request back: the first time, and again after a time without
    /// requests held back.
    bool should_log_limit(Micros now);

    /// Records that a rate limit holds a request of the volume back, so that units are borrowed from other
    /// hosts.
    void record_shortage(VolumeId volume) { shortages_.insert(volume); }
    bool in_shortage() const { return !shortages_.empty(); }
    /// Messages that request units from other hosts, for the volumes recorded by record_shortage() since the
    /// last call.
    std::vector<SendPeerMessage> request_loans(const ReservedUnits &reserved, Micros now);

    static bool handles_message(const std::string &data) { return overload::QuotaLending::recognizes(data); }
    struct MessageResult {
        std::optional<SendPeerMessage> answer;
        std::optional<VolumeId> replenished; ///< the volume for which more units are available now
    };
    MessageResult on_peer_message(const PeerMessage &message, Micros now);

    /// The quotas to hand over to a successor process: of one volume, or of all volumes with a rate limit.
    /// The units that requests held by this process may still be charged are not handed over.
    std::vector<HandoverState::VolumeQuota> capture(std::optional<VolumeId> only,
                                                    const ReservedUnits &reserved, Micros now) const;
    /// The quota handed over by a predecessor for a volume of which this process has not yet had a request.
    std::optional<HandoverState::VolumeQuota> inherited_quota(VolumeId volume) const;
    /// Stores a quota handed over by a predecessor. It takes effect at the first request of the volume.
    void restore(const HandoverState::VolumeQuota &quota) { inherited_quotas_[quota.volume] = quota; }
    /// Stops, or with `frozen` false resumes, the refilling of the buckets when this process begins or stops
    /// to drain for a successor.
    void freeze(bool frozen, const ReservedUnits &reserved, Micros now);

    /// Drops the accounts of volumes that have not been used for some time.
    void forget_idle(Micros now);

    std::size_t size() const { return volumes_.size(); }
    const QuotaLoanMetrics &metrics() const { return loans_.metrics(); }

private:
    struct Volume {
        double used_here = 0;      // units, decayed over kUsageTimeConstantMicros
        double used_elsewhere = 0; // units, decayed over kUsageTimeConstantMicros
        bool usage_reported = false;
        int requests = 0;        // held by this host
        double reserve_left = 0; // units
        double share_left = 0;   // units
        bool served_any = false; // an attempt for the volume was made
        Micros updated_at = 0;
        overload::QuotaAccount rate_limit;
    };

    Volume &update(const RequestArrived &request, Micros now);
    void forget_surplus();
    void open_account(Volume &volume, const PlanSettings &plan, double host_part, bool is_new,
                      const std::optional<HandoverState::VolumeQuota> &inherited, Micros now);
    void refill(Volume &volume, const PlanSettings &plan, double host_part, Micros now) const;
    double share_rate(const PlanSettings &plan) const;

    const Settings &settings_;
    const ProcessLifetime &lifetime_;
    overload::QuotaLending loans_;
    std::map<VolumeId, Volume> volumes_;
    std::map<VolumeId, HandoverState::VolumeQuota> inherited_quotas_; // by a predecessor, not yet applied
    std::set<VolumeId> shortages_;
    Micros limit_reached_at_ = kLongAgo;
};

} // namespace marblewood::policy
