/// \file
/// A broker's part in the cells: where each request goes, and the broker's side of every migration. No I/O
/// and no clock; what has to be done is appended to a list of actions. docs/design/cells.md has the protocol.
#pragma once

#include "cells/member_state.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace marblewood::cells {

/// Action: requests of this volume that wait are to be routed again.
struct RerouteWaiting {
    VolumeId volume{};
};
/// Action: map() has changed.
struct MapChanged {};

using MemberAction = std::variant<OutgoingMessage, SaveState, RerouteWaiting, MapChanged>;
using MemberActions = std::vector<MemberAction>;

/// The quota of a volume in the decision module.
class QuotaStore {
public:
    virtual ~QuotaStore() = default;
    /// Returns what is left and leaves nothing.
    virtual TransferredQuota take(VolumeId volume) = 0;
    /// Sets what is left, in units.
    virtual void set(VolumeId volume, double limit_units, double reserve_units) = 0;
};

/// What decides where a request goes.
struct RoutingRequest {
    VolumeId volume{};
    std::optional<std::uint64_t> idempotency_key; ///< Hash of the key, in a class with keys.
    double units = 1;
    double reserve_rate = 0;    ///< Of its plan, units a second.
    double priority_weight = 1; ///< Of one unit.
    bool limited = false;       ///< Its plan has a limit.
    Micros deadline = 0;        ///< When its client gives up.
    int hops = 0;               ///< Times it was forwarded.
};

struct RoutingDecision {
    enum class Kind { Serve, Forward, Wait, Refuse };
    Kind kind = Kind::Refuse;
    std::string broker;      ///< Forward.
    int serving_brokers = 1; ///< Serve: brokers that the volume uses.
};

/// State machine of one broker in a cell. Not thread-safe. Times are in us of the clock that the caller uses
/// for every call.
class CellMember {
public:
    struct Timing {
        Micros key_retention = 0;       ///< us that a key counts after the end of its request.
        Micros attest_after = 0;        ///< us after the start from which all keys that count are known.
        Micros query_after = 1'000'000; ///< us of silence after which a fenced source asks the arbiter.
        Micros heartbeat_interval = 1'000'000; ///< us.
    };
    static constexpr int kMaxHops = 3;
    static constexpr std::size_t kMaxReportedVolumes = 2048; ///< In one heartbeat.

    /// `quotas` must outlive the member.
    CellMember(std::string name, QuotaStore &quotas, Timing timing, Micros now);

    /// Decides where a request goes. A caller that serves it reports its start and its end.
    RoutingDecision route(Micros now, const RoutingRequest &request) const;
    void on_request_started(Micros now, const RoutingRequest &request);
    void on_request_finished(Micros now, const RoutingRequest &request, bool served, MemberActions &actions);

    void on_message(Micros now, const std::string &sender, const Message &message, MemberActions &actions);
    /// Sends heartbeats and queries that are due and forgets what has expired; to be called several times a
    /// second.
    void tick(Micros now, MemberActions &actions);
    /// Sets how many nodes of the cell take requests.
    void set_ready_nodes(std::uint32_t count) { ready_nodes_ = count; }

    const std::string &name() const { return name_; }
    const std::optional<CellMap> &map() const { return map_; }
    /// This broker's cell; null if there is no map or the map does not name the broker.
    const Cell *cell() const { return map_ ? map_->cell_of_broker(name_) : nullptr; }

    /// Sizes of the tables, for metrics and tests.
    struct Counts {
        std::size_t volumes = 0;
        std::size_t keys = 0;
        std::size_t remote_keys = 0;
        std::size_t records = 0;
        std::size_t fenced = 0;
    };
    Counts counts() const;

    MemberState state() const { return {map_, highest_epoch_, records_, active_migrations_}; }
    /// To be called before anything else.
    void restore(MemberState state);

private:
    struct KeyState {
        Micros expires_at = 0;
        double units = 0;
        int open_requests = 0;
        bool limited = false;
        bool served = false;
    };
    struct VolumeActivity {
        std::size_t open_requests = 0;
        double reserve_rate = 0;
        double priority_weight = 0;
        double units_since_heartbeat = 0;
        double rate = 0;
        double retained_units = 0; ///< Of the limit, for repeats of keys after the volume has left.
        Micros last_used = 0;
        std::unordered_map<std::uint64_t, KeyState> keys;
    };
    /// A key whose repeats another broker serves.
    struct RemoteKey {
        std::string broker;
        Micros expires_at = 0;
    };

    // Routing and requests: cell_member.cpp.
    const Cell *home_cell(VolumeId volume) const;
    const MigrationRecord *record(VolumeId volume) const;
    bool fenced(VolumeId volume) const;
    bool overrides_map(const MigrationRecord &record) const;
    int serving_brokers(VolumeId volume, const Cell &cell) const;
    static RoutingDecision forward(const RoutingRequest &request, const std::string &broker);
    std::optional<RoutingDecision> route_repeat(Micros now, const RoutingRequest &request, const Cell &home,
                                                const Cell &own) const;
    void send_heartbeat(Micros now, MemberActions &actions);
    void update_rates(Micros now);
    std::vector<VolumeLoad> volume_loads() const;
    void forget_expired(Micros now);

    // Maps and migrations: member_migrations.cpp.
    void observe_epoch(const Epoch &epoch) { highest_epoch_ = std::max(highest_epoch_, epoch.number); }
    void on_snapshot(Micros now, const MapSnapshot &snapshot, MemberActions &actions);
    void on_delta(Micros now, const MapDelta &delta, MemberActions &actions);
    void fence_restarted_source(Micros now, const ActiveMigration &migration);
    void forget_finished_records();
    void on_step(Micros now, const MigrationStep &step, MemberActions &actions);
    bool superseded(const MigrationStep &step) const;
    MigrationRecord *current_record(const MigrationStep &step);
    MigrationRecord &begin_record(Micros now, const MigrationStep &step, MemberStage stage,
                                  MemberActions &actions);
    void on_prepare(Micros now, const MigrationStep &step, MemberActions &actions);
    void on_fence(Micros now, const MigrationStep &step, MemberActions &actions);
    void on_adopt(const MigrationStep &step, MemberActions &actions);
    void on_open(const MigrationStep &step, MemberActions &actions);
    void on_release(const MigrationStep &step, MemberActions &actions);
    void on_abort(Micros now, const MigrationStep &step, MemberActions &actions);
    void try_drain(Micros now, VolumeId volume, MemberActions &actions);
    std::vector<TransferredKey> transferable_keys(Micros now, VolumeId volume) const;
    void end_record(MigrationRecord &record, MemberActions &actions);
    void resume_volume(VolumeId volume, MigrationRecord &record, MemberActions &actions);
    void release_volume(VolumeId volume, MigrationRecord &record, MemberActions &actions);
    void query_arbiters(Micros now, MemberActions &actions);
    void on_outcome_query(const OutcomeQuery &query, const std::string &sender, MemberActions &actions);
    bool decide_outcome(const OutcomeQuery &query, MemberActions &actions);
    void on_outcome_reply(Micros now, const OutcomeReply &reply, MemberActions &actions);

    std::string name_;
    QuotaStore &quotas_;
    Timing timing_;
    Micros started_at_;
    Micros last_heartbeat_ = 0;
    std::optional<CellMap> map_;
    bool map_attested_ = false; ///< The map came from the coordinator, or from our own disk.
    std::uint64_t highest_epoch_ = 0;
    std::uint32_t ready_nodes_ = 0;
    std::set<std::uint64_t> active_migrations_;
    std::map<VolumeId, MigrationRecord> records_;
    std::unordered_map<std::uint64_t, VolumeActivity> volumes_;
    std::map<VolumeId, std::unordered_map<std::uint64_t, RemoteKey>> remote_keys_;
    mutable std::size_t next_broker_ = 0; ///< Round robin over the brokers to forward to.
};

} // namespace marblewood::cells
