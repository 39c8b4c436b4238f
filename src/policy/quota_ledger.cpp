#include "policy/quota_ledger.hpp"

#include "policy/newest_entries.hpp"

#include <algorithm>
#include <utility>

namespace marblewood::policy {
namespace {

constexpr double kUsageTimeConstantMicros = 2e6;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kUsageSeconds = kUsageTimeConstantMicros / kMicrosPerSecond;
constexpr Micros kIdleAfter = 60'000'000; // accounts are dropped after this time without use
// The rate limit is logged again only after this time without a request held back.
constexpr Micros kLogQuietTime = 10'000'000;

} // namespace

// Nodes do not report their capacity. Plans are sized to use about half of it, so the sum of their rates
// stands for the other half, which is divided between the plans by weight.
double QuotaLedger::share_rate(const PlanSettings &plan) const {
    double rates = 0;
    double weights = 0;
    for (const PlanSettings &each : settings_.plans) {
        rates += each.rate;
        weights += each.weight;
    }
    return weights > 0 ? plan.weight * rates / weights : 0;
}

QuotaLedger::Volume &QuotaLedger::update(const RequestArrived &request, Micros now) {
    const PlanSettings &plan = settings_.plans[request.plan];
    const double host_part = 1.0 / std::max(1, request.hosts);
    const auto [it, is_new] = volumes_.try_emplace(request.volume);
    Volume &volume = it->second;
    std::optional<HandoverState::VolumeQuota> inherited;
    if (auto node = inherited_quotas_.extract(request.volume))
        inherited = node.mapped();
    if (is_new)
        forget_surplus();
    if (is_new || inherited)
        open_account(volume, plan, host_part, is_new, inherited, now);
    refill(volume, plan, host_part, now);
    volume.rate_limit.frozen = lifetime_.draining();
    if (plan.limit > 0)
        loans_.refill(volume.rate_limit, plan.limit, plan.limit_burst, request.hosts, now);
    return volume;
}

// Accounts begin with an empty rate limit, so that an account that is dropped and opened anew allows no more
// than before.
void QuotaLedger::forget_surplus() {
    const auto rank = [](const Volume &volume) { return std::pair(volume.served_any, volume.updated_at); };
    const auto is_unused = [](const Volume &volume) {
        return volume.requests == 0 && volume.updated_at != 0 && volume.rate_limit.lent.empty() &&
               volume.rate_limit.borrowed.empty();
    };
    keep_newest(volumes_, settings_.max_entries_by_name, rank, is_unused);
}

void QuotaLedger::open_account(Volume &volume, const PlanSettings &plan, double host_part, bool is_new,
                               const std::optional<HandoverState::VolumeQuota> &inherited, Micros now) {
    volume.updated_at = now;
    if (is_new) {
        volume.reserve_left = (plan.reserve + settings_.max_request_units) * host_part;
        volume.share_left = share_rate(plan) * host_part;
    }
    if (inherited) {
        volume.reserve_left = inherited->reserve.value_or(volume.reserve_left);
        loans_.restore(volume.rate_limit, inherited->units, inherited->lent, now);
    }
}

void QuotaLedger::refill(Volume &volume, const PlanSettings &plan, double host_part, Micros now) const {
    const double seconds = static_cast<double>(now - volume.updated_at) / kMicrosPerSecond;
    const double keep = decay(volume.updated_at, now, kUsageTimeConstantMicros);
    volume.used_here *= keep;
    volume.used_elsewhere *= keep;
    volume.updated_at = now;
    const double rate_here = volume.used_here / kUsageSeconds;
    const double rate_elsewhere = volume.used_elsewhere / kUsageSeconds;
    const bool usage_known = volume.usage_reported && rate_here + rate_elsewhere > 0;
    const double fraction_here = usage_known ? rate_here / (rate_here + rate_elsewhere) : host_part;
    const double reserve_rate = volume.usage_reported
                                    ? std::max(plan.reserve * fraction_here, plan.reserve - rate_elsewhere)
                                    : plan.reserve * host_part;
    const double max_units = settings_.max_request_units; // a request of any size must fit in the bucket
    const double share = share_rate(plan);
    volume.reserve_left = std::min(volume.reserve_left + reserve_rate * seconds, reserve_rate + max_units);
    volume.share_left =
        std::min(volume.share_left + share * fraction_here * seconds, share * fraction_here + max_units);
}

double QuotaLedger::add_request(const RequestArrived &request, Micros now) {
    Volume &volume = update(request, now);
    ++volume.requests;
    if (volume.reserve_left >= request.units) {
        volume.reserve_left -= request.units;
        return 1;
    }
    if (volume.share_left >= request.units) {
        volume.share_left -= request.units;
        return settings_.share_priority_factor;
    }
    return settings_.surplus_priority_factor;
}

void QuotaLedger::charge(Request &request, Micros now) {
    if (!request.charged && request.has_rate_limit())
        loans_.spend(update(request.arrival, now).rate_limit, request.arrival.units, now);
    request.charged = true;
    volumes_.at(request.arrival.volume).served_any = true;
}

void QuotaLedger::record_outcome(const Request &request, const AttemptEnded &outcome, Micros now) {
    Volume &volume = update(request.arrival, now);
    const bool served = outcome.status == Status::Ok;
    if (served)
        volume.used_here += request.arrival.units;
    if (settings_.reports_remote_units && served) {
        volume.usage_reported = true;
        volume.used_elsewhere += outcome.remote_units;
    }
    if (outcome.used > 0) { // see AttemptEnded::used
        const double used =
            (outcome.used - 1) / 100.0 * request.plan->rate * kUsageTimeConstantMicros / kMicrosPerSecond;
        volume.usage_reported = true;
        volume.used_elsewhere = std::max(0.0, used - volume.used_here);
    }
}

bool QuotaLedger::should_log_limit(Micros now) {
    const bool quiet_before = now - limit_reached_at_ > kLogQuietTime;
    limit_reached_at_ = now;
    return quiet_before;
}

std::vector<SendPeerMessage> QuotaLedger::request_loans(const ReservedUnits &reserved, Micros now) {
    std::vector<SendPeerMessage> messages;
    for (const VolumeId id : shortages_)
        if (auto message = loans_.request_units(volumes_.at(id).rate_limit, id, reserved(id), now))
            messages.push_back(std::move(*message));
    shortages_.clear();
    return messages;
}

QuotaLedger::MessageResult QuotaLedger::on_peer_message(const PeerMessage &message, Micros now) {
    const auto rate_limit_of = [this](VolumeId id) {
        const auto it = volumes_.find(id);
        return it == volumes_.end() ? nullptr : &it->second.rate_limit;
    };
    auto outcome = loans_.handle(message, rate_limit_of, now);
    return {std::move(outcome.reply), outcome.replenished};
}

std::vector<HandoverState::VolumeQuota>
QuotaLedger::capture(std::optional<VolumeId> only, const ReservedUnits &reserved, Micros now) const {
    std::vector<HandoverState::VolumeQuota> quotas;
    for (const auto &[id, volume] : volumes_) {
        const bool wanted = only ? id == *only : volume.rate_limit.rate > 0;
        if (!wanted)
            continue;
        const double units = std::max(0.0, loans_.own_units(volume.rate_limit, now) - reserved(id));
        quotas.push_back({id, units, volume.reserve_left, loans_.lent_units(volume.rate_limit, now)});
    }
    return quotas;
}

std::optional<HandoverState::VolumeQuota> QuotaLedger::inherited_quota(VolumeId volume) const {
    const auto it = inherited_quotas_.find(volume);
    return it == inherited_quotas_.end() ? std::nullopt : std::optional(it->second);
}

void QuotaLedger::freeze(bool frozen, const ReservedUnits &reserved, Micros now) {
    for (auto &[id, volume] : volumes_) {
        loans_.set_frozen(volume.rate_limit, frozen, reserved(id), now);
        if (!frozen) // the units that accrued in the meantime belonged to the successor
            volume.updated_at = now;
    }
}

void QuotaLedger::forget_idle(Micros now) {
    std::erase_if(volumes_, [&](const auto &entry) {
        return !entry.second.requests && now - entry.second.updated_at > kIdleAfter;
    });
}

} // namespace marblewood::policy
