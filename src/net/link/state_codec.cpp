/// \file
/// Encoding and decoding of the state files of coordinators and members.
#include "net/link/proto_conversion.hpp"

#include <xxhash.h>

namespace marblewood::net::link {

using namespace marblewood::cells;

namespace {

std::uint64_t checksum(const std::string &bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}

template <typename Proto> std::string seal(const Proto &state) {
    wire::SealedState sealed;
    sealed.set_version(kFormatVersion);
    sealed.set_state(state.SerializeAsString());
    sealed.set_hash(checksum(sealed.state()));
    return sealed.SerializeAsString();
}

template <typename Proto> Proto unseal(std::string_view bytes) {
    wire::SealedState sealed;
    if (!sealed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw DecodeError(DecodeFailure::Malformed, "malformed state file");
    if (sealed.version() != kFormatVersion)
        throw DecodeError(DecodeFailure::UnsupportedVersion, "unsupported state file version");
    if (sealed.hash() != checksum(sealed.state()))
        throw DecodeError(DecodeFailure::ChecksumMismatch, "truncated or corrupted state file");
    Proto state;
    if (!state.ParseFromString(sealed.state()))
        throw DecodeError(DecodeFailure::Malformed, "malformed state in a state file");
    return state;
}

void record_to_proto(VolumeId volume, const MigrationRecord &record, wire::MemberState::Record *out) {
    out->set_volume(number(volume));
    to_proto(record.migration, out->mutable_migration());
    out->set_stage(static_cast<std::uint32_t>(record.stage));
    out->set_source_cell(record.source_cell);
    out->set_target_cell(record.target_cell);
    out->set_arbiter(record.arbiter);
    to_proto(record.quota, out->mutable_quota());
    out->set_last_progress(record.last_progress);
    out->set_home_cell(record.home_cell);
    out->set_home_epoch(record.home_epoch);
}

MigrationRecord record_from_proto(const wire::MemberState::Record &in) {
    MigrationRecord record;
    record.migration = from_proto(in.migration());
    record.stage = enum_from_proto(in.stage(), MemberStage::Ended, "stage");
    record.source_cell = in.source_cell();
    record.target_cell = in.target_cell();
    record.arbiter = in.arbiter();
    record.quota = from_proto(in.quota());
    record.last_progress = in.last_progress();
    record.home_cell = in.home_cell();
    record.home_epoch = in.home_epoch();
    return record;
}

void migration_to_proto(VolumeId volume, const Migration &migration, wire::CoordinatorState::Migration *out) {
    out->set_volume(number(volume));
    to_proto(migration.epoch, out->mutable_epoch());
    out->set_source_cell(migration.source_cell);
    out->set_target_cell(migration.target_cell);
    out->set_arbiter(migration.arbiter);
    out->set_by_operator(migration.by_operator);
    out->set_stage(static_cast<std::uint32_t>(migration.stage));
    for (const std::string &broker : migration.sources)
        out->add_sources(broker);
    for (const std::string &broker : migration.targets)
        out->add_targets(broker);
    out->set_open_sent(migration.open_sent);
    out->set_abort_reason(migration.abort_reason);
    for (const auto &[broker, quota] : migration.quota_by_source) {
        auto *const entry = out->add_quota_by_source();
        entry->set_broker(broker);
        to_proto(quota, entry->mutable_quota());
    }
}

Migration migration_from_proto(const wire::CoordinatorState::Migration &in) {
    Migration migration;
    migration.epoch = from_proto(in.epoch());
    migration.source_cell = in.source_cell();
    migration.target_cell = in.target_cell();
    migration.arbiter = in.arbiter();
    migration.by_operator = in.by_operator();
    migration.stage = enum_from_proto(in.stage(), MigrationStage::Aborting, "stage");
    migration.sources.assign(in.sources().begin(), in.sources().end());
    migration.targets.assign(in.targets().begin(), in.targets().end());
    migration.open_sent = in.open_sent();
    migration.abort_reason = in.abort_reason();
    for (const auto &entry : in.quota_by_source())
        migration.quota_by_source[entry.broker()] = from_proto(entry.quota());
    return migration;
}

} // namespace

std::string encode(const MemberState &state) {
    wire::MemberState out;
    if (state.map)
        to_proto(*state.map, out.mutable_map());
    out.set_highest_epoch(state.highest_epoch);
    for (const auto &[volume, record] : state.records)
        record_to_proto(volume, record, out.add_records());
    for (const auto migration : state.active_migrations)
        out.add_active_migrations(migration);
    return seal(out);
}

MemberState decode_member_state(std::string_view bytes) {
    const auto in = unseal<wire::MemberState>(bytes);
    MemberState state;
    if (in.has_map())
        state.map = from_proto(in.map());
    state.highest_epoch = in.highest_epoch();
    for (const auto &record : in.records())
        state.records[VolumeId{record.volume()}] = record_from_proto(record);
    state.active_migrations.insert(in.active_migrations().begin(), in.active_migrations().end());
    return state;
}

std::string encode(const CoordinatorState &state) {
    wire::CoordinatorState out;
    to_proto(state.map, out.mutable_map());
    out.set_epoch_counter(state.epoch_counter);
    for (const VolumeId volume : state.operator_pins)
        out.add_operator_pins(number(volume));
    for (const auto &[volume, migration] : state.migrations)
        migration_to_proto(volume, migration, out.add_migrations());
    return seal(out);
}

CoordinatorState decode_coordinator_state(std::string_view bytes) {
    const auto in = unseal<wire::CoordinatorState>(bytes);
    CoordinatorState state;
    state.map = from_proto(in.map());
    state.epoch_counter = in.epoch_counter();
    for (const auto volume : in.operator_pins())
        state.operator_pins.insert(VolumeId{volume});
    for (const auto &migration : in.migrations())
        state.migrations[VolumeId{migration.volume()}] = migration_from_proto(migration);
    return state;
}

} // namespace marblewood::net::link
