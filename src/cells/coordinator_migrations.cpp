/// \file
/// CellCoordinator: the state machine of a migration.
#include "cells/cell_coordinator.hpp"
#include "cells/coordinator_text.hpp"

#include <algorithm>

namespace marblewood::cells {
namespace {

constexpr Micros kRetryDelay = 2'000'000; // time from an abort until a rule may migrate the volume again

bool contains(const std::vector<std::string> &names, const std::string &name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<std::string> names_of(const std::vector<const Broker *> &brokers) {
    std::vector<std::string> names;
    names.reserve(brokers.size());
    for (const Broker *broker : brokers)
        names.push_back(broker->name);
    return names;
}

StepKind step_of(MigrationStage stage) {
    switch (stage) {
    case MigrationStage::Preparing:
        return StepKind::Prepare;
    case MigrationStage::Fencing:
    case MigrationStage::Draining:
        return StepKind::Fence;
    case MigrationStage::Adopting:
        return StepKind::Adopt;
    case MigrationStage::Deciding:
    case MigrationStage::Opening:
        return StepKind::Open;
    case MigrationStage::Releasing:
        return StepKind::Release;
    case MigrationStage::Aborting:
        break;
    }
    return StepKind::Abort;
}

/// Brokers that receive the step of the current stage.
std::vector<std::string> step_recipients(const Migration &migration) {
    switch (migration.stage) {
    case MigrationStage::Preparing:
    case MigrationStage::Adopting:
    case MigrationStage::Opening:
        return migration.targets;
    case MigrationStage::Deciding:
        return {migration.arbiter};
    case MigrationStage::Fencing:
    case MigrationStage::Draining:
    case MigrationStage::Releasing:
        return migration.sources;
    case MigrationStage::Aborting:
        break;
    }
    std::vector<std::string> all = migration.sources;
    all.insert(all.end(), migration.targets.begin(), migration.targets.end());
    return all;
}

/// Whether all brokers whose acknowledgement the current stage requires have sent it. An abort before Open
/// was sent requires only the sources, because no target can have opened.
bool stage_complete(const Migration &migration) {
    const bool never_opened = migration.stage == MigrationStage::Aborting && !migration.open_sent;
    const std::vector<std::string> required = never_opened ? migration.sources : step_recipients(migration);
    return std::all_of(required.begin(), required.end(),
                       [&](const std::string &broker) { return migration.acknowledged.contains(broker); });
}

/// Each target's share of the quota that the sources gave up. Every target gets all keys.
TransferredQuota quota_per_target(const Migration &migration) {
    const double targets = static_cast<double>(migration.targets.size());
    TransferredQuota part;
    for (const auto &[source, quota] : migration.quota_by_source) {
        part.limit_units += quota.limit_units / targets;
        part.reserve_units += quota.reserve_units / targets;
        part.keys.insert(part.keys.end(), quota.keys.begin(), quota.keys.end());
    }
    return part;
}

/// The reason why a reply forces the migration to abort; nothing if it does not.
std::optional<std::string> abort_reason(const Migration &migration, const std::string &sender,
                                        const StepReply &reply) {
    const bool source = contains(migration.sources, sender);
    const bool target = contains(migration.targets, sender);
    const bool superseded = reply.status == StepStatus::Superseded;
    switch (migration.stage) {
    case MigrationStage::Preparing:
        if (target && (superseded || reply.status == StepStatus::Declined))
            return fmt::format("{} declines: {}", sender, reply.reason);
        return std::nullopt;
    case MigrationStage::Fencing:
    case MigrationStage::Draining:
        if (source && superseded)
            return sender + " knows of a later move";
        return std::nullopt;
    case MigrationStage::Adopting:
    case MigrationStage::Deciding:
        if (target && superseded)
            return sender + " has started anew";
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

/// Whether a reply acknowledges the current stage.
bool acknowledges(const Migration &migration, const std::string &sender, StepStatus status) {
    const bool source = contains(migration.sources, sender);
    const bool target = contains(migration.targets, sender);
    const bool superseded = status == StepStatus::Superseded;
    switch (migration.stage) {
    case MigrationStage::Preparing:
        return target && status == StepStatus::Ready;
    case MigrationStage::Fencing:
        return source && (status == StepStatus::Drained || status == StepStatus::Fenced);
    case MigrationStage::Draining:
        return source && status == StepStatus::Drained;
    case MigrationStage::Adopting:
        return target && status == StepStatus::Adopted;
    case MigrationStage::Deciding:
        return false;             // on_reply() commits on the arbiter's reply
    case MigrationStage::Opening: // a restarted target replies Superseded and serves by the new map
        return target && (superseded || status == StepStatus::Opened);
    case MigrationStage::Releasing:
        return source && (superseded || status == StepStatus::Released);
    case MigrationStage::Aborting:
        return superseded || status == StepStatus::Aborted;
    }
    return false;
}

std::string log_fields(VolumeId volume, const Migration &migration) {
    return fmt::format("volume={} epoch={}", format_volume(volume), migration.epoch.number);
}

} // namespace

/// The reason why the volume cannot migrate now, as shown to operators; nothing if it can.
std::optional<std::string> CellCoordinator::migration_obstacle(VolumeId volume,
                                                               const std::string &target_cell) const {
    if (!has_quorum_)
        return kNoQuorum;
    const Cell *const target = map_.cell(target_cell);
    if (!target)
        return fmt::format("there is no cell '{}'", target_cell);
    const Cell *const source = map_.home_cell(volume);
    if (!source)
        return "the volume has no cell";
    if (const auto active = migrations_.find(volume); active != migrations_.end()) {
        const Migration &migration = active->second;
        if (migration.target_cell == target_cell && migration.stage != MigrationStage::Aborting)
            return fmt::format("it is on its way to '{}' already", target_cell);
        return fmt::format("a move to '{}' is {}", migration.target_cell, stage_name(migration.stage));
    }
    if (source == target)
        return fmt::format("it is in '{}' already", target_cell);
    if (target->frozen)
        return fmt::format("cell '{}' is frozen", target_cell);
    if (source->frozen)
        return fmt::format("cell '{}' is frozen", source->name);
    const auto known = known_volumes_.find(volume);
    const double reserve_rate = known == known_volumes_.end() ? 0 : known->second.reserve_rate;
    if (!has_capacity_for(*target, reserve_rate, reserved_rates()))
        return fmt::format("its reserve of {:.0f} units a second does not fit into '{}'", reserve_rate,
                           target_cell);
    return std::nullopt;
}

/// Starts a migration. Returns the reason if it cannot start, otherwise nothing.
std::optional<std::string> CellCoordinator::start_migration(Micros now, VolumeId volume,
                                                            const std::string &target_cell, bool by_operator,
                                                            CoordinatorActions &actions) {
    if (auto obstacle = migration_obstacle(volume, target_cell))
        return obstacle;
    const Cell &source = *map_.home_cell(volume);
    Migration migration;
    migration.epoch = next_epoch();
    migration.source_cell = source.name;
    migration.target_cell = target_cell;
    migration.by_operator = by_operator;
    migration.sources = names_of(map_.brokers_of(volume, source));
    migration.targets = names_of(map_.brokers_of(volume, *map_.cell(target_cell)));
    migration.arbiter = migration.targets.front();
    ++counters_.started;
    Migration &stored = migrations_[volume] = std::move(migration);
    actions.emplace_back(SaveState{});
    actions.emplace_back(
        LogEntry{fmt::format("migration_started {} source={} target={}", log_fields(volume, stored),
                             stored.source_cell, stored.target_cell)});
    enter_stage(now, volume, stored, MigrationStage::Preparing, actions);
    return std::nullopt;
}

/// Sends the step of the current stage to the brokers that have not acknowledged it.
void CellCoordinator::send_step(Micros now, VolumeId volume, Migration &migration,
                                CoordinatorActions &actions) const {
    migration.last_sent = now;
    MigrationStep step{
        step_of(migration.stage), volume, migration.epoch, migration.source_cell, migration.target_cell,
        migration.arbiter,        {}};
    if (migration.stage == MigrationStage::Adopting)
        step.quota = quota_per_target(migration);
    // Once Open has been sent, the arbiter may have opened the volume in the target cell. No source may
    // therefore resume serving the volume until the arbiter has recorded that it will never open the volume
    // for this migration.
    const bool arbiter_first = migration.stage == MigrationStage::Aborting && migration.open_sent &&
                               !migration.acknowledged.contains(migration.arbiter);
    for (const std::string &broker : step_recipients(migration)) {
        if (migration.acknowledged.contains(broker) || (arbiter_first && broker != migration.arbiter))
            continue;
        actions.emplace_back(OutgoingMessage{broker, step});
    }
}

void CellCoordinator::enter_stage(Micros now, VolumeId volume, Migration &migration, MigrationStage stage,
                                  CoordinatorActions &actions) {
    migration.stage = stage;
    migration.stage_since = now;
    migration.acknowledged.clear();
    send_step(now, volume, migration, actions);
}

void CellCoordinator::on_reply(Micros now, const std::string &sender, const StepReply &reply,
                               CoordinatorActions &actions) {
    epoch_counter_ = std::max(epoch_counter_, reply.migration.number);
    const auto active = migrations_.find(reply.volume);
    if (!has_quorum_ || active == migrations_.end() || !(active->second.epoch == reply.migration))
        return;
    Migration &migration = active->second;
    const bool decided =
        migration.stage == MigrationStage::Opening || migration.stage == MigrationStage::Releasing;
    if (reply.status == StepStatus::Opened && sender == migration.arbiter && !decided)
        return commit(now, reply.volume, migration, actions);
    if (auto reason = abort_reason(migration, sender, reply))
        return abort_migration(now, reply.volume, migration, std::move(*reason), actions);
    if (!acknowledges(migration, sender, reply.status))
        return;
    const bool drains =
        migration.stage == MigrationStage::Fencing || migration.stage == MigrationStage::Draining;
    if (drains && reply.status == StepStatus::Drained)
        migration.quota_by_source[sender] = reply.quota;
    if (!migration.acknowledged.insert(sender).second)
        return;
    if (migration.stage == MigrationStage::Aborting && migration.open_sent && sender == migration.arbiter)
        send_step(now, reply.volume, migration, actions); // the sources may now resume serving the volume
    advance(now, reply.volume, migration, actions);
}

/// Enters the next stage once the current one is complete.
void CellCoordinator::advance(Micros now, VolumeId volume, Migration &migration,
                              CoordinatorActions &actions) {
    if (!stage_complete(migration))
        return;
    switch (migration.stage) {
    case MigrationStage::Preparing:
        return enter_stage(now, volume, migration, MigrationStage::Fencing, actions);
    case MigrationStage::Fencing:
        enter_stage(now, volume, migration, MigrationStage::Draining, actions);
        for (const auto &[broker, quota] : migration.quota_by_source)
            migration.acknowledged.insert(broker);
        return advance(now, volume, migration, actions);
    case MigrationStage::Draining:
        return enter_stage(now, volume, migration, MigrationStage::Adopting, actions);
    case MigrationStage::Adopting:
        migration.open_sent = true;
        migration.stage = MigrationStage::Deciding;
        actions.emplace_back(SaveState{});
        return enter_stage(now, volume, migration, MigrationStage::Deciding, actions);
    case MigrationStage::Deciding:
        return; // on_reply() commits when the arbiter replies Opened
    case MigrationStage::Opening:
        return enter_stage(now, volume, migration, MigrationStage::Releasing, actions);
    case MigrationStage::Releasing:
    case MigrationStage::Aborting:
        return finish_migration(volume, actions);
    }
}

/// Publishes a map with the volume in the target cell, after the arbiter has opened the volume there.
void CellCoordinator::commit(Micros now, VolumeId volume, Migration &migration, CoordinatorActions &actions) {
    const Cell *const hashed = map_.hashed_cell(volume);
    const bool pin_needed = migration.by_operator || !hashed || hashed->name != migration.target_cell;
    if (pin_needed)
        map_.pins[volume] = migration.target_cell;
    else
        map_.pins.erase(volume);
    if (migration.by_operator)
        operator_pins_.insert(volume);
    else
        operator_pins_.erase(volume);
    migration.stage = MigrationStage::Opening;
    publish_map(actions);
    enter_stage(now, volume, migration, MigrationStage::Opening, actions);
    migration.acknowledged.insert(migration.arbiter);
    advance(now, volume, migration, actions);
}

void CellCoordinator::abort_migration(Micros now, VolumeId volume, Migration &migration, std::string reason,
                                      CoordinatorActions &actions) {
    actions.emplace_back(
        LogEntry{fmt::format("migration_aborting {} reason=\"{}\"", log_fields(volume, migration), reason)});
    migration.abort_reason = std::move(reason);
    migration.stage = MigrationStage::Aborting;
    actions.emplace_back(SaveState{});
    enter_stage(now, volume, migration, MigrationStage::Aborting, actions);
}

void CellCoordinator::finish_migration(VolumeId volume, CoordinatorActions &actions) {
    const auto active = migrations_.find(volume);
    const bool aborted = active->second.stage == MigrationStage::Aborting;
    if (aborted) {
        ++counters_.aborted;
        retry_after_[volume] = now_ + kRetryDelay;
    } else {
        ++counters_.completed;
    }
    actions.emplace_back(LogEntry{fmt::format("migration_{} {}", aborted ? "aborted" : "completed",
                                              log_fields(volume, active->second))});
    migrations_.erase(active);
    actions.emplace_back(SaveState{});
}

/// Aborts migrations whose current stage has timed out, and sends unanswered steps of the others again.
void CellCoordinator::resend_or_abort(Micros now, CoordinatorActions &actions) {
    for (auto &[volume, migration] : migrations_) {
        if (migration.stage_since == 0)
            migration.stage_since = now; // the migration was restored from an earlier run
        const Micros timeout =
            migration.stage == MigrationStage::Draining ? timing_.drain_timeout : timing_.step_timeout;
        const bool abortable = migration.stage <= MigrationStage::Deciding;
        if (abortable && now - migration.stage_since > timeout)
            abort_migration(now, volume, migration,
                            fmt::format("no end of {} in {} ms", stage_name(migration.stage), timeout / 1000),
                            actions);
        else if (now - migration.last_sent >= timing_.resend_interval)
            send_step(now, volume, migration, actions);
    }
}

} // namespace marblewood::cells
