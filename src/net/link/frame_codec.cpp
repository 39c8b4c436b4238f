/// \file
/// Encoding and decoding of frames.
#include "net/link/proto_conversion.hpp"

namespace marblewood::net::link {

using namespace marblewood::cells;

namespace {

template <typename Out> void migrations_to_proto(const std::vector<ActiveMigration> &migrations, Out *out) {
    for (const ActiveMigration &migration : migrations) {
        auto *const entry = out->add_migrations();
        entry->set_volume(number(migration.volume));
        to_proto(migration.migration, entry->mutable_migration());
        entry->set_source_cell(migration.source_cell);
        entry->set_target_cell(migration.target_cell);
        entry->set_arbiter(migration.arbiter);
    }
}

template <typename In> std::vector<ActiveMigration> migrations_from_proto(const In &in) {
    std::vector<ActiveMigration> migrations;
    for (const auto &entry : in.migrations())
        migrations.push_back({VolumeId{entry.volume()}, from_proto(entry.migration()), entry.source_cell(),
                              entry.target_cell(), entry.arbiter()});
    return migrations;
}

void body_to_proto(const MigrationStep &step, wire::Frame &frame) {
    auto *const out = frame.mutable_migration_step();
    out->set_kind(static_cast<std::uint32_t>(step.kind));
    out->set_volume(number(step.volume));
    to_proto(step.migration, out->mutable_migration());
    out->set_source_cell(step.source_cell);
    out->set_target_cell(step.target_cell);
    out->set_arbiter(step.arbiter);
    to_proto(step.quota, out->mutable_quota());
}

void body_to_proto(const StepReply &reply, wire::Frame &frame) {
    auto *const out = frame.mutable_step_reply();
    out->set_status(static_cast<std::uint32_t>(reply.status));
    out->set_volume(number(reply.volume));
    to_proto(reply.migration, out->mutable_migration());
    to_proto(reply.quota, out->mutable_quota());
    out->set_reason(reply.reason);
}

void body_to_proto(const Heartbeat &heartbeat, wire::Frame &frame) {
    auto *const out = frame.mutable_heartbeat();
    to_proto(heartbeat.map_epoch, out->mutable_map_epoch());
    out->set_highest_epoch(heartbeat.highest_epoch);
    for (const VolumeLoad &load : heartbeat.volumes) {
        auto *const entry = out->add_volumes();
        entry->set_volume(number(load.volume));
        entry->set_reserve_rate(static_cast<float>(load.reserve_rate));
        entry->set_rate(static_cast<float>(load.rate));
        entry->set_priority_weight(static_cast<float>(load.priority_weight));
    }
    out->set_unlisted_volumes(heartbeat.unlisted_volumes);
    out->set_ready_nodes(heartbeat.ready_nodes);
}

void body_to_proto(const MapSnapshot &snapshot, wire::Frame &frame) {
    auto *const out = frame.mutable_map_snapshot();
    to_proto(snapshot.map, out->mutable_map());
    migrations_to_proto(snapshot.migrations, out);
}

void body_to_proto(const MapDelta &delta, wire::Frame &frame) {
    auto *const out = frame.mutable_map_delta();
    to_proto(delta.base, out->mutable_base());
    to_proto(delta.epoch, out->mutable_epoch());
    std::map<std::string, std::vector<VolumeId>> volumes_by_cell;
    for (const PinChange &change : delta.pins)
        volumes_by_cell[change.cell].push_back(change.volume);
    for (const auto &[cell, volumes] : volumes_by_cell) {
        auto *const pins = out->add_pins();
        pins->set_cell(cell);
        for (const VolumeId volume : volumes)
            pins->add_volumes(number(volume));
    }
    migrations_to_proto(delta.migrations, out);
}

void body_to_proto(const StaleMap &stale, wire::Frame &frame) {
    auto *const out = frame.mutable_stale_map();
    to_proto(stale.map_epoch, out->mutable_map_epoch());
    out->set_highest_epoch(stale.highest_epoch);
    to_proto(stale.held_map, out->mutable_held_map());
}

void body_to_proto(const OutcomeQuery &query, wire::Frame &frame) {
    auto *const out = frame.mutable_outcome_query();
    out->set_volume(number(query.volume));
    to_proto(query.migration, out->mutable_migration());
    out->set_source_cell(query.source_cell);
    out->set_target_cell(query.target_cell);
}

void body_to_proto(const OutcomeReply &reply, wire::Frame &frame) {
    auto *const out = frame.mutable_outcome_reply();
    out->set_volume(number(reply.volume));
    to_proto(reply.migration, out->mutable_migration());
    out->set_opened(reply.opened);
}

void body_to_proto(const Message &message, wire::Frame &frame) {
    std::visit([&](const auto &alternative) { body_to_proto(alternative, frame); }, message);
}

void body_to_proto(const OperatorCall &call, wire::Frame &frame) {
    auto *const out = frame.mutable_operator_call();
    out->set_id(call.id);
    out->set_name(call.name);
    out->set_body(call.body);
}

void body_to_proto(const OperatorReply &reply, wire::Frame &frame) {
    auto *const out = frame.mutable_operator_reply();
    out->set_id(reply.id);
    out->set_ok(reply.ok);
    out->set_text(reply.text);
}

Message message_from_proto(const wire::MigrationStep &in) {
    return MigrationStep{enum_from_proto(in.kind(), StepKind::Abort, "step kind"),
                         VolumeId{in.volume()},
                         from_proto(in.migration()),
                         in.source_cell(),
                         in.target_cell(),
                         in.arbiter(),
                         from_proto(in.quota())};
}

Message message_from_proto(const wire::StepReply &in) {
    return StepReply{enum_from_proto(in.status(), StepStatus::Superseded, "step status"),
                     VolumeId{in.volume()}, from_proto(in.migration()), from_proto(in.quota()), in.reason()};
}

Message message_from_proto(const wire::Heartbeat &in) {
    Heartbeat heartbeat{
        from_proto(in.map_epoch()), in.highest_epoch(), {}, in.unlisted_volumes(), in.ready_nodes()};
    for (const auto &load : in.volumes())
        heartbeat.volumes.push_back({VolumeId{load.volume()}, quantity_from_proto(load.reserve_rate()),
                                     quantity_from_proto(load.rate()),
                                     quantity_from_proto(load.priority_weight())});
    return heartbeat;
}

Message message_from_proto(const wire::MapSnapshot &in) {
    return MapSnapshot{from_proto(in.map()), migrations_from_proto(in)};
}

Message message_from_proto(const wire::MapDelta &in) {
    MapDelta delta{from_proto(in.base()), from_proto(in.epoch()), {}, migrations_from_proto(in)};
    for (const auto &pins : in.pins())
        for (const auto volume : pins.volumes())
            delta.pins.push_back({VolumeId{volume}, pins.cell()});
    return delta;
}

Message message_from_proto(const wire::StaleMap &in) {
    return StaleMap{from_proto(in.map_epoch()), in.highest_epoch(), from_proto(in.held_map())};
}

Message message_from_proto(const wire::OutcomeQuery &in) {
    return OutcomeQuery{VolumeId{in.volume()}, from_proto(in.migration()), in.source_cell(),
                        in.target_cell()};
}

Message message_from_proto(const wire::OutcomeReply &in) {
    return OutcomeReply{VolumeId{in.volume()}, from_proto(in.migration()), in.opened()};
}

FrameBody body_from_proto(const wire::Frame &frame) {
    using wire::Frame;
    switch (frame.body_case()) {
    case Frame::kMigrationStep:
        return message_from_proto(frame.migration_step());
    case Frame::kStepReply:
        return message_from_proto(frame.step_reply());
    case Frame::kHeartbeat:
        return message_from_proto(frame.heartbeat());
    case Frame::kMapSnapshot:
        return message_from_proto(frame.map_snapshot());
    case Frame::kMapDelta:
        return message_from_proto(frame.map_delta());
    case Frame::kStaleMap:
        return message_from_proto(frame.stale_map());
    case Frame::kOutcomeQuery:
        return message_from_proto(frame.outcome_query());
    case Frame::kOutcomeReply:
        return message_from_proto(frame.outcome_reply());
    case Frame::kOperatorCall: {
        const auto &call = frame.operator_call();
        return OperatorCall{call.id(), call.name(), call.body()};
    }
    case Frame::kOperatorReply: {
        const auto &reply = frame.operator_reply();
        return OperatorReply{reply.id(), reply.ok(), reply.text()};
    }
    case Frame::BODY_NOT_SET:
        break;
    }
    throw DecodeError(DecodeFailure::UnknownMessage, "frame without a known message");
}

} // namespace

std::string encode(const Frame &frame) {
    wire::Frame out;
    out.set_version(kFormatVersion);
    out.set_sender(frame.sender);
    std::visit([&](const auto &body) { body_to_proto(body, out); }, frame.body);
    return out.SerializeAsString();
}

Frame decode_frame(std::string_view bytes) {
    wire::Frame in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw DecodeError(DecodeFailure::Malformed, "malformed frame");
    if (in.version() != kFormatVersion)
        throw DecodeError(DecodeFailure::UnsupportedVersion, "unsupported frame version");
    return {in.sender(), body_from_proto(in)};
}

} // namespace marblewood::net::link
