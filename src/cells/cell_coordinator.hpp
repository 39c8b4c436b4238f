/// \file
/// The cell coordinator's state machine. It owns the cell map and the epoch counter and controls every
/// migration. It performs no I/O and reads no clock: it appends the actions to perform to a list. The
/// protocol is described in docs/design/cells.md.
#pragma once

#include "cells/coordinator_state.hpp"
#include "cells/placement.hpp"

namespace marblewood::cells {

/// Action: write a log line of the form `event key=value ...`.
struct LogEntry {
    std::string text;
};
using CoordinatorAction = std::variant<OutgoingMessage, SaveState, LogEntry>;
using CoordinatorActions = std::vector<CoordinatorAction>;

/// State machine of the coordinator. Not thread-safe. The caller must take the times of all calls from the
/// same clock.
class CellCoordinator {
public:
    struct Timing {
        Micros resend_interval = 200'000;  ///< Unanswered steps are sent again after this time.
        Micros step_timeout = 2'000'000;   ///< For each stage before Opening; then the migration is aborted.
        Micros drain_timeout = 4'000'000;  ///< For open requests at the source brokers to finish.
        std::size_t max_migrations = 8;    ///< Rules start no migration while this many are active.
        Micros volume_expiry = 15'000'000; ///< A volume that no broker reports for this time is forgotten.
        bool evacuate_drained = true; ///< Evacuate a cell when none of its nodes accepts requests any more.
        Micros min_drained_time = 1'000'000; ///< Time without a ready node before a cell is evacuated.
    };
    /// The reply to an operator's call: success, or the reason for the refusal.
    struct OperatorResult {
        bool ok = false;
        std::string text;
    };

    /// \param initial the map of the operators' file; a state passed to restore() replaces its pins and the
    /// cells' frozen and evacuated flags.
    /// \param origin a random number, new for each start of the coordinator.
    /// \throws std::invalid_argument if the map is not valid.
    CellCoordinator(CellMap initial, std::uint64_t origin, Timing timing);
    /// Continues from the state of an earlier run. Must be called before any other function. Cells, brokers
    /// and nodes are still those of the initial map.
    void restore(CoordinatorState state);
    CoordinatorState state() const { return {map_, epoch_counter_, operator_pins_, migrations_}; }

    void on_message(Micros now, const std::string &sender, const Message &message,
                    CoordinatorActions &actions);
    /// Sends unanswered steps again, aborts migrations that have timed out and starts migrations by rule.
    /// Must be called several times a second.
    void tick(Micros now, CoordinatorActions &actions);

    /// Migrates a volume and pins it in the target cell.
    OperatorResult move(Micros now, VolumeId volume, const std::string &target_cell,
                        CoordinatorActions &actions);
    /// Pins a volume in its current cell.
    OperatorResult pin(VolumeId volume, CoordinatorActions &actions);
    /// Removes the pin and migrates the volume to the cell that the hash assigns.
    OperatorResult unpin(Micros now, VolumeId volume, CoordinatorActions &actions);
    /// Forbids or allows migrations into and out of the cell.
    OperatorResult set_frozen(const std::string &cell, bool frozen, CoordinatorActions &actions);
    /// Migrates all volumes out of the cell, and assigns it no volumes by hash until restore_cell().
    OperatorResult evacuate(const std::string &cell, CoordinatorActions &actions);
    /// Ends an evacuation: volumes are assigned to the cell by hash again.
    OperatorResult restore_cell(const std::string &cell, CoordinatorActions &actions);
    /// Replaces the layout of cells, brokers, nodes and capacities. Known volumes first stay in their cells
    /// and then migrate, one by one, to the cells that the hash assigns. The call fails and changes nothing
    /// without a quorum, during migrations, or if the layout removes a cell or changes its brokers while that
    /// cell is not evacuated or still has volumes.
    /// \throws std::invalid_argument if the layout is not valid.
    OperatorResult relayout(CellMap layout, CoordinatorActions &actions);
    /// Describes in several lines which cell serves a volume and why.
    std::string where(VolumeId volume) const;

    /// Whether a majority of the brokers has sent a heartbeat since the coordinator started.
    bool has_quorum() const { return has_quorum_; }
    const CellMap &map() const { return map_; }
    const std::map<VolumeId, Migration> &migrations() const { return migrations_; }

    struct Counters {
        std::uint64_t started = 0;
        std::uint64_t completed = 0;
        std::uint64_t aborted = 0;
    };
    const Counters &counters() const { return counters_; }

    struct CellStatus {
        std::size_t volumes = 0;
        double reserved_rate = 0; ///< Units a second.
        double rate = 0;          ///< Units a second, as served by the cell.
        std::uint32_t ready_nodes = 0;
        std::size_t reporting_brokers = 0; ///< Brokers with a recent heartbeat.
    };
    std::map<std::string, CellStatus> cell_status(Micros now) const;

private:
    /// Contents of a broker's last heartbeat.
    struct BrokerStatus {
        Micros received_at = 0;
        std::uint32_t ready_nodes = 0;
        Epoch map_epoch;
        std::map<VolumeId, VolumeLoad> volumes;
    };
    struct KnownVolume {
        double reserve_rate = 0;
        double rate = 0;
        double priority_weight = 0;
        Micros reported_at = 0;
    };

    // Map and epochs: cell_coordinator.cpp.
    Epoch next_epoch() { return {++epoch_counter_, origin_}; }
    void adopt_map(const CellMap &map);
    void publish_map(CoordinatorActions &actions);
    MapDelta delta_to_published() const;
    std::vector<ActiveMigration> active_migrations() const;
    void send_snapshot(const std::string &broker, CoordinatorActions &actions) const;

    // Heartbeats and quorum: coordinator_membership.cpp.
    void on_heartbeat(Micros now, const std::string &sender, const Heartbeat &heartbeat,
                      CoordinatorActions &actions);
    void update_known_volume(Micros now, const VolumeLoad &load);
    void on_stale_map(const StaleMap &stale, CoordinatorActions &actions);
    void check_quorum(CoordinatorActions &actions);

    // Migration state machine: coordinator_migrations.cpp.
    std::optional<std::string> migration_obstacle(VolumeId volume, const std::string &target_cell) const;
    std::optional<std::string> start_migration(Micros now, VolumeId volume, const std::string &target_cell,
                                               bool by_operator, CoordinatorActions &actions);
    void send_step(Micros now, VolumeId volume, Migration &migration, CoordinatorActions &actions) const;
    void enter_stage(Micros now, VolumeId volume, Migration &migration, MigrationStage stage,
                     CoordinatorActions &actions);
    void on_reply(Micros now, const std::string &sender, const StepReply &reply, CoordinatorActions &actions);
    void advance(Micros now, VolumeId volume, Migration &migration, CoordinatorActions &actions);
    void commit(Micros now, VolumeId volume, Migration &migration, CoordinatorActions &actions);
    void abort_migration(Micros now, VolumeId volume, Migration &migration, std::string reason,
                         CoordinatorActions &actions);
    void finish_migration(VolumeId volume, CoordinatorActions &actions);
    void resend_or_abort(Micros now, CoordinatorActions &actions);

    // Migrations by rule: coordinator_rebalancing.cpp.
    void rebalance(Micros now, CoordinatorActions &actions);
    void evacuate_drained_cells(Micros now, CoordinatorActions &actions);
    void migrate_from_evacuated_cells(Micros now, CoordinatorActions &actions);
    void migrate_home(Micros now, CoordinatorActions &actions);
    void relieve_overcommitted_cells(Micros now, CoordinatorActions &actions);
    void relieve_cell(Micros now, const Cell &cell, ReservedRates &reserved, CoordinatorActions &actions);
    bool may_start_by_rule() const { return migrations_.size() < timing_.max_migrations; }
    bool migratable(VolumeId volume) const;
    ReservedRates reserved_rates() const;
    std::vector<VolumeDemand> volumes_in(const std::string &cell) const;

    // Operators' calls: coordinator_operators.cpp.
    Cell *find_cell(const std::string &name);
    void pin_known_volumes(const std::string &cell);
    void pin_all_known_volumes();
    void drop_redundant_pins();
    bool has_volumes(const Cell &cell) const;

    CellMap map_;
    CellMap published_; ///< The map as last sent to the brokers.
    std::uint64_t origin_;
    std::uint64_t epoch_counter_ = 0;
    std::uint64_t newest_reported_epoch_ = 0; ///< Number of the newest map that a broker has reported.
    Timing timing_;
    std::set<VolumeId> operator_pins_;
    std::map<VolumeId, Migration> migrations_;
    std::map<std::string, BrokerStatus> brokers_;
    std::map<VolumeId, KnownVolume> known_volumes_;
    std::set<std::string> cells_once_ready_; ///< Cells that have had a ready node since the start.
    std::map<std::string, Micros> drained_since_;
    /// After an abort, no rule migrates the volume before this time.
    std::map<VolumeId, Micros> retry_after_;
    Counters counters_;
    bool has_quorum_ = false;
    Micros now_ = 0;
};

} // namespace marblewood::cells
