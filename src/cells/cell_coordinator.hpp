/// \file
/// The cell coordinator's decisions: the one cell map, the one epoch counter, every migration. No I/O and no
/// clock; what has to be done is appended to a list of actions. docs/design/cells.md has the protocol.
#pragma once

#include "cells/coordinator_state.hpp"
#include "cells/placement.hpp"

namespace marblewood::cells {

/// Action: a line for the log, `event key=value ...`.
struct LogEntry {
    std::string text;
};
using CoordinatorAction = std::variant<OutgoingMessage, SaveState, LogEntry>;
using CoordinatorActions = std::vector<CoordinatorAction>;

/// State machine of the coordinator. Not thread-safe. Times are in us of the clock that the caller uses for
/// every call.
class CellCoordinator {
public:
    struct Timing {
        Micros resend_interval = 200'000;  ///< us until an unanswered step is sent again.
        Micros step_timeout = 2'000'000;   ///< us for a stage before Opening; then the migration is aborted.
        Micros drain_timeout = 4'000'000;  ///< us for open requests at the sources.
        std::size_t max_migrations = 8;    ///< Started by rules and under way at a time.
        Micros volume_expiry = 15'000'000; ///< us until a volume that nobody reports is forgotten.
        bool evacuate_drained = true;      ///< Evacuate a cell none of whose nodes takes requests.
        Micros drained_for = 1'000'000;    ///< us for which that must have been so.
    };
    /// The answer to an operator: done, or why not.
    struct OperatorResult {
        bool ok = false;
        std::string text;
    };

    /// \param initial the map of the operators' file; a state given to restore() overrides its volumes.
    /// \param origin random for each start.
    /// \throws std::invalid_argument if the map is not valid.
    CellCoordinator(CellMap initial, std::uint64_t origin, Timing timing);
    /// Continues from an earlier run; to be called before anything else. Cells, brokers and nodes stay those
    /// of the initial map.
    void restore(CoordinatorState state);
    CoordinatorState state() const { return {map_, epoch_counter_, operator_pins_, migrations_}; }

    void on_message(Micros now, const std::string &sender, const Message &message,
                    CoordinatorActions &actions);
    /// Sends steps again, aborts what takes too long and starts migrations by rule; to be called several
    /// times a second.
    void tick(Micros now, CoordinatorActions &actions);

    /// Migrates a volume and pins it in the target cell.
    OperatorResult move(Micros now, VolumeId volume, const std::string &target_cell,
                        CoordinatorActions &actions);
    /// Pins a volume where it is.
    OperatorResult pin(VolumeId volume, CoordinatorActions &actions);
    /// Removes the pin; the volume migrates to where its hash puts it.
    OperatorResult unpin(Micros now, VolumeId volume, CoordinatorActions &actions);
    /// Lets no volume migrate into or out of the cell, or lets them again.
    OperatorResult set_frozen(const std::string &cell, bool frozen, CoordinatorActions &actions);
    OperatorResult evacuate(const std::string &cell, CoordinatorActions &actions);
    /// Ends an evacuation: the cell gets volumes by hash again.
    OperatorResult restore_cell(const std::string &cell, CoordinatorActions &actions);
    /// Takes another layout of cells, brokers, nodes and capacities. Known volumes stay where they are and
    /// then migrate, one by one, to where their hash puts them. Refused, with nothing changed, if a cell with
    /// volumes would be removed or change its brokers.
    /// \throws std::invalid_argument if the layout is not valid.
    OperatorResult relayout(CellMap layout, CoordinatorActions &actions);
    /// Describes where a volume is, and why; several lines.
    std::string where(VolumeId volume) const;

    /// Whether a majority of the brokers has been heard since the start.
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
        double rate = 0;          ///< Units a second, served.
        std::uint32_t ready_nodes = 0;
        std::size_t brokers_heard = 0; ///< Lately.
    };
    std::map<std::string, CellStatus> cell_status(Micros now) const;

private:
    /// What a broker said last.
    struct BrokerStatus {
        Micros heard_at = 0;
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
    CellMap published_; ///< As last sent to the brokers.
    std::uint64_t origin_;
    std::uint64_t epoch_counter_ = 0;
    std::uint64_t newest_reported_epoch_ = 0; ///< Number of the newest map that a broker has reported.
    Timing timing_;
    std::set<VolumeId> operator_pins_;
    std::map<VolumeId, Migration> migrations_;
    std::map<std::string, BrokerStatus> brokers_;
    std::map<VolumeId, KnownVolume> known_volumes_;
    std::set<std::string> once_ready_; ///< Cells that have had a ready node since the start.
    std::map<std::string, Micros> drained_since_;
    std::map<VolumeId, Micros> retry_after_; ///< After an abort: no rule migrates the volume before that.
    Counters counters_;
    bool has_quorum_ = false;
    Micros now_ = 0;
};

} // namespace marblewood::cells
