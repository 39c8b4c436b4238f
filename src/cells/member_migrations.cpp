/// \file
/// CellMember: processing of received maps, and the member's side of migrations.
#include "cells/cell_member.hpp"

namespace marblewood::cells {
namespace {

std::uint64_t number(VolumeId volume) {
    return static_cast<std::uint64_t>(volume);
}

/// Whether the broker is a fenced source, which serves no new requests of the volume.
bool blocks_requests(MemberStage stage) {
    return stage == MemberStage::Fenced || stage == MemberStage::Drained;
}

void reply(const MigrationStep &step, StepStatus status, MemberActions &actions, TransferredQuota quota = {},
           std::string reason = {}) {
    actions.emplace_back(OutgoingMessage{
        kCoordinator, StepReply{status, step.volume, step.migration, std::move(quota), std::move(reason)}});
}

} // namespace

void CellMember::on_delta(Micros now, const MapDelta &delta, MemberActions &actions) {
    observe_epoch(delta.epoch);
    if (map_ && delta.epoch == map_->epoch)
        return;
    if (!map_ || !(delta.base == map_->epoch))
        return send_heartbeat(now, actions); // the coordinator replies with a snapshot
    MapSnapshot snapshot{*map_, delta.migrations};
    snapshot.map.epoch = delta.epoch;
    for (const PinChange &change : delta.pins) {
        if (change.cell.empty())
            snapshot.map.pins.erase(change.volume);
        else if (snapshot.map.cell(change.cell))
            snapshot.map.pins[change.volume] = change.cell;
    }
    on_snapshot(now, snapshot, actions);
}

void CellMember::on_snapshot(Micros now, const MapSnapshot &snapshot, MemberActions &actions) {
    observe_epoch(snapshot.map.epoch);
    if (map_ && snapshot.map.epoch == map_->epoch)
        return;
    if (map_ && snapshot.map.epoch.number <= map_->epoch.number) {
        actions.emplace_back(OutgoingMessage{kCoordinator, StaleMap{map_->epoch, highest_epoch_, *map_}});
        return;
    }
    map_ = snapshot.map;
    active_migrations_.clear();
    for (const ActiveMigration &migration : snapshot.migrations) {
        active_migrations_.insert(migration.migration.number);
        observe_epoch(migration.migration);
        fence_restarted_source(now, migration);
    }
    forget_finished_records();
    actions.emplace_back(SaveState{});
    actions.emplace_back(MapChanged{});
}

/// Fences the volume if this broker is a source of an active migration that it has no record of. The broker
/// has then lost its state in a restart and must not serve the volume.
void CellMember::fence_restarted_source(Micros now, const ActiveMigration &migration) {
    const Cell *const own = cell();
    const bool is_source =
        own && own->name == migration.source_cell && map_->serves(migration.volume, *own, name_);
    const MigrationRecord *const known = record(migration.volume);
    if (!is_source || (known && known->migration.number >= migration.migration.number))
        return;
    MigrationRecord fresh{migration.migration,
                          MemberStage::Fenced,
                          migration.source_cell,
                          migration.target_cell,
                          migration.arbiter,
                          {},
                          now};
    if (known) {
        fresh.home_cell = known->home_cell;
        fresh.home_epoch = known->home_epoch;
    }
    records_[migration.volume] = std::move(fresh);
}

/// Removes records that the map makes obsolete. A fenced source keeps its record until it learns the outcome.
void CellMember::forget_finished_records() {
    std::erase_if(records_, [&](const auto &entry) {
        const MigrationRecord &record = entry.second;
        const bool older_than_map = record.migration.number < map_->epoch.number;
        const bool active = active_migrations_.contains(record.migration.number);
        return older_than_map && !active && !blocks_requests(record.stage) && !overrides_map(record);
    });
}

bool CellMember::superseded(const MigrationStep &step) const {
    if (const MigrationRecord *const known = record(step.volume))
        return !(known->migration == step.migration) && known->migration.number >= step.migration.number;
    // Without a record, the step is superseded if its migration had ended when the map was published.
    return map_ && step.migration.number < map_->epoch.number &&
           !active_migrations_.contains(step.migration.number);
}

/// The record of the migration that the step belongs to; null if there is none.
MigrationRecord *CellMember::current_record(const MigrationStep &step) {
    const auto found = records_.find(step.volume);
    const bool current = found != records_.end() && found->second.migration == step.migration;
    return current ? &found->second : nullptr;
}

MigrationRecord &CellMember::begin_record(Micros now, const MigrationStep &step, MemberStage stage,
                                          MemberActions &actions) {
    MigrationRecord fresh{step.migration, stage, step.source_cell, step.target_cell, step.arbiter, {}, now};
    if (const MigrationRecord *const previous = record(step.volume)) {
        fresh.home_cell = previous->home_cell;
        fresh.home_epoch = previous->home_epoch;
    }
    actions.emplace_back(SaveState{});
    return records_[step.volume] = std::move(fresh);
}

void CellMember::on_step(Micros now, const MigrationStep &step, MemberActions &actions) {
    if (superseded(step))
        return reply(step, StepStatus::Superseded, actions);
    observe_epoch(step.migration);
    switch (step.kind) {
    case StepKind::Prepare:
        return on_prepare(now, step, actions);
    case StepKind::Fence:
        return on_fence(now, step, actions);
    case StepKind::Adopt:
        return on_adopt(step, actions);
    case StepKind::Open:
        return on_open(step, actions);
    case StepKind::Release:
        return on_release(step, actions);
    case StepKind::Abort:
        return on_abort(now, step, actions);
    }
}

void CellMember::on_prepare(Micros now, const MigrationStep &step, MemberActions &actions) {
    if (const MigrationRecord *const record = current_record(step)) {
        if (record->stage == MemberStage::Opened)
            return reply(step, StepStatus::Opened, actions);
        if (record->stage == MemberStage::Ended)
            return reply(step, StepStatus::Superseded, actions);
        return reply(step, StepStatus::Ready, actions);
    }
    const Cell *const own = cell();
    if (!own || own->name != step.target_cell)
        return reply(step, StepStatus::Declined, actions, {}, "not a broker of the cell");
    if (ready_nodes_ == 0)
        return reply(step, StepStatus::Declined, actions, {}, "no node of the cell takes requests");
    begin_record(now, step, MemberStage::Ready, actions);
    reply(step, StepStatus::Ready, actions);
}

void CellMember::on_fence(Micros now, const MigrationStep &step, MemberActions &actions) {
    MigrationRecord *record = current_record(step);
    if (record)
        record->last_progress = now;
    else
        record = &begin_record(now, step, MemberStage::Fenced, actions);
    if (record->stage == MemberStage::Drained)
        return reply(step, StepStatus::Drained, actions, record->quota);
    if (record->stage != MemberStage::Fenced)
        return reply(step, StepStatus::Superseded, actions);
    try_drain(now, step.volume, actions); // sends the reply itself if no request is open
    if (record->stage == MemberStage::Fenced)
        reply(step, StepStatus::Fenced, actions);
}

void CellMember::on_adopt(const MigrationStep &step, MemberActions &actions) {
    MigrationRecord *const record = current_record(step);
    if (!record)
        return reply(step, StepStatus::Superseded, actions);
    if (record->stage == MemberStage::Opened)
        return reply(step, StepStatus::Opened, actions);
    if (record->stage == MemberStage::Ready) {
        record->stage = MemberStage::Adopted;
        record->quota = step.quota;
        actions.emplace_back(SaveState{});
    }
    const bool adopted = record->stage == MemberStage::Adopted;
    reply(step, adopted ? StepStatus::Adopted : StepStatus::Superseded, actions);
}

void CellMember::on_open(const MigrationStep &step, MemberActions &actions) {
    MigrationRecord *const record = current_record(step);
    if (record && record->stage == MemberStage::Opened)
        return reply(step, StepStatus::Opened, actions);
    if (!record || record->stage != MemberStage::Adopted)
        return reply(step, StepStatus::Superseded, actions);
    record->stage = MemberStage::Opened;
    record->home_cell = record->target_cell;
    record->home_epoch = record->migration.number;
    quotas_.set(step.volume, record->quota.limit_units, record->quota.reserve_units);
    for (const TransferredKey &key : record->quota.keys)
        if (key.broker != name_)
            remote_keys_[step.volume][key.hash] = {key.broker, key.expires_at};
    record->quota = {};
    actions.emplace_back(SaveState{});
    actions.emplace_back(RerouteWaiting{step.volume});
    reply(step, StepStatus::Opened, actions);
}

void CellMember::on_release(const MigrationStep &step, MemberActions &actions) {
    MigrationRecord *const record = current_record(step);
    if (record && blocks_requests(record->stage))
        release_volume(step.volume, *record, actions);
    reply(step, StepStatus::Released, actions);
}

void CellMember::on_abort(Micros now, const MigrationStep &step, MemberActions &actions) {
    MigrationRecord *const record = current_record(step);
    if (!record) {
        // The record makes late steps of this migration ineffective.
        begin_record(now, step, MemberStage::Ended, actions);
        return reply(step, StepStatus::Aborted, actions);
    }
    if (record->stage == MemberStage::Opened)
        return reply(step, StepStatus::Opened, actions); // the arbiter's decision is final
    if (blocks_requests(record->stage))
        resume_volume(step.volume, *record, actions);
    else if (record->stage != MemberStage::Ended)
        end_record(*record, actions);
    reply(step, StepStatus::Aborted, actions);
}

/// Idempotency keys that have not expired: those used at this broker, and those that an earlier migration
/// transferred to it.
std::vector<TransferredKey> CellMember::transferable_keys(Micros now, VolumeId volume) const {
    std::vector<TransferredKey> keys;
    if (const auto activity = volumes_.find(number(volume)); activity != volumes_.end())
        for (const auto &[hash, key] : activity->second.keys)
            if (key.expires_at > now)
                keys.push_back({hash, key.expires_at, name_});
    if (const auto remote = remote_keys_.find(volume); remote != remote_keys_.end())
        for (const auto &[hash, key] : remote->second)
            if (key.expires_at > now)
                keys.push_back({hash, key.expires_at, key.broker});
    return keys;
}

/// Gives up the quota and replies Drained, provided that no request of the volume is open here and all keys
/// that are still valid are known.
void CellMember::try_drain(Micros now, VolumeId volume, MemberActions &actions) {
    MigrationRecord &record = records_.at(volume);
    VolumeActivity &activity = volumes_[number(volume)];
    const bool keys_known = now >= started_at_ + timing_.keys_known_after;
    if (record.stage != MemberStage::Fenced || activity.open_requests > 0 || !keys_known)
        return;
    record.quota = quotas_.take(volume);
    const std::vector<TransferredKey> keys = transferable_keys(now, volume);
    record.quota.keys.insert(record.quota.keys.end(), keys.begin(), keys.end());
    // Repeats of keyed requests that were not served return to this broker, so it retains their units.
    activity.retained_units = 0;
    for (const auto &[hash, key] : activity.keys)
        if (key.expires_at > now && key.limited && !key.served)
            activity.retained_units += key.units;
    activity.retained_units = std::min(activity.retained_units, record.quota.limit_units);
    record.quota.limit_units -= activity.retained_units;
    record.stage = MemberStage::Drained;
    actions.emplace_back(SaveState{});
    actions.emplace_back(OutgoingMessage{
        kCoordinator, StepReply{StepStatus::Drained, volume, record.migration, record.quota, {}}});
}

void CellMember::end_record(MigrationRecord &record, MemberActions &actions) {
    record.stage = MemberStage::Ended;
    record.quota = {};
    actions.emplace_back(SaveState{});
}

/// Source: resumes serving the volume after the migration was aborted.
void CellMember::resume_volume(VolumeId volume, MigrationRecord &record, MemberActions &actions) {
    if (record.stage == MemberStage::Drained) {
        VolumeActivity &activity = volumes_[number(volume)];
        quotas_.set(volume, record.quota.limit_units + activity.retained_units, record.quota.reserve_units);
        activity.retained_units = 0;
    }
    end_record(record, actions);
    actions.emplace_back(RerouteWaiting{volume});
}

/// Source: releases the volume, whose home is the target cell from now on.
void CellMember::release_volume(VolumeId volume, MigrationRecord &record, MemberActions &actions) {
    record.stage = MemberStage::Released;
    record.home_cell = record.target_cell;
    record.home_epoch = record.migration.number;
    record.quota = {};
    remote_keys_.erase(volume);
    actions.emplace_back(SaveState{});
    actions.emplace_back(RerouteWaiting{volume});
}

/// Asks the arbiters for the outcome of migrations for which a fenced source has received no message for a
/// while, since the coordinator may be down.
void CellMember::query_arbiters(Micros now, MemberActions &actions) {
    for (auto &[volume, record] : records_) {
        if (!blocks_requests(record.stage))
            continue;
        if (record.stage == MemberStage::Fenced)
            try_drain(now, volume, actions);
        if (now - record.last_progress < timing_.query_after)
            continue;
        record.last_progress = now;
        if (!record.arbiter.empty())
            actions.emplace_back(
                OutgoingMessage{record.arbiter, OutcomeQuery{volume, record.migration, record.source_cell,
                                                             record.target_cell}});
    }
}

/// The arbiter's decision is durable before it is sent. An arbiter that restarted without its state file may
/// have lost a decision. It does not reply until the coordinator has sent it a map.
void CellMember::on_outcome_query(const OutcomeQuery &query, const std::string &sender,
                                  MemberActions &actions) {
    if (!map_confirmed_ || !map_)
        return;
    observe_epoch(query.migration);
    const MigrationRecord *const known = record(query.volume);
    if (known && known->migration.number > query.migration.number)
        return;
    const bool opened = decide_outcome(query, actions);
    actions.emplace_back(OutgoingMessage{sender, OutcomeReply{query.volume, query.migration, opened}});
}

/// The arbiter's decision whether the migration took effect, that is, the volume was opened in the target
/// cell. If neither this broker's record nor the map shows the outcome, records that the volume will never be
/// opened for this migration.
bool CellMember::decide_outcome(const OutcomeQuery &query, MemberActions &actions) {
    const auto found = records_.find(query.volume);
    if (found != records_.end() && found->second.migration == query.migration) {
        const MemberStage stage = found->second.stage;
        if (stage != MemberStage::Opened && stage != MemberStage::Ended)
            end_record(found->second, actions);
        return stage == MemberStage::Opened;
    }
    const bool ended_before_map =
        map_->epoch.number > query.migration.number && !active_migrations_.contains(query.migration.number);
    if (ended_before_map) {
        const Cell *const home = map_->home_cell(query.volume);
        return home && home->name == query.target_cell;
    }
    records_[query.volume] = MigrationRecord{
        query.migration, MemberStage::Ended, query.source_cell, query.target_cell, name_, {}, 0};
    actions.emplace_back(SaveState{});
    return false;
}

void CellMember::on_outcome_reply(Micros now, const OutcomeReply &reply, MemberActions &actions) {
    const auto found = records_.find(reply.volume);
    const bool awaited = found != records_.end() && found->second.migration == reply.migration &&
                         blocks_requests(found->second.stage);
    if (!awaited)
        return;
    found->second.last_progress = now;
    if (reply.opened)
        release_volume(reply.volume, found->second, actions);
    else
        resume_volume(reply.volume, found->second, actions);
}

} // namespace marblewood::cells
