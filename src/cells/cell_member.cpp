#include "cells/cell_member.hpp"

namespace marblewood::cells {
namespace {

constexpr Micros kVolumeIdleTimeout = 10'000'000; // a volume without requests for this time is forgotten
constexpr double kRateSmoothing = 0.5;            // weight of the newest interval in the moving average
constexpr double kMicrosPerSecond = 1e6;

std::uint64_t number(VolumeId volume) {
    return static_cast<std::uint64_t>(volume);
}

} // namespace

CellMember::CellMember(std::string name, QuotaStore &quotas, Timing timing, Micros now)
    : name_(std::move(name)), quotas_(quotas), timing_(timing), started_at_(now) {}

void CellMember::restore(MemberState state) {
    map_ = std::move(state.map);
    map_confirmed_ = map_.has_value();
    highest_epoch_ = state.highest_epoch;
    records_ = std::move(state.records);
    active_migrations_ = std::move(state.active_migrations);
}

const MigrationRecord *CellMember::record(VolumeId volume) const {
    const auto found = records_.find(volume);
    return found == records_.end() ? nullptr : &found->second;
}

bool CellMember::fenced(VolumeId volume) const {
    const MigrationRecord *const found = record(volume);
    return found && (found->stage == MemberStage::Fenced || found->stage == MemberStage::Drained);
}

/// Whether the record's home cell takes precedence over the map, because the migration that set it is newer
/// than the map or was still active when the map was published.
bool CellMember::overrides_map(const MigrationRecord &record) const {
    return record.home_epoch > map_->epoch.number || active_migrations_.contains(record.home_epoch);
}

/// The volume's cell according to the map and the migrations that this broker took part in; null if unknown.
const Cell *CellMember::home_cell(VolumeId volume) const {
    if (!map_)
        return nullptr;
    const MigrationRecord *const found = record(volume);
    if (found && overrides_map(*found))
        return map_->cell(found->home_cell);
    return map_->home_cell(volume);
}

int CellMember::serving_brokers(VolumeId volume, const Cell &cell) const {
    return static_cast<int>(map_->brokers_of(volume, cell).size());
}

RoutingDecision CellMember::forward(const RoutingRequest &request, const std::string &broker) {
    if (request.hops >= kMaxHops)
        return {};
    return {RoutingDecision::Kind::Forward, broker, 1};
}

/// Routes a request whose idempotency key was used before a migration to the broker where the first attempt
/// may have run. Returns nothing if no migration affects the request.
std::optional<RoutingDecision> CellMember::route_repeat(Micros now, const RoutingRequest &request,
                                                        const Cell &home, const Cell &own) const {
    if (!request.idempotency_key)
        return std::nullopt;
    if (const auto remote = remote_keys_.find(request.volume); remote != remote_keys_.end()) {
        const auto key = remote->second.find(*request.idempotency_key);
        if (key != remote->second.end() && key->second.expires_at > now)
            return forward(request, key->second.broker);
    }
    const auto activity = volumes_.find(number(request.volume));
    if (&home == &own || activity == volumes_.end())
        return std::nullopt;
    const auto key = activity->second.keys.find(*request.idempotency_key);
    if (key == activity->second.keys.end() || key->second.expires_at <= now)
        return std::nullopt;
    if (request.limited && activity->second.retained_units < request.units)
        return RoutingDecision{};
    return RoutingDecision{RoutingDecision::Kind::Serve, {}, serving_brokers(request.volume, own)};
}

RoutingDecision CellMember::route(Micros now, const RoutingRequest &request) const {
    const Cell *const home = home_cell(request.volume);
    const Cell *const own = cell();
    if (!home || !own)
        return {};
    if (const auto repeat = route_repeat(now, request, *home, *own))
        return *repeat;
    if (fenced(request.volume))
        return {RoutingDecision::Kind::Wait, {}, 1};
    if (home == own && map_->serves(request.volume, *home, name_)) {
        if (ready_nodes_ == 0)
            return {}; // rejects at once: no node of the cell accepts requests
        return {RoutingDecision::Kind::Serve, {}, serving_brokers(request.volume, *home)};
    }
    const auto brokers = map_->brokers_of(request.volume, *home);
    if (brokers.empty())
        return {};
    return forward(request, brokers[next_broker_++ % brokers.size()]->name);
}

void CellMember::on_request_started(Micros now, const RoutingRequest &request) {
    VolumeActivity &activity = volumes_[number(request.volume)];
    ++activity.open_requests;
    activity.last_used = now;
    activity.reserve_rate = request.reserve_rate;
    activity.priority_weight = request.priority_weight;
    if (request.idempotency_key) {
        KeyState &key = activity.keys[*request.idempotency_key];
        key.expires_at = std::max(key.expires_at, request.deadline + timing_.key_retention);
        key.units = request.units;
        key.limited = request.limited;
        ++key.open_requests;
    }
    // If the volume has migrated away, this is a repeat of a key used here. It is charged to the units that
    // were retained for such repeats.
    if (request.limited && home_cell(request.volume) != cell()) {
        activity.retained_units = std::max(0.0, activity.retained_units - request.units);
        quotas_.set(request.volume, request.units, 0);
    }
}

void CellMember::on_request_finished(Micros now, const RoutingRequest &request, bool served,
                                     MemberActions &actions) {
    const auto found = volumes_.find(number(request.volume));
    if (found == volumes_.end())
        return;
    VolumeActivity &activity = found->second;
    if (activity.open_requests > 0)
        --activity.open_requests;
    activity.last_used = now;
    if (served)
        activity.units_since_heartbeat += request.units;
    if (request.idempotency_key) {
        const auto key = activity.keys.find(*request.idempotency_key);
        if (key != activity.keys.end()) {
            if (key->second.open_requests > 0)
                --key->second.open_requests;
            key->second.served |= served;
            key->second.expires_at = std::max(key->second.expires_at, now + timing_.key_retention);
        }
    }
    if (activity.open_requests == 0 && fenced(request.volume))
        try_drain(now, request.volume, actions);
}

void CellMember::on_message(Micros now, const std::string &sender, const Message &message,
                            MemberActions &actions) {
    if (const auto *step = std::get_if<MigrationStep>(&message))
        on_step(now, *step, actions);
    if (const auto *snapshot = std::get_if<MapSnapshot>(&message)) {
        if (sender == kCoordinator)
            map_confirmed_ = true;
        on_snapshot(now, *snapshot, actions);
    }
    if (const auto *delta = std::get_if<MapDelta>(&message))
        on_delta(now, *delta, actions);
    if (const auto *query = std::get_if<OutcomeQuery>(&message))
        on_outcome_query(*query, sender, actions);
    if (const auto *reply = std::get_if<OutcomeReply>(&message))
        on_outcome_reply(now, *reply, actions);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        if (map_ && heartbeat->map_epoch.number < map_->epoch.number)
            actions.emplace_back(OutgoingMessage{sender, MapSnapshot{*map_, {}}});
}

/// Updates each volume's rate, an exponential moving average over heartbeat intervals.
void CellMember::update_rates(Micros now) {
    const double seconds = static_cast<double>(now - last_heartbeat_) / kMicrosPerSecond;
    for (auto &[volume, activity] : volumes_) {
        const double newest = activity.units_since_heartbeat / seconds;
        activity.rate =
            last_heartbeat_ > 0 ? (1 - kRateSmoothing) * activity.rate + kRateSmoothing * newest : 0;
        activity.units_since_heartbeat = 0;
    }
}

/// Loads of the volumes whose home is this cell, ordered by descending rate.
std::vector<VolumeLoad> CellMember::volume_loads() const {
    std::vector<VolumeLoad> loads;
    for (const auto &[id, activity] : volumes_) {
        const VolumeId volume{id};
        if (home_cell(volume) == cell())
            loads.push_back({volume, activity.reserve_rate, activity.rate, activity.priority_weight});
    }
    std::sort(loads.begin(), loads.end(), [](const VolumeLoad &a, const VolumeLoad &b) {
        return a.rate != b.rate ? a.rate > b.rate : a.volume < b.volume;
    });
    return loads;
}

void CellMember::send_heartbeat(Micros now, MemberActions &actions) {
    // An unscheduled heartbeat may follow the previous one too soon to measure a rate.
    const bool measures_rates = now - last_heartbeat_ >= timing_.heartbeat_interval / 2;
    if (measures_rates)
        update_rates(now);
    Heartbeat heartbeat{map_ ? map_->epoch : Epoch{}, highest_epoch_, volume_loads(), 0, ready_nodes_};
    if (heartbeat.volumes.size() > kMaxReportedVolumes) {
        heartbeat.unlisted_volumes = heartbeat.volumes.size() - kMaxReportedVolumes;
        heartbeat.volumes.resize(kMaxReportedVolumes);
    }
    if (measures_rates)
        last_heartbeat_ = now;
    actions.emplace_back(OutgoingMessage{kCoordinator, std::move(heartbeat)});
}

void CellMember::forget_expired(Micros now) {
    for (auto &[id, activity] : volumes_)
        std::erase_if(activity.keys, [&](const auto &entry) {
            return entry.second.open_requests == 0 && entry.second.expires_at <= now;
        });
    std::erase_if(volumes_, [&](const auto &entry) {
        const VolumeActivity &activity = entry.second;
        const bool idle = now - activity.last_used > kVolumeIdleTimeout;
        return idle && activity.open_requests == 0 && activity.keys.empty() && !fenced(VolumeId{entry.first});
    });
    for (auto &[volume, keys] : remote_keys_)
        std::erase_if(keys, [&](const auto &entry) { return entry.second.expires_at <= now; });
    std::erase_if(remote_keys_, [](const auto &entry) { return entry.second.empty(); });
}

void CellMember::tick(Micros now, MemberActions &actions) {
    if (now - last_heartbeat_ >= timing_.heartbeat_interval)
        send_heartbeat(now, actions);
    query_arbiters(now, actions);
    forget_expired(now);
}

CellMember::Counts CellMember::counts() const {
    Counts counts;
    counts.volumes = volumes_.size();
    counts.records = records_.size();
    for (const auto &[id, activity] : volumes_)
        counts.keys += activity.keys.size();
    for (const auto &[volume, keys] : remote_keys_)
        counts.remote_keys += keys.size();
    for (const auto &[volume, migration] : records_)
        counts.fenced += fenced(volume) ? 1 : 0;
    return counts;
}

} // namespace marblewood::cells
