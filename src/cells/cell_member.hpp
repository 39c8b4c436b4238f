/// \file
/// The state machine of a broker in a cell. It decides where each request is routed and carries out the
/// broker's side of every migration. It performs no I/O and reads no clock: it appends the actions to perform
/// to a list. The protocol is described in docs/design/cells.md.
#pragma once

#include "cells/member_state.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace marblewood::cells {

/// Action: route the waiting requests of this volume again.
struct RerouteWaiting {
    VolumeId volume{};
};
/// Action: react to a change of CellMember::map().
struct MapChanged {};

using MemberAction = std::variant<OutgoingMessage, SaveState, RerouteWaiting, MapChanged>;
using MemberActions = std::vector<MemberAction>;

/// Access to the remaining quota of volumes, which the decision module keeps.
class QuotaStore {
public:
    virtual ~QuotaStore() = default;
    /// Returns the remaining quota and sets it to zero.
    virtual TransferredQuota take(VolumeId volume) = 0;
    /// Sets the remaining units of the plan's limit and reserve.
    virtual void set(VolumeId volume, double limit_units, double reserve_units) = 0;
};

/// The properties of a request that determine its routing.
struct RoutingRequest {
    VolumeId volume{};
    std::optional<std::uint64_t> idempotency_key; ///< Hash of the key, if the request's class uses keys.
    double units = 1;
    double reserve_rate = 0;    ///< Reserve of the request's plan, in units a second.
    double priority_weight = 1; ///< Per unit.
    bool limited = false;       ///< Whether the request's plan has a limit.
    Micros deadline = 0;        ///< When the client stops waiting.
    int hops = 0;               ///< How often the request has been forwarded.
};

struct RoutingDecision {
    enum class Kind { Serve, Forward, Wait, Reject };
    Kind kind = Kind::Reject;
    std::string broker;      ///< Forward: the broker to send the request to.
    int serving_brokers = 1; ///< Serve: number of brokers that share the volume.
};

/// State machine of one broker in a cell. Not thread-safe. The caller must take the times of all calls from
/// the same clock.
class CellMember {
public:
    struct Timing {
        Micros key_retention = 0; ///< How long a key is kept after its request has ended.
        /// Time after the start at which all keys used before the start have expired, so that the broker
        /// knows every key that is still valid.
        Micros keys_known_after = 0;
        /// A fenced source asks the arbiter after it has received no message for this time.
        Micros query_after = 1'000'000;
        Micros heartbeat_interval = 1'000'000;
    };
    static constexpr int kMaxHops = 3;
    static constexpr std::size_t kMaxReportedVolumes = 2048; ///< Per heartbeat.

    /// `quotas` must outlive the member.
    CellMember(std::string name, QuotaStore &quotas, Timing timing, Micros now);

    /// Decides where a request is routed. A caller that serves the request must report its start and its end.
    RoutingDecision route(Micros now, const RoutingRequest &request) const;
    void on_request_started(Micros now, const RoutingRequest &request);
    void on_request_finished(Micros now, const RoutingRequest &request, bool served, MemberActions &actions);

    void on_message(Micros now, const std::string &sender, const Message &message, MemberActions &actions);
    /// Sends heartbeats and outcome queries that are due and removes expired keys and idle volumes. Must be
    /// called several times a second.
    void tick(Micros now, MemberActions &actions);
    /// Sets how many nodes of the cell accept requests.
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
    /// Continues from the state of an earlier run. Must be called before any other function.
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
        /// Units of the limit kept for repeats of keys after the volume has migrated.
        double retained_units = 0;
        Micros last_used = 0;
        std::unordered_map<std::uint64_t, KeyState> keys;
    };
    /// An idempotency key whose repeats must be forwarded to another broker.
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
    /// Whether the map came from the coordinator or from this broker's own disk, rather than from another
    /// broker.
    bool map_confirmed_ = false;
    std::uint64_t highest_epoch_ = 0;
    std::uint32_t ready_nodes_ = 0;
    std::set<std::uint64_t> active_migrations_;
    std::map<VolumeId, MigrationRecord> records_;
    std::unordered_map<std::uint64_t, VolumeActivity> volumes_;
    std::map<VolumeId, std::unordered_map<std::uint64_t, RemoteKey>> remote_keys_;
    mutable std::size_t next_broker_ = 0; ///< Round-robin index into the brokers to forward to.
};

} // namespace marblewood::cells
